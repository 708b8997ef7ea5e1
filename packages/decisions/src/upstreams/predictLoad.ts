import type { Milliseconds } from '../types/clock.js'
import type { UpstreamView } from './upstreamView.js'

/**
 * Requests at an upstream now. Its report lags, so what this box has sent since the report is added and what
 * it saw end is taken off; and there are never fewer than this box and its peers know to be under way.
 */
export function predictLoad(view: UpstreamView): number {
  const reported =
    view.report.running + view.report.waiting + view.sentSinceReport.length - view.endedSinceReport
  return Math.max(reported, view.inFlight + view.peersInFlight)
}

/** How long a request sent now would wait for a slot. */
export function predictQueue(view: UpstreamView): Milliseconds {
  const ahead = predictLoad(view) - view.slots + 1
  if (ahead <= 0) return 0
  return (ahead * view.requestMilliseconds) / view.slots
}

/** What speaks for an upstream beside its load. */
export interface RequestOutlook {
  /** Data centre of this box. */
  dataCentre: string
  promptTokens: number
  /** Prompt tokens that the upstream holds in its prefix cache, as far as is known. */
  cachedTokensOf(upstream: string): number
}

/** Prompt tokens that an engine reads in a millisecond, before any is measured. */
const PREFILL_TOKENS_PER_MILLISECOND = 20
const ACROSS_DATA_CENTRES: Milliseconds = 3
/** A running request slows the others of its batch by this share of the first-token time. */
const BATCH_SLOWDOWN = 0.5

/** First-token time to be expected of an upstream for a request sent now. */
export function predictFirstToken(view: UpstreamView, request: RequestOutlook): Milliseconds {
  const uncached = Math.max(0, request.promptTokens - request.cachedTokensOf(view.id))
  const prefill = uncached / PREFILL_TOKENS_PER_MILLISECOND
  const busy = Math.min(1, predictLoad(view) / view.slots)
  const distance = view.dataCentre === request.dataCentre ? 0 : ACROSS_DATA_CENTRES
  return (
    predictQueue(view) +
    view.firstTokenMilliseconds * (1 + BATCH_SLOWDOWN * busy) +
    prefill +
    distance
  )
}
