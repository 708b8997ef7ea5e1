import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

interface ConnectionUse {
  /** Requests whose answer has not been sent whole. */
  openRequests: number
  /** Bytes received by the time the last answer was sent; undefined before the first. */
  bytesAtRest?: number
}

/** A request whose answer has not been sent whole. */
interface OpenRequest {
  message: IncomingMessage
  response: ServerResponse
}

/** Connections of callers, and which of them are idle. */
export class CallerConnections {
  readonly #uses = new Map<Socket, ConnectionUse>()
  readonly #open = new Set<OpenRequest>()

  /** Requests on all connections whose answer has not been sent whole. */
  get openRequests(): ReadonlySet<OpenRequest> {
    return this.#open
  }

  /** Records a request whose head has been read, until its answer is sent or its connection ends. */
  begin(message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message
    const use = this.#useOf(socket)
    const request = { message, response }
    this.#open.add(request)
    use.openRequests++
    onceEnded(socket, response, () => {
      this.#open.delete(request)
      use.openRequests--
      use.bytesAtRest = socket.bytesRead
    })
  }

  /**
   * Closes the connections that rest after an answer and have sent nothing since, unlike those that
   * the server counts as idle. `hasUnread`: whether a request of one waits to be read.
   */
  closeIdle(hasUnread: (socket: Socket) => boolean): void {
    for (const [socket, use] of this.#uses) {
      const isIdle = use.openRequests === 0 && socket.bytesRead === use.bytesAtRest
      if (isIdle && !hasUnread(socket)) socket.destroy()
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

/**
 * Calls back once when a response has been sent or its connection ends. A response that waits behind
 * another one on its connection emits no `close` when that ends.
 */
export function onceEnded(socket: Socket, response: ServerResponse, callback: () => void): void {
  let isOver = false
  const handleEnd = () => {
    // A listener that is removed during an emit is still called by it.
    if (isOver) return
    isOver = true
    socket.off('close', handleEnd)
    response.off('close', handleEnd)
    callback()
  }
  socket.on('close', handleEnd)
  response.on('close', handleEnd)
}
