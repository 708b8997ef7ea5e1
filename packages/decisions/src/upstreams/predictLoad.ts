import type { Milliseconds } from '../types/clock.js'
import { othersAtReport, type UpstreamView } from './upstreamView.js'

/** Decay time of a load report's weight, in mean request durations. */
const REPORT_DECAY_REQUESTS = 1.5

/**
 * Estimates the requests at an upstream now: this box's own, plus those of other boxes. The latter
 * come from the last load report and from peers; as the report ages, the estimate decays towards
 * their moving average.
 */
export function predictLoad(view: UpstreamView, now: Milliseconds): number {
  const age = Math.max(0, now - view.report.at)
  const weight = Math.exp(-age / (view.requestMilliseconds * REPORT_DECAY_REQUESTS))
  const others = Math.max(othersAtReport(view), view.peersInFlight)
  return view.inFlight + weight * others + (1 - weight) * Math.max(view.averageOthers, 0)
}

/** Estimated time that a request sent now would wait for a slot. */
export function predictQueue(view: UpstreamView, now: Milliseconds): Milliseconds {
  const ahead = predictLoad(view, now) - view.slots + 1
  if (ahead <= 0) return 0
  return (ahead * view.requestMilliseconds) / view.slots
}

/** Request properties that affect the first-token time. */
export interface RequestProfile {
  /** Data centre of this box. */
  dataCentre: string
  promptTokens: number
  /** Prompt tokens presumably in the upstream's prefix cache. */
  cachedTokensOf(upstream: string): number
}

/** Assumed prefill speed. */
const PREFILL_TOKENS_PER_MILLISECOND = 20
/** Extra latency to an upstream in another data centre. */
const CROSS_DATA_CENTRE_LATENCY: Milliseconds = 3
/** Increase of the first-token time, as a share, when all slots are busy. */
const BATCH_SLOWDOWN = 0.5

/** Estimated first-token time for a request sent to the upstream now. */
export function predictFirstToken(
  view: UpstreamView,
  request: RequestProfile,
  now: Milliseconds,
): Milliseconds {
  const uncached = Math.max(0, request.promptTokens - request.cachedTokensOf(view.id))
  const prefill = uncached / PREFILL_TOKENS_PER_MILLISECOND
  const busy = Math.min(1, predictLoad(view, now) / view.slots)
  const distance = view.dataCentre === request.dataCentre ? 0 : CROSS_DATA_CENTRE_LATENCY
  return (
    predictQueue(view, now) +
    view.firstTokenMilliseconds * (1 + BATCH_SLOWDOWN * busy) +
    prefill +
    distance
  )
}
