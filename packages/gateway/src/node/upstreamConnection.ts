/** One connection to an upstream, from its opening to its end. */

import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'
import type { Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import { isUnreachable, type createTimedConnector } from './connectTimeout.js'
import { limitReads } from './limitReads.js'

/** `unproven`: open, but the upstream may still reject it. `ready`: accepted and not in use. */
export type ConnectionPhase = 'opening' | 'unproven' | 'ready' | 'busy' | 'closed'

/**
 * Why a connection ended while it carried no request. `failed`: it could not be opened for another
 * reason than an unreachable upstream; `rejected`: it was reset before it was known to be accepted;
 * `surplus`: bytes arrived that belong to no request; `expired`: this box closed it.
 */
export type ConnectionEnd = 'unreachable' | 'failed' | 'rejected' | 'closed' | 'surplus' | 'expired'

/** The upstream reset the connection before it carried anything: nothing was sent. */
export class ConnectionRejectedError extends Error {
  override readonly name = 'ConnectionRejectedError'

  constructor(cause?: Error) {
    super('the upstream takes no further connection now', { cause })
  }
}

/** The connection ended before the request was written. */
class ConnectionEndedError extends Error {
  override readonly name = 'ConnectionEndedError'

  constructor() {
    super('the connection ended before the request was written')
  }
}

/** Called for a connection that carries no request. */
export interface ConnectionListener {
  /** It is open, but not yet known to be accepted. */
  onOpen(connection: UpstreamConnection): void
  /** It is known to be accepted. */
  onAccepted(connection: UpstreamConnection): void
  /** It ended by itself. */
  onEnd(connection: UpstreamConnection, how: ConnectionEnd, error: Error): void
}

export interface ConnectionOptions {
  address: string
  clock: Clock
  connect: ReturnType<typeof createTimedConnector>
  listener: ConnectionListener
  /** Time after which it is known to be accepted, unless its handshake took long. */
  acceptTime(): Milliseconds
  /** Idle time after which it closes. */
  idleTime(): Milliseconds
}

/** A reset within this time, before anything came, is taken as a late rejection. */
const LATE_REJECTION: Milliseconds = 500
/** A reset takes as long as the handshake to arrive; twice that covers varying delays. */
const HANDSHAKE_FACTOR = 2

/** Idle connections close after this, or earlier if the upstream announces a shorter timeout. */
const IDLE_TIMEOUT: Milliseconds = 8_000
/** Connections close this much before the timeout that the upstream announces. */
const IDLE_TIMEOUT_MARGIN: Milliseconds = 1_200

/** The HTTP client's code for a connection that it closed itself. */
const CLOSED_BY_CLIENT = 'UND_ERR_INFO'

const IPV6_BRACKETS = /^\[|\]$/g

/** A connection over TCP that carries one request at a time. */
export class UpstreamConnection {
  phase: ConnectionPhase = 'opening'
  /** It has carried a request and its whole answer. */
  hasAnswered = false
  /** It was reset: the HTTP client ends an answer without a length as complete even then. */
  isBroken = false
  /** When it opened, or its last answer ended. */
  quietSince: Milliseconds
  readonly #startedAt: Milliseconds
  #socket: Socket | undefined
  #client: Client | undefined
  /** Bytes received until the last answer ended. */
  #bytesAtRest = 0
  #isHandedOver = false
  #timer: Timer | undefined

  constructor(private readonly options: ConnectionOptions) {
    const { clock, connect, address } = options
    this.#startedAt = clock.now()
    this.quietSince = clock.now()
    const { host, hostname, port, protocol } = new URL(`http://${address}`)
    const name = hostname.replace(IPV6_BRACKETS, '')
    connect({ host, hostname: name, port, protocol }, (...[error, socket]) => {
      if (socket) this.#open(socket)
      else this.#end(openingEndOf(error), error)
    })
  }

  /** The upstream has accepted it and not yet closed it. */
  get isUsable(): boolean {
    return this.phase === 'ready' && !this.isBroken && !this.#socket?.destroyed
  }

  /** No byte has arrived on it. */
  get isUntouched(): boolean {
    return !this.#socket || this.#socket.bytesRead === 0
  }

  /** Its end by a reset may be a rejection: it has not been open for long and carried nothing. */
  get mayBeRejected(): boolean {
    return !this.hasAnswered && this.isUntouched && this.quietFor < LATE_REJECTION
  }

  /** Time since it opened, or its last answer ended. */
  get quietFor(): Milliseconds {
    return this.options.clock.now() - this.quietSince
  }

  /** Sends a request. It must be open and carry none. */
  send(request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    const isFresh = this.phase === 'unproven'
    this.phase = 'busy'
    this.#timer?.cancel()
    this.#client ??= this.#createClient(isFresh)
    this.#client.dispatch(request, handler)
  }

  /** Its request got a whole answer, so that it can carry the next one. */
  rest(): void {
    this.phase = 'ready'
    this.hasAnswered = true
    this.quietSince = this.options.clock.now()
    this.#bytesAtRest = this.#socket?.bytesRead ?? 0
  }

  /** Closes it without a call of the listener. */
  close(): void {
    this.phase = 'closed'
    this.#timer?.cancel()
    // The listener of its exchange has already been called.
    if (this.#client) this.#client.destroy().catch(() => undefined)
    if (!this.#isHandedOver) this.#socket?.destroy()
  }

  #open(socket: Socket): void {
    this.#socket = socket
    socket.once('error', error => {
      this.isBroken = true
      if (!this.#isHandedOver) this.#endSpare('closed', error)
    })
    // Before the HTTP client's own listener, which ends the answer.
    socket.once('end', () => {
      if (wasReset(socket)) this.isBroken = true
    })
    if (this.phase === 'closed') return void socket.destroy()
    this.phase = 'unproven'
    this.quietSince = this.options.clock.now()
    this.options.listener.onOpen(this)
    if (this.phase === 'unproven') this.#awaitAcceptance(socket)
  }

  get #acceptTime(): Milliseconds {
    const handshakeTime = this.quietSince - this.#startedAt
    return Math.max(this.options.acceptTime(), HANDSHAKE_FACTOR * handshakeTime)
  }

  #awaitAcceptance(socket: Socket): void {
    const { clock, listener, idleTime } = this.options
    socket.on('readable', this.#onReadable)
    socket.once('close', this.#onClose)
    socket.unref()
    this.#timer = clock.after(this.#acceptTime, () => {
      this.phase = 'ready'
      this.#timer = clock.after(idleTime(), () => this.#end('expired', new ConnectionEndedError()))
      listener.onAccepted(this)
    })
  }

  /** Bytes or the end of the connection arrived before a request was written. */
  readonly #onReadable = () => {
    const hasBytes = (this.#socket?.readableLength ?? 0) > 0
    this.#endSpare(hasBytes ? 'surplus' : 'closed', new ConnectionEndedError())
  }

  readonly #onClose = () => this.#endSpare('closed', new ConnectionEndedError())

  #endSpare(how: ConnectionEnd, error: Error): void {
    this.isBroken = true
    const isRejected = this.phase === 'unproven' || (isReset(error) && this.mayBeRejected)
    this.#end(how === 'closed' && isRejected ? 'rejected' : how, error)
  }

  /** A busy connection reports its end through its exchange. */
  #end(how: ConnectionEnd, error: Error): void {
    if (this.phase === 'closed') return
    if (this.phase === 'busy') return void this.#socket?.destroy()
    this.close()
    this.options.listener.onEnd(this, how, error)
  }

  #createClient(isFresh: boolean): Client {
    const client = new Client(`http://${this.options.address}`, {
      pipelining: 1,
      connect: (_options, callback) => this.#handOver(isFresh, callback),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT,
      keepAliveMaxTimeout: IDLE_TIMEOUT,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN,
    })
    client.on('disconnect', (_origin, _targets, error) => this.#onDisconnect(error))
    return client
  }

  /** Passes the open socket to the HTTP client, which must not open one by itself. */
  #handOver(isFresh: boolean, callback: HandOver): void {
    const pass = () => {
      const socket = this.#socket
      if (this.#isHandedOver || !socket || this.isBroken || socket.destroyed)
        return callback(new ConnectionEndedError(), null)
      this.#isHandedOver = true
      limitReads(socket)
      socket.off('readable', this.#onReadable)
      socket.off('close', this.#onClose)
      socket.ref()
      callback(null, socket)
    }
    // Pending bytes, ends and resets of a connection that has stood open are handled first.
    if (isFresh) queueMicrotask(pass)
    else setImmediate(pass)
  }

  #onDisconnect(error: Error & { code?: string }): void {
    this.isBroken = true
    if (this.phase !== 'ready') return
    const hasSurplus = (this.#socket?.bytesRead ?? 0) > this.#bytesAtRest
    const how = error.code === CLOSED_BY_CLIENT ? 'expired' : 'closed'
    this.#end(hasSurplus ? 'surplus' : how, error)
  }
}

/** A reset during the handshake is that of an upstream over its limit. */
function openingEndOf(error: Error): ConnectionEnd {
  if (isUnreachable(error)) return 'unreachable'
  return isReset(error) ? 'rejected' : 'failed'
}

/**
 * Whether a socket that reports its end was reset. Where the last bytes and the reset arrive together
 * the runtime reports the bytes and then an end; but only a reset leaves the socket without a peer.
 * Must be the first to ask for the peer, which the runtime keeps.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

/** Whether the other side reset the connection. */
export function isReset(error: Error): boolean {
  return 'code' in error && error.code === 'ECONNRESET'
}

type HandOver = Parameters<ReturnType<typeof createTimedConnector>>[1]
