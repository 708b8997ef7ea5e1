/**
 * What is learned from ratings: for each kind of request, model and confidence bucket, how likely an answer
 * is good. Ratings are partial and late; counts fade, so that what is believed follows what is true now.
 */
import type { Milliseconds } from '../types/clock.js'

/** Confidence of an engine in its answer, cut into this many buckets. */
export const CONFIDENCE_BUCKETS = 11
/** Upper edges of all buckets but the last, in mean probability of a token. */
const BUCKET_EDGES = [0.3, 0.4, 0.5, 0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.9]

/** The bucket of an answer's confidence, which is the mean probability of its tokens, 0 to 1. */
export function bucketOf(confidence: number): number {
  const bucket = BUCKET_EDGES.findIndex(edge => confidence < edge)
  return bucket === -1 ? CONFIDENCE_BUCKETS - 1 : bucket
}

/** Counts of one kind and model. */
export interface QualityCounts {
  /** Good and rated answers by bucket. */
  good: number[]
  rated: number[]
  /** Answers seen by bucket, rated or not: how often each bucket comes. */
  seen: number[]
  /** Ratings of answers that went out without a bucket. */
  unjudged: { good: number; rated: number }
  fadedAt: Milliseconds
}

/** All counts of a box, by `kind/model`. */
export type QualityEstimates = Map<string, QualityCounts>

const FADE_TIME: Milliseconds = 24 * 3_600_000
/** Weight of what neighbouring buckets and the whole say about a bucket, in answers. */
const PRIOR_WEIGHT = 4
const PRIOR_GOOD = 0.7
const PRIOR_STRENGTH = 2

export function estimateKey(kind: string, model: string): string {
  return `${kind}/${model}`
}

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

/** Notes that a model's answer fell into a bucket. */
export function noteAnswer(counts: QualityCounts, bucket: number, now: Milliseconds): void {
  fade(counts, now)
  counts.seen[bucket] = (counts.seen[bucket] ?? 0) + 1
}

/** Notes a rating of an answer; `bucket` is undefined when the answer went out unjudged. */
export function noteRating(
  counts: QualityCounts,
  bucket: number | undefined,
  isGood: boolean,
  now: Milliseconds,
): void {
  fade(counts, now)
  if (bucket === undefined) {
    counts.unjudged.rated++
    if (isGood) counts.unjudged.good++
    return
  }
  counts.rated[bucket] = (counts.rated[bucket] ?? 0) + 1
  if (isGood) counts.good[bucket] = (counts.good[bucket] ?? 0) + 1
}

/** What is believed of one confidence bucket. */
export interface BucketOutlook {
  /** How often the bucket comes; all shares sum to 1. */
  share: number
  /** Chance that an answer in it is good, drawn towards what is known of the whole. */
  good: number
}

/** What is believed of each bucket of a kind and model. */
export function resolveBuckets(counts: QualityCounts): BucketOutlook[] {
  const allGood = sum(counts.good) + counts.unjudged.good
  const whole = (allGood + PRIOR_GOOD * PRIOR_STRENGTH) / (ratedCount(counts) + PRIOR_STRENGTH)
  const allSeen = sum(counts.seen) + CONFIDENCE_BUCKETS
  return counts.seen.map((seen, bucket) => ({
    share: (seen + 1) / allSeen,
    good: (counts.good[bucket]! + whole * PRIOR_WEIGHT) / (counts.rated[bucket]! + PRIOR_WEIGHT),
  }))
}

/**
 * Chance that an answer is good, whatever its bucket. Ratings come for what was served, so each bucket counts
 * as often as it is seen, not as it is rated.
 */
export function goodShare(buckets: readonly BucketOutlook[]): number {
  return buckets.reduce((total, { share, good }) => total + share * good, 0)
}

/** Number of ratings, faded. */
export function ratedCount(counts: QualityCounts): number {
  return sum(counts.rated) + counts.unjudged.rated
}

function fade(counts: QualityCounts, now: Milliseconds): void {
  const span = now - counts.fadedAt
  if (span < FADE_TIME / 100) return
  const kept = counts.fadedAt === 0 ? 1 : Math.exp(-span / FADE_TIME)
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
