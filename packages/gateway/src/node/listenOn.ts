import type { Server } from 'node:net'
import { splitAddress } from '@yewkeel/box'

/** Listens on `host:port`; port 0 takes any free port. Rejects with the error if that fails. */
export function listenOn(
  server: Server,
  address: string,
  options: { backlog?: number } = {},
): Promise<void> {
  return new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ ...splitAddress(address), ...options }, resolve)
  })
}
