import type { ExchangeOutcome, Milliseconds } from '@yewkeel/decisions'
import { isUnreachable } from '../node/connectInTime.js'
import type { Exchange, ExchangeRequest } from '../node/upstreamChannels.js'
import type { Upstream } from '../types/upstream.js'
import type { AnswerFields, Dialect, RawHeaders } from '../types/ports.js'

/** The status of whoever is not the process that the request names. */
export const MISDIRECTED = 421

/** The head of an upstream's answer. */
export interface AnswerHead {
  status: number
  headers: RawHeaders
  fields: AnswerFields
}

/** Why an exchange came to no whole answer. */
export type ExchangeFault = 'connect' | 'foreign' | 'reset' | 'silent' | 'spoiled' | 'unreachable'

/** What a fault says of its upstream. */
export const OUTCOME_OF_FAULT: Record<ExchangeFault, ExchangeOutcome> = {
  connect: 'lost',
  foreign: 'lost',
  reset: 'lost',
  silent: 'failed',
  spoiled: 'lost',
  unreachable: 'unreachable',
}

/** What is told of an exchange while it runs. All calls come from the event loop, never from `start`. */
export interface ExchangeHandler {
  /** False drops the answer: the exchange is cancelled. */
  onHead(head: AnswerHead): boolean
  onChunk(chunk: Buffer): void
  onEnd(): void
  onFault(fault: ExchangeFault, wasSent: boolean, detail: string): void
}

/** One request under way at an upstream, with what is needed to see that it has stalled. */
export interface RunningExchange {
  upstream: Upstream
  startedAt: Milliseconds
  /** Of the last bytes of the answer, or of the start. */
  lastBytesAt: Milliseconds
  cancel(): void
}

/** Sends a request to an upstream and checks that the answer is the one to it. */
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
    return true
  }
  const running: RunningExchange = {
    upstream,
    startedAt: now(),
    lastBytesAt: now(),
    cancel() {
      if (finish()) exchange.cancel()
    },
  }
  const hear = () => {
    running.lastBytesAt = now()
    upstream.health.lastHeardAt = running.lastBytesAt
  }
  const exchange: Exchange = upstream.channels.send(request, {
    onHead(status, headers) {
      hear()
      const fields = dialect.readAnswer(headers)
      if (fields.id !== undefined && fields.id !== id) {
        running.cancel()
        handler.onFault('foreign', true, `the answer is to ${fields.id}`)
        return
      }
      if (!handler.onHead({ status, headers, fields })) running.cancel()
    },
    onChunk(chunk) {
      hear()
      if (!isOver) handler.onChunk(chunk)
    },
    onEnd() {
      if (finish()) handler.onEnd()
    },
    onFailure(error, wasSent) {
      if (!finish()) return
      const unsent = isUnreachable(error) ? 'unreachable' : 'connect'
      handler.onFault(wasSent ? 'reset' : unsent, wasSent, error.message)
    },
  })
  return running
}
