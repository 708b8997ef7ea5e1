import type { ExchangeOutcome, Milliseconds } from '@yewkeel/decisions'
import { isUnreachable } from '../node/connectTimeout.js'
import { ConnectionRejectedError } from '../node/upstreamConnection.js'
import type { Exchange, ExchangeRequest } from '../node/upstreamConnectionPool.js'
import type { Upstream } from '../types/upstream.js'
import type { ResponseFields, Dialect, RawHeaders } from '../types/ports.js'

/** 421 Misdirected Request: the process is not the one that the request addresses. */
export const MISDIRECTED = 421

/** The head of an upstream's answer. */
export interface ResponseHead {
  status: number
  headers: RawHeaders
  fields: ResponseFields
}

/**
 * Why an exchange got no complete answer: `foreign` answers another request, `full` found no
 * connection that the upstream takes, `silent` stalled, `spoiled` is malformed, and `unreachable`
 * opened no connection.
 */
export type ExchangeFault =
  'connect' | 'foreign' | 'full' | 'reset' | 'silent' | 'spoiled' | 'unreachable'

/** The outcome that a fault counts as in the upstream's health. */
export const OUTCOME_OF_FAULT: Record<ExchangeFault, ExchangeOutcome> = {
  connect: 'lost',
  foreign: 'lost',
  full: 'shed',
  reset: 'lost',
  silent: 'failed',
  spoiled: 'lost',
  unreachable: 'unreachable',
}

/** Callbacks of an exchange, called asynchronously only. */
export interface ExchangeHandler {
  /** Returns false to cancel the exchange. */
  onHead(head: ResponseHead): boolean
  onChunk(chunk: Buffer): void
  onEnd(): void
  onFault(fault: ExchangeFault, wasSent: boolean, detail: string): void
  /** Called once, and before the others, when the exchange is over, also by `cancel`. */
  onOver?(): void
}

/** A request in flight at an upstream, with the times that stall detection needs. */
export interface RunningExchange {
  upstream: Upstream
  startedAt: Milliseconds
  /** Time of the last received bytes, or of the start. */
  lastBytesAt: Milliseconds
  /** It still waits for a connection, so that no byte of the request has reached the upstream. */
  readonly isUnsent: boolean
  /** Its answer is not read for now, since its caller does not read. */
  isPaused: boolean
  /** How long it has been paused in all. */
  readonly pausedFor: Milliseconds
  cancel(): void
  pause(): void
  resume(): void
}

/** An upstream that cuts an answer earlier does not do so because it is not read. */
const MIN_UNREAD_CUT: Milliseconds = 1_000

/** Whether the upstream may have cut the answer because it was not read, which is not its fault. */
export function wasCutUnread({ pausedFor }: RunningExchange): boolean {
  return pausedFor >= MIN_UNREAD_CUT
}

/** Sends a request to an upstream and checks that the answer carries the request's `id`. */
export function exchangeWithUpstream(
  upstream: Upstream,
  request: ExchangeRequest,
  id: string,
  dialect: Dialect,
  now: () => Milliseconds,
  handler: ExchangeHandler,
): RunningExchange {
  let isOver = false
  upstream.inFlight++
  const finish = () => {
    if (isOver) return false
    isOver = true
    upstream.inFlight--
    handler.onOver?.()
    return true
  }
  let earlierPauses: Milliseconds = 0
  let pausedAt: Milliseconds = 0
  const running: RunningExchange = {
    upstream,
    get isUnsent() {
      return !isOver && exchange.wasSent === false
    },
    startedAt: now(),
    lastBytesAt: now(),
    isPaused: false,
    get pausedFor() {
      return earlierPauses + (running.isPaused ? now() - pausedAt : 0)
    },
    pause() {
      if (isOver || running.isPaused) return
      running.isPaused = true
      pausedAt = now()
      exchange.pause()
    },
    resume() {
      if (!running.isPaused) return
      earlierPauses = running.pausedFor
      running.isPaused = false
      running.lastBytesAt = now()
      if (!isOver) exchange.resume()
    },
    cancel() {
      if (finish()) exchange.cancel()
    },
  }
  const recordBytes = () => {
    running.lastBytesAt = now()
    upstream.health.lastHeardAt = running.lastBytesAt
    upstream.heardAt = running.lastBytesAt
  }
  const exchange: Exchange = upstream.connectionPool.send(request, {
    onHead(status, headers) {
      recordBytes()
      const fields = dialect.readResponse(headers)
      if (fields.id !== undefined && fields.id !== id) {
        if (finish()) exchange.cancel(true)
        handler.onFault('foreign', true, `the answer is to ${fields.id}`)
        return
      }
      if (!handler.onHead({ status, headers, fields })) running.cancel()
    },
    onChunk(chunk) {
      recordBytes()
      if (!isOver) handler.onChunk(chunk)
    },
    onEnd() {
      if (finish()) handler.onEnd()
    },
    onFailure(error, wasSent) {
      if (!finish()) return
      handler.onFault(wasSent ? 'reset' : connectFaultOf(error), wasSent, error.message)
    },
  })
  return running
}

/** Why nothing was sent. */
function connectFaultOf(error: Error): ExchangeFault {
  if (error instanceof ConnectionRejectedError) return 'full'
  return isUnreachable(error) ? 'unreachable' : 'connect'
}
