import { readingTurns } from '@yewkeel/box'
import type { Clock, Random } from '@yewkeel/decisions'
import type { Dispatcher } from 'undici'
import type { RawHeaders } from '../types/ports.js'
import type { ConnectionWaiter } from './connectionNeed.js'
import { ConnectionSet, type ConnectionSetOptions } from './connectionSet.js'
import { endsConnection } from './endsConnection.js'
import { isReset, type UpstreamConnection } from './upstreamConnection.js'

/** A request as it goes to an upstream. */
export interface ExchangeRequest {
  method: string
  target: string
  headers: string[]
  body: Buffer
  /**
   * It may not be repeated: uses a new connection, which cannot carry late bytes of an earlier
   * exchange, or, where connections are kept ready, one that is known to be accepted and clean.
   */
  onNewConnection: boolean
}

/** Callbacks of an exchange. `onEnd` or `onFailure` is the last. */
export interface ExchangeListener {
  onHead(status: number, headers: RawHeaders): void
  onChunk(chunk: Buffer): void
  onEnd(): void
  /** `wasSent`: bytes of the request may have reached the upstream. */
  onFailure(error: Error, wasSent: boolean): void
}

/** One request and its answer. */
export interface Exchange {
  /**
   * Ends the exchange, closes its connection and calls no listener any more. `isForeign`: the answer
   * belonged to another request.
   */
  cancel(isForeign?: boolean): void
  /** Bytes of the request may have reached the upstream; counts as true when undefined. */
  readonly wasSent?: boolean
  /** Stops reading the answer; a chunk that has been read is still delivered. */
  pause(): void
  resume(): void
}

/** Connection pool of this box for one upstream. */
export interface ConnectionPool {
  /** Number of connections, in use or idle. */
  readonly open: number
  readonly idle: number
  /** Connections that the upstream takes from this box now; undefined or infinite if not known. */
  readonly limit?: number
  send(request: ExchangeRequest, listener: ExchangeListener): Exchange
  /** Closes idle connections now and the others after their exchange. */
  retire(): void
}

/** Creates the connection pool of the upstream of a service at `host:port`. */
export type OpenConnectionPool = (address: string, service: string) => ConnectionPool

/** undici accepts `servername`, although its types do not declare it. */
interface NamedDispatch extends Dispatcher.DispatchOptions {
  servername: string
}

/**
 * Only TLS uses it, but without a name undici matches each Host header against a slow IPv6 pattern,
 * which took 7 % of a box's processor time.
 */
const UNUSED_SERVER_NAME = 'upstream'

/**
 * A request whose connection ended before it was written goes on another one, so many times: several
 * idle connections may end together.
 */
const MAX_CONNECTIONS_TRIED = 4

/** Chunks of one answer in a row, after which it waits for its turn. */
const CHUNKS_PER_TURN = 64
/** Informational heads of one answer, after which the exchange fails. */
const MAX_INFORMATIONAL_HEADS = 32

/** What a pool needs beyond its address and clock, to keep connections ready. */
export type ConnectionPoolOptions = Omit<ConnectionSetOptions, 'address' | 'clock'>

/** Opens connections for requests only, as many as they need. */
const WITHOUT_READY: ConnectionPoolOptions = {
  random: (() => 0) as Random,
  keepsReady: () => false,
  part: () => Infinity,
  count() {},
  log() {},
}

/** Connection pool over TCP without pipelining; idle connections are reused. */
export class UpstreamConnectionPool implements ConnectionPool {
  readonly #connections: ConnectionSet

  constructor(address: string, clock: Clock, options: ConnectionPoolOptions = WITHOUT_READY) {
    this.#connections = new ConnectionSet({ address, clock, ...options })
  }

  get open(): number {
    return this.#connections.open
  }

  get idle(): number {
    return this.#connections.idle
  }

  get limit(): number {
    return this.#connections.limit
  }

  send(request: ExchangeRequest, listener: ExchangeListener): Exchange {
    const connections = this.#connections
    let connection: UpstreamConnection | undefined
    let isOver = false
    let wasSent = false
    let tried = 0
    let isPaused = false
    /** It waits for its turn to read on. */
    let isWaiting = false
    let chunks = 0
    let informationalHeads = 0
    let answer: Dispatcher.DispatchController | undefined
    /** The answer is the last one on its connection. */
    let isLast = false
    const finish = () => {
      isOver = true
      if (isLast) connections.discard(connection!)
      else connections.release(connection!)
    }
    const fail = (error: Error) => {
      const hasEndedEarly = !wasSent && connection !== undefined
      const isRejected = connection !== undefined && isRejection(connection, error)
      if (connection) connections.discard(connection)
      if (connection && isRejected) connections.recordRejection(connection)
      connection = undefined
      if (hasEndedEarly && tried < MAX_CONNECTIONS_TRIED) return acquire()
      isOver = true
      const isRejectedUnsent = isRejected && !wasSent
      listener.onFailure(isRejectedUnsent ? connections.rejectionOf(error) : error, wasSent)
    }
    const options: NamedDispatch = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body.length > 0 ? request.body : null,
      servername: UNUSED_SERVER_NAME,
    }
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: controller => {
        wasSent = true
        answer = controller
        if (isPaused) controller.pause()
      },
      onResponseStart: (controller, status) => {
        connections.recordHeard()
        if (isOver) return
        if (status < 200) {
          if (++informationalHeads > MAX_INFORMATIONAL_HEADS)
            controller.abort(new Error('informational answers without end'))
          return
        }
        const raw = (controller.rawHeaders ?? []) as (Buffer | string)[]
        const headers = raw.map(part => (typeof part === 'string' ? part : part.toString('latin1')))
        const announced = announcedIdleTime(headers)
        if (announced !== undefined) connections.recordAnnouncedIdleTime(announced)
        isLast = endsConnection(status, headers)
        listener.onHead(status, headers)
      },
      onResponseData: (controller, chunk) => {
        connections.recordHeard()
        if (!isOver) listener.onChunk(chunk)
        if (isOver || ++chunks % CHUNKS_PER_TURN !== 0) return
        isWaiting = true
        controller.pause()
        readingTurns.wait(() => {
          isWaiting = false
          if (!isOver && !isPaused) controller.resume()
        })
      },
      onResponseEnd: () => {
        if (isOver) return
        if (connection!.isBroken) return fail(new Error('the connection broke in the answer'))
        finish()
        listener.onEnd()
      },
      onResponseError: (_controller, error) => {
        if (!isOver) fail(error)
      },
    }
    const waiter: ConnectionWaiter = {
      need: connections.needOf(request.onNewConnection),
      onAcquired: acquired => {
        connection = acquired
        acquired.send(options, handler)
      },
      onFailed: fail,
    }
    const acquire = () => {
      tried++
      connections.acquire(waiter)
    }
    acquire()
    return {
      cancel: isForeign => {
        if (isOver) return
        isOver = true
        if (isForeign) connections.recordSurplus()
        if (connection) connections.discard(connection)
        else connections.abandon(waiter)
      },
      get wasSent() {
        return wasSent
      },
      pause: () => {
        isPaused = true
        answer?.pause()
      },
      resume: () => {
        isPaused = false
        if (!isOver && !isWaiting) answer?.resume()
      },
    }
  }

  retire(): void {
    this.#connections.retire()
  }
}

/** A reset at once of a connection on which nothing came: the upstream is over its limit. */
function isRejection(connection: UpstreamConnection, error: Error): boolean {
  return isReset(error) && connection.mayBeRejected
}

const KEEP_ALIVE = 'keep-alive'
const TIMEOUT_SECONDS = /timeout=(\d+)/

/** The idle time that the head of an answer announces, in milliseconds. */
function announcedIdleTime(headers: RawHeaders): number | undefined {
  const index = headers.findIndex(
    (text, position) =>
      position % 2 === 0 && text.length === KEEP_ALIVE.length && text.toLowerCase() === KEEP_ALIVE,
  )
  const seconds = index === -1 ? undefined : TIMEOUT_SECONDS.exec(headers[index + 1] ?? '')?.[1]
  return seconds === undefined ? undefined : Number(seconds) * 1_000
}
