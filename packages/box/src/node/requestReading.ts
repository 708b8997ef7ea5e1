import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as TlsServer } from 'node:https'
import type { Socket } from 'node:net'
import { ConnectionReading } from './connectionReading.js'
import { limitHandshakes } from './limitHandshakes.js'

export interface RequestReadingOptions {
  /**
   * Connections that the server keeps open. A further one takes the place of the one that has rested
   * for longest.
   */
  maxConnections: number
  /** If none rests, the oldest one is closed. Otherwise the new one is, since requests are under way. */
  closesOldest?: boolean
}

/**
 * Reads one request of each connection of an HTTP server at a time, on a limited number of
 * connections. To be created before the server accepts any.
 */
export class RequestReading {
  readonly #readings = new Map<Socket, ConnectionReading>()
  /** Connections without a whole request, longest first. */
  readonly #resting = new Set<Socket>()

  constructor(
    server: Server | TlsServer,
    private readonly options: RequestReadingOptions,
  ) {
    const isTls = server instanceof TlsServer
    if (isTls) limitHandshakes(server, options.maxConnections)
    server.on(isTls ? 'secureConnection' : 'connection', (socket: Socket) => this.#accept(socket))
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

  /** Gives a connection to another protocol; it no longer counts. */
  release(socket: Socket): void {
    this.#readings.get(socket)?.release()
    this.#forget(socket)
  }

  #accept(socket: Socket): void {
    if (this.#readings.size >= this.options.maxConnections) this.#makeRoom(socket)
    if (socket.destroyed) return
    const reading = new ConnectionReading(socket, {
      onRequestRead: () => this.#resting.delete(socket),
      onRest: () => {
        if (this.#readings.has(socket)) this.#resting.add(socket)
      },
    })
    this.#readings.set(socket, reading)
    this.#resting.add(socket)
    socket.once('close', () => this.#forget(socket))
  }

  #makeRoom(accepted: Socket): void {
    const [longest] = this.#resting
    const [oldest] = this.options.closesOldest ? this.#readings.keys() : []
    const closed = longest ?? oldest ?? accepted
    closed.destroy()
    this.#forget(closed)
  }

  #begin(message: IncomingMessage, response: ServerResponse): void {
    this.#readings.get(message.socket)?.begin(message, response)
  }

  #forget(socket: Socket): void {
    this.#readings.delete(socket)
    this.#resting.delete(socket)
  }
}

const EXPECTATION_FAILED = 417
