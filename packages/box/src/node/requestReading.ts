import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as TlsServer } from 'node:https'
import type { Socket } from 'node:net'
import { ConnectionReading } from './connectionReading.js'

/**
 * Reads one request of each connection of an HTTP server at a time. To be created before the server
 * accepts any.
 */
export class RequestReading {
  readonly #readings = new Map<Socket, ConnectionReading>()

  constructor(server: Server | TlsServer) {
    const accepted = server instanceof TlsServer ? 'secureConnection' : 'connection'
    server.on(accepted, (socket: Socket) => this.#accept(socket))
    server.on('request', (message, response) => this.#begin(message, response))
    // The server would answer by itself, without a `request`.
    server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
      this.#begin(message, response)
      response.writeHead(EXPECTATION_FAILED).end()
    })
  }

  /** Whether a connection has received bytes of a request that has not been read. */
  hasUnread(socket: Socket): boolean {
    return this.#readings.get(socket)?.hasUnread ?? false
  }

  /** Reads the body that is arriving on a connection in slices, each in a turn of its own. */
  readInSlices(socket: Socket): void {
    this.#readings.get(socket)?.readInSlices()
  }

  /** Gives a connection to another protocol. */
  release(socket: Socket): void {
    this.#readings.get(socket)?.release()
    this.#forget(socket)
  }

  #accept(socket: Socket): void {
    this.#readings.set(socket, new ConnectionReading(socket))
    socket.once('close', () => this.#forget(socket))
  }

  #begin(message: IncomingMessage, response: ServerResponse): void {
    this.#readings.get(message.socket)?.begin(message, response)
  }

  #forget(socket: Socket): void {
    this.#readings.delete(socket)
  }
}

const EXPECTATION_FAILED = 417
