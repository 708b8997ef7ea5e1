/**
 * What other boxes have sent to an upstream, as estimated from the loads that it tells. One told
 * load is soon outdated, since calls are short: with its age the mean counts more.
 */
import type { Milliseconds } from '../types/clock.js'

/** Requests of other boxes at one upstream. */
export interface OthersLoad {
  /** As last told. */
  load: number
  at: Milliseconds
  /** Mean over recent told loads, by time. */
  mean: number
}

/** Window of the mean; long enough to smooth single calls, short enough to follow a queue. */
const MEAN_WINDOW: Milliseconds = 150
/** A told load is outdated with this share of the time of a call as its time constant. */
const LIFETIME_SHARE = 0.5

export function createOthersLoad(load: number, at: Milliseconds): OthersLoad {
  return { load, at, mean: load }
}

/** Records a newer told load, of which this box's own requests were taken away. */
export function recordOthersLoad(known: OthersLoad, load: number, at: Milliseconds): void {
  const span = Math.max(0, at - known.at)
  const weight = 1 - Math.exp(-span / MEAN_WINDOW)
  known.mean += weight * (load - known.mean)
  known.load = load
  known.at = at
}

/** The requests of other boxes that are expected there now, if they take `usualTime`. */
export function othersLoadAt(
  { load, at, mean }: OthersLoad,
  usualTime: Milliseconds,
  now: Milliseconds,
): number {
  const age = Math.max(0, now - at)
  return mean + (load - mean) * Math.exp(-age / (LIFETIME_SHARE * usualTime))
}
