import type { Milliseconds } from '../types/clock.js'

/** A token bucket. Its capacity is what the rate refills in `BURST_SPAN`. */
export interface RateBucket {
  tokens: number
  /** Time of the last refill. */
  at: Milliseconds
}

const BURST_SPAN: Milliseconds = 1_000
/** Smallest part of a box, as a share of an even split: admits callers that are new at the box. */
const MIN_SHARE_OF_EVEN_SPLIT = 0.25

export function createRateBucket(limitPerSecond: number, now: Milliseconds): RateBucket {
  return { tokens: (limitPerSecond * BURST_SPAN) / 1_000, at: now }
}

/** Refills the bucket at `limitPerSecond` and takes one token. Returns false when there is none. */
export function takeToken(bucket: RateBucket, limitPerSecond: number, now: Milliseconds): boolean {
  const capacity = Math.max(1, (limitPerSecond * BURST_SPAN) / 1_000)
  bucket.tokens = Math.min(capacity, bucket.tokens + ((now - bucket.at) * limitPerSecond) / 1_000)
  bucket.at = now
  if (bucket.tokens < 1) return false
  bucket.tokens -= 1
  return true
}

/**
 * A box's part of a rate limit that all boxes share, in proportion to its part of the demand in
 * heartbeats, and at least a floor. The parts add up to at most 25 % (the floor's share) above the
 * limit when all boxes see the same demand.
 */
export function shareOfLimit(
  limitPerSecond: number,
  ownDemand: number,
  totalDemand: number,
  boxes: number,
): number {
  const floor = (limitPerSecond / boxes) * MIN_SHARE_OF_EVEN_SPLIT
  if (totalDemand <= 0) return limitPerSecond / boxes
  return Math.max(floor, limitPerSecond * (ownDemand / totalDemand))
}
