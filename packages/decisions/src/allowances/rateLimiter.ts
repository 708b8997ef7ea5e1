import type { Milliseconds } from '../types/clock.js'

/** A bucket that fills at a rate and holds at most `BURST` worth of it. */
export interface RateBucket {
  tokens: number
  at: Milliseconds
}

const BURST: Milliseconds = 1_000
/** A box keeps this share of an even split for a caller that turns up unannounced. */
const FLOOR_OF_EVEN_SPLIT = 0.25

export function createRateBucket(limitPerSecond: number, now: Milliseconds): RateBucket {
  return { tokens: (limitPerSecond * BURST) / 1_000, at: now }
}

/** Takes one token, if there is one, from a bucket that fills at `limitPerSecond`. */
export function takeToken(bucket: RateBucket, limitPerSecond: number, now: Milliseconds): boolean {
  const capacity = Math.max(1, (limitPerSecond * BURST) / 1_000)
  bucket.tokens = Math.min(capacity, bucket.tokens + ((now - bucket.at) * limitPerSecond) / 1_000)
  bucket.at = now
  if (bucket.tokens < 1) return false
  bucket.tokens -= 1
  return true
}

/**
 * A box's part of a limit that all boxes share: by its part of the demand that boxes tell each other of, and
 * never less than a floor. The sum over all boxes passes the limit by at most the floor's share, 25 %, and
 * only while demand moves faster than the heartbeats that tell of it.
 */
export function shareOfLimit(
  limitPerSecond: number,
  ownDemand: number,
  totalDemand: number,
  boxes: number,
): number {
  const floor = (limitPerSecond / boxes) * FLOOR_OF_EVEN_SPLIT
  if (totalDemand <= 0) return limitPerSecond / boxes
  return Math.max(floor, limitPerSecond * (ownDemand / totalDemand))
}
