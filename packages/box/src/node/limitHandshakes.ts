import type { Server } from 'node:https'
import type { Socket } from 'node:net'

/**
 * Closes the oldest connection of a TLS server whose handshake is not complete when there are more
 * of them than `maxConnections`. The server tells of a connection only after its handshake.
 */
export function limitHandshakes(server: Server, maxConnections: number): void {
  const pending = new Map<string, Socket>()
  server.on('connection', (socket: Socket) => {
    const name = nameOf(socket)
    pending.set(name, socket)
    socket.once('close', () => {
      if (pending.get(name) === socket) pending.delete(name)
    })
    if (pending.size <= maxConnections) return
    const [oldest] = pending.values()
    oldest?.destroy()
  })
  server.on('secureConnection', socket => pending.delete(nameOf(socket)))
}

/** The same for a connection before and after its handshake, which are two sockets. */
const nameOf = ({ remoteAddress, remotePort }: Socket) => `${remoteAddress} ${remotePort}`
