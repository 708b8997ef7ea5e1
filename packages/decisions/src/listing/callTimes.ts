import type { Milliseconds } from '../types/clock.js'

/** Usual times of calls by route, over all upstreams, at a pace of 1 and without waiting. */
export type CallTimes = Map<string, { time: Milliseconds; samples: number }>

/** Assumed until the first answer; only its ratio to network times matters then. */
const INITIAL_TIME: Milliseconds = 50
/** Weight of a sample once many are known. */
const TIME_WEIGHT = 0.01
/** A time counts for at most this multiple of the usual one. */
const MAX_RATIO = 8

/** The usual time of a route's calls. */
export function usualTimeOf(times: CallTimes, route: string): Milliseconds {
  return times.get(route)?.time ?? INITIAL_TIME
}

/** Records the time of an answer. */
export function recordCallTime(times: CallTimes, route: string, time: Milliseconds): void {
  const known = times.get(route)
  if (!known) {
    times.set(route, { time, samples: 1 })
    return
  }
  known.samples++
  const bounded = Math.min(time, MAX_RATIO * known.time)
  known.time += Math.max(TIME_WEIGHT, 1 / known.samples) * (bounded - known.time)
}
