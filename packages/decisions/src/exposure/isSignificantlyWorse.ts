/**
 * Sequential test of the hypothesis that a version is no worse than the incumbent. The statistic is
 * a mixture of likelihood ratios. Under the hypothesis its expectation is at most 1 at any time, so
 * it may be evaluated after every rating: the probability that it ever exceeds 1/alpha is at most
 * alpha.
 */
import { OLDER_BLOCK, type EvidenceTotal } from './evidence.js'

/** Totals of one version by kind and block. */
export type VersionEvidence = ReadonlyMap<string, ReadonlyMap<number, EvidenceTotal>>

export interface SequentialTestOptions {
  /**
   * Probability of a false positive: halting a version that is no worse.
   * @default 0.005
   */
  alpha?: number
  /**
   * Accepted drop in the share of good answers, 0 to 1.
   * @default 0.02
   */
  tolerance?: number
}

/** Drops in the share of good answers that the mixture tests, with equal weights. */
const QUALITY_DROPS = [0.05, 0.1, 0.2, 0.4]
/** Standard errors subtracted from the incumbent's share to allow for its own uncertainty. */
const BASELINE_STANDARD_ERRORS = 2
const MIN_SHARE = 0.01
const MAX_SHARE = 0.995
/**
 * Fewest ratings of the incumbent that make a baseline for a kind. Ratings of the same period are
 * used if there are enough, otherwise all of them; a kind with fewer is skipped.
 */
export const MIN_BASELINE_RATINGS = 20

/** Whether the candidate is worse than the incumbent at significance level `alpha`. */
export function isSignificantlyWorse(
  candidate: VersionEvidence,
  incumbent: VersionEvidence,
  options: SequentialTestOptions = {},
): boolean {
  const { alpha = 0.005, tolerance = 0.02 } = options
  const starts = sortedBlocks(candidate)
  // Bonferroni correction: one test for each block in which a decline may have started.
  const threshold = Math.log((starts.length || 1) / alpha)
  return starts.some(start => logEvidence(candidate, incumbent, start, tolerance) >= threshold)
}

/** Natural logarithm of the mixture likelihood ratio, from ratings of block `start` on. */
export function logEvidence(
  candidate: VersionEvidence,
  incumbent: VersionEvidence,
  start: number,
  tolerance: number,
): number {
  const kinds = [...candidate].flatMap(([kind, blocks]) => {
    const baseline = baselineShare(incumbent.get(kind), start, tolerance)
    return baseline === undefined ? [] : [{ baseline, ...ratingsSince(blocks, start) }]
  })
  const logRatios = QUALITY_DROPS.map(drop =>
    kinds.reduce(
      (sum, { baseline, good, bad }) => sum + logLikelihoodRatio(baseline, drop, good, bad),
      0,
    ),
  )
  const largest = Math.max(...logRatios)
  const mean =
    logRatios.reduce((sum, logRatio) => sum + Math.exp(logRatio - largest), 0) / logRatios.length
  return largest + Math.log(mean)
}

function logLikelihoodRatio(baseline: number, drop: number, good: number, bad: number): number {
  const lower = Math.max(MIN_SHARE, baseline - drop)
  if (lower >= baseline) return 0
  return good * Math.log(lower / baseline) + bad * Math.log((1 - lower) / (1 - baseline))
}

/**
 * Share of good answers that the candidate must reach in a kind; undefined if the incumbent has too
 * few ratings.
 */
function baselineShare(
  blocks: ReadonlyMap<number, EvidenceTotal> | undefined,
  start: number,
  tolerance: number,
): number | undefined {
  if (!blocks) return undefined
  const sameTime = ratingsSince(blocks, start)
  const isEnough = sameTime.good + sameTime.bad >= MIN_BASELINE_RATINGS
  const { good, bad } = isEnough ? sameTime : ratingsSince(blocks, OLDER_BLOCK)
  const rated = good + bad
  if (rated < MIN_BASELINE_RATINGS) return undefined
  const share = good / rated
  const standardError = Math.sqrt((share * (1 - share)) / rated)
  const baseline = share - BASELINE_STANDARD_ERRORS * standardError - tolerance
  return Math.min(MAX_SHARE, Math.max(MIN_SHARE, baseline))
}

function ratingsSince(
  blocks: ReadonlyMap<number, EvidenceTotal>,
  start: number,
): { good: number; bad: number } {
  let good = 0
  let bad = 0
  for (const [block, total] of blocks) {
    if (block < start) continue
    good += total.good
    bad += total.bad
  }
  return { good, bad }
}

/**
 * Natural logarithm of the mixture likelihood ratio over all ratings. Negative values favour the
 * candidate.
 */
export function totalLogEvidence(
  candidate: VersionEvidence,
  incumbent: VersionEvidence,
  tolerance: number,
): number {
  const [first] = sortedBlocks(candidate)
  return first === undefined ? 0 : logEvidence(candidate, incumbent, first, tolerance)
}

/** All blocks of a version, oldest first. A decline may start in any of them. */
function sortedBlocks(evidence: VersionEvidence): number[] {
  const blocks = new Set<number>()
  for (const byBlock of evidence.values()) for (const block of byBlock.keys()) blocks.add(block)
  return [...blocks].sort((left, right) => left - right)
}
