/**
 * Estimates from ratings how likely an answer is good, by kind of request, model and confidence
 * bucket. Ratings are sparse and late; counts decay exponentially, so that estimates follow
 * changes.
 */
import type { Milliseconds } from '../types/clock.js'

/** Number of buckets for an engine's confidence in its answer. */
export const CONFIDENCE_BUCKETS = 11
/** Upper edges of all buckets but the last, in mean probability of a token. */
const BUCKET_EDGES = [0.3, 0.4, 0.5, 0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.9]

/** The bucket of a confidence: the mean token probability of an answer, 0 to 1. */
export function bucketOf(confidence: number): number {
  const bucket = BUCKET_EDGES.findIndex(edge => confidence < edge)
  return bucket === -1 ? CONFIDENCE_BUCKETS - 1 : bucket
}

/** Decaying counts for one kind of request and model. */
export interface QualityCounts {
  /** Answers rated good, by bucket. */
  good: number[]
  /** Rated answers by bucket. */
  rated: number[]
  /** All answers by bucket, rated or not. */
  seen: number[]
  /** Ratings of answers that were streamed without a bucket. */
  unjudged: { good: number; rated: number }
  /** Time of the last decay, 0 before the first. */
  fadedAt: Milliseconds
}

/** A box's counts, keyed by `estimateKey`. */
export type QualityEstimates = Map<string, QualityCounts>

/** Time constant of the decay. */
const DECAY_TIME_CONSTANT: Milliseconds = 24 * 3_600_000
/** Weight of the mean over all buckets in the estimate of one bucket, in answers. */
const PRIOR_WEIGHT = 4
/** Assumed share of good answers before there are ratings, and its weight in answers. */
const PRIOR_GOOD = 0.7
const PRIOR_GOOD_WEIGHT = 2

export function estimateKey(kind: string, model: string): string {
  return `${kind}/${model}`
}

/** Returns the counts of a kind and model; creates them on first use. */
export function countsOf(estimates: QualityEstimates, kind: string, model: string): QualityCounts {
  const key = estimateKey(kind, model)
  const known = estimates.get(key)
  if (known) return known
  const created = createCounts()
  estimates.set(key, created)
  return created
}

export function createCounts(): QualityCounts {
  const zeros = () => new Array<number>(CONFIDENCE_BUCKETS).fill(0)
  return {
    good: zeros(),
    rated: zeros(),
    seen: zeros(),
    unjudged: { good: 0, rated: 0 },
    fadedAt: 0,
  }
}

/** Counts an answer in its bucket. */
export function countAnswer(counts: QualityCounts, bucket: number, now: Milliseconds): void {
  decay(counts, now)
  counts.seen[bucket] = (counts.seen[bucket] ?? 0) + 1
}

/** Counts a rating; `bucket` is undefined when the answer was streamed unjudged. */
export function countRating(
  counts: QualityCounts,
  bucket: number | undefined,
  isGood: boolean,
  now: Milliseconds,
): void {
  decay(counts, now)
  if (bucket === undefined) {
    counts.unjudged.rated++
    if (isGood) counts.unjudged.good++
    return
  }
  counts.rated[bucket] = (counts.rated[bucket] ?? 0) + 1
  if (isGood) counts.good[bucket] = (counts.good[bucket] ?? 0) + 1
}

/** Estimates for one confidence bucket. */
export interface BucketEstimate {
  /** Share of the answers that fall into the bucket; all shares sum to 1. */
  share: number
  /** Probability that an answer in it is good, shrunk towards the mean over all buckets. */
  good: number
}

/** Estimates of each bucket of a kind and model. */
export function resolveBuckets(counts: QualityCounts): BucketEstimate[] {
  const allGood = sum(counts.good) + counts.unjudged.good
  const whole =
    (allGood + PRIOR_GOOD * PRIOR_GOOD_WEIGHT) / (ratedCount(counts) + PRIOR_GOOD_WEIGHT)
  const allSeen = sum(counts.seen) + CONFIDENCE_BUCKETS
  return counts.seen.map((seen, bucket) => ({
    share: (seen + 1) / allSeen,
    good: (counts.good[bucket]! + whole * PRIOR_WEIGHT) / (counts.rated[bucket]! + PRIOR_WEIGHT),
  }))
}

/**
 * Probability that an answer is good, over all buckets. Buckets are weighted by answers, not by
 * ratings, since only served answers are rated.
 */
export function goodShare(buckets: readonly BucketEstimate[]): number {
  return buckets.reduce((total, { share, good }) => total + share * good, 0)
}

/** Number of ratings, decayed. */
export function ratedCount(counts: QualityCounts): number {
  return sum(counts.rated) + counts.unjudged.rated
}

function decay(counts: QualityCounts, now: Milliseconds): void {
  const span = now - counts.fadedAt
  if (span < DECAY_TIME_CONSTANT / 100) return
  const kept = counts.fadedAt === 0 ? 1 : Math.exp(-span / DECAY_TIME_CONSTANT)
  for (const list of [counts.good, counts.rated, counts.seen]) {
    for (let index = 0; index < list.length; index++) list[index] = (list[index] ?? 0) * kept
  }
  counts.unjudged.good *= kept
  counts.unjudged.rated *= kept
  counts.fadedAt = now
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
