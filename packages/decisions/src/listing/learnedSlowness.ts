/**
 * What an upstream is for good: how long its answers take over the usual ones of its service, each
 * time divided by the pace that the upstream told with it.
 */
import type { Milliseconds } from '../types/clock.js'
import { fadeToOne } from './toldPace.js'

/** The learned slowness of one upstream. */
export interface LearnedSlowness {
  /** 2 takes twice as long as usual. */
  factor: number
  samples: number
  /** When the newest sample was recorded. */
  at: Milliseconds
}

/** Weight of a sample once many are known; averages over some fifty answers. */
const SLOWNESS_WEIGHT = 0.02
/** The slowness counts as known from this many samples of 1 before the first. */
const INITIAL_SAMPLES = 10
const MIN_SLOWNESS = 0.25
const MAX_SLOWNESS = 8
/** Without samples for longer, what was learned is forgotten slowly. */
const SLOWNESS_LIFETIME: Milliseconds = 5_000

export function createLearnedSlowness(now: Milliseconds): LearnedSlowness {
  return { factor: 1, samples: 0, at: now }
}

/** Records the ratio of an answer's time, at a pace of 1, to the usual time of its service. */
export function recordSlowness(learned: LearnedSlowness, ratio: number, now: Milliseconds): void {
  const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio))
  learned.samples++
  const weight = Math.max(SLOWNESS_WEIGHT, 1 / (INITIAL_SAMPLES + learned.samples))
  learned.factor += weight * (bounded - learned.factor)
  learned.at = now
}

/** The slowness to expect now. */
export function slownessAt(learned: LearnedSlowness, now: Milliseconds): number {
  return fadeToOne(learned.factor, now - learned.at - SLOWNESS_LIFETIME)
}
