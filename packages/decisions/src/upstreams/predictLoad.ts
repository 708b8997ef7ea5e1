import type { Milliseconds } from '../types/clock.js'
import { othersAtReport, type UpstreamView } from './upstreamView.js'

/** A report says little about an upstream that has taken this many times its requests' length since. */
const MEMORY_IN_REQUESTS = 1.5

/**
 * Requests at an upstream now: this box's own, which it knows, and those of others. What others had there is
 * known from the last report and from what peers tell; both lag, so the older the report is against the length
 * of a request, the more the usual count of others stands in for it.
 */
export function predictLoad(view: UpstreamView, now: Milliseconds): number {
  const age = Math.max(0, now - view.report.at)
  const weight = Math.exp(-age / (view.requestMilliseconds * MEMORY_IN_REQUESTS))
  const others = Math.max(othersAtReport(view), view.peersInFlight)
  return view.inFlight + weight * others + (1 - weight) * Math.max(view.usualOthers, 0)
}

/** How long a request sent now would wait for a slot. */
export function predictQueue(view: UpstreamView, now: Milliseconds): Milliseconds {
  const ahead = predictLoad(view, now) - view.slots + 1
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
export function predictFirstToken(
  view: UpstreamView,
  request: RequestOutlook,
  now: Milliseconds,
): Milliseconds {
  const uncached = Math.max(0, request.promptTokens - request.cachedTokensOf(view.id))
  const prefill = uncached / PREFILL_TOKENS_PER_MILLISECOND
  const busy = Math.min(1, predictLoad(view, now) / view.slots)
  const distance = view.dataCentre === request.dataCentre ? 0 : ACROSS_DATA_CENTRES
  return (
    predictQueue(view, now) +
    view.firstTokenMilliseconds * (1 + BATCH_SLOWDOWN * busy) +
    prefill +
    distance
  )
}
