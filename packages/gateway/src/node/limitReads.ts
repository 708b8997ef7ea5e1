import type { Socket } from 'node:net'

/**
 * Bytes that the HTTP client is given at once: it parses all of them before it heeds that they are
 * too many, which takes it long where they are many small headers.
 */
const MAX_READ_BYTES = 2_048

/** Hands what a socket has received to its reader in small pieces, and nothing once it is destroyed. */
export function limitReads(socket: Socket): void {
  const read = socket.read.bind(socket)
  socket.read = (size?: number) => {
    if (socket.destroyed) return null
    const isLong = size === undefined && socket.readableLength > MAX_READ_BYTES
    return read(isLong ? MAX_READ_BYTES : size) as Buffer | null
  }
}
