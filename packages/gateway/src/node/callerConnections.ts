import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

interface ConnectionUse {
  /** Requests whose answer has not been sent whole. */
  openRequests: number
  /** Bytes received by the time the last answer was sent; undefined before the first. */
  bytesAtRest?: number
}

/** Connections of callers, and which of them are idle. */
export class CallerConnections {
  readonly #uses = new Map<Socket, ConnectionUse>()
  #openRequests = 0

  /** Requests on all connections whose answer has not been sent whole. */
  get openRequests(): number {
    return this.#openRequests
  }

  /** Records a request whose head has been read, until its answer is sent or its connection ends. */
  begin(response: ServerResponse): void {
    const { socket } = response
    const use = socket && this.#useOf(socket)
    this.#openRequests++
    if (use) use.openRequests++
    response.once('close', () => {
      this.#openRequests--
      if (!use) return
      use.openRequests--
      use.bytesAtRest = socket.bytesRead
    })
  }

  /**
   * Closes the connections that rest after an answer. Unlike those that the server counts as idle,
   * they have sent all of it.
   */
  closeIdle(): void {
    for (const [socket, use] of this.#uses) {
      const isIdle = use.openRequests === 0 && socket.bytesRead === use.bytesAtRest
      if (isIdle) socket.destroy()
    }
  }

  #useOf(socket: Socket): ConnectionUse {
    const known = this.#uses.get(socket)
    if (known) return known
    const use: ConnectionUse = { openRequests: 0 }
    this.#uses.set(socket, use)
    socket.once('close', () => this.#uses.delete(socket))
    return use
  }
}
