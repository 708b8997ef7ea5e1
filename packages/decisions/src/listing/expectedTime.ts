import type { Milliseconds } from '../types/clock.js'

/** What decides how long an upstream takes for one more call. */
export interface CallConditions {
  /** Time of a call at an upstream of usual speed that is idle. */
  usualTime: Milliseconds
  /** How long work takes at this upstream over that, now and for good together. */
  slowdown: number
  /** Requests that run or wait there. */
  load: number
  /** Requests that it works on at once. */
  places: number
}

/**
 * Turns that a call is expected to wait when all places are taken by what is known: others send
 * there meanwhile, so that a fuller upstream is the worse choice even while it has a free place.
 */
const UNSEEN_TURNS = 0.3

/** The expected time until an upstream has answered one more call. */
export function expectedTime({ usualTime, slowdown, load, places }: CallConditions): Milliseconds {
  return usualTime * slowdown * (1 + turnsAhead(load, places))
}

/** How often all places of an upstream have to come free before one more call begins. */
export function turnsAhead(load: number, places: number): number {
  const queued = Math.max(0, load + 1 - places)
  return (queued + UNSEEN_TURNS * Math.min(load, places)) / places
}
