/**
 * A sequential test of "this version is no worse than the one it replaces". The statistic is a mixture of
 * likelihood ratios, whose expectation is at most 1 at any time while the version is no worse, so it may be
 * looked at after every rating: the chance that it ever passes 1/alpha is at most alpha.
 */
import { OLDER_BLOCK, type EvidenceTotal } from './evidence.js'

/** Totals of one version by kind and block. */
export type VersionEvidence = ReadonlyMap<string, ReadonlyMap<number, EvidenceTotal>>

export interface WorseTestOptions {
  /**
   * Chance of halting a version that is no worse.
   * @default 0.005
   */
  alpha?: number
  /**
   * A version this much worse, as a share of answers, is still let pass.
   * @default 0.02
   */
  tolerance?: number
}

/** Drops in the share of good answers that the mixture bets on. */
const DROPS = [0.05, 0.1, 0.2, 0.4]
/** Standard errors by which the replaced version's share is lowered before it serves as the bar. */
const BAR_STANDARD_ERRORS = 2
const LOWEST_SHARE = 0.01
const HIGHEST_SHARE = 0.995
/**
 * The bar of a kind stands on at least this many ratings: of the same time if there are so many, so that a fault that strikes all
 * versions now excuses none later; else of all time. Without them the kind says nothing.
 */
const LEAST_BAR_RATINGS = 20

/** Whether the evidence shows the candidate to be worse than the incumbent. */
export function isShownWorse(
  candidate: VersionEvidence,
  incumbent: VersionEvidence,
  options: WorseTestOptions = {},
): boolean {
  const { alpha = 0.005, tolerance = 0.02 } = options
  const starts = startBlocks(candidate)
  // One test for each start of a decline, so each gets its part of alpha.
  const threshold = Math.log((starts.length || 1) / alpha)
  return starts.some(start => logEvidence(candidate, incumbent, start, tolerance) >= threshold)
}

/** Logarithm of the evidence that the candidate is worse, from ratings of block `start` on. */
export function logEvidence(
  candidate: VersionEvidence,
  incumbent: VersionEvidence,
  start: number,
  tolerance: number,
): number {
  const kinds = [...candidate].flatMap(([kind, blocks]) => {
    const bar = barOf(incumbent.get(kind), start, tolerance)
    return bar === undefined ? [] : [{ bar, ...ratingsSince(blocks, start) }]
  })
  const bets = DROPS.map(drop =>
    kinds.reduce((sum, { bar, good, bad }) => sum + logLikelihoodRatio(bar, drop, good, bad), 0),
  )
  const largest = Math.max(...bets)
  const mean = bets.reduce((sum, bet) => sum + Math.exp(bet - largest), 0) / bets.length
  return largest + Math.log(mean)
}

function logLikelihoodRatio(bar: number, drop: number, good: number, bad: number): number {
  const lower = Math.max(LOWEST_SHARE, bar - drop)
  if (lower >= bar) return 0
  return good * Math.log(lower / bar) + bad * Math.log((1 - lower) / (1 - bar))
}

/** The share of good answers that the candidate must reach in a kind. */
function barOf(
  blocks: ReadonlyMap<number, EvidenceTotal> | undefined,
  start: number,
  tolerance: number,
): number | undefined {
  if (!blocks) return undefined
  const sameTime = ratingsSince(blocks, start)
  const isEnough = sameTime.good + sameTime.bad >= LEAST_BAR_RATINGS
  const { good, bad } = isEnough ? sameTime : ratingsSince(blocks, OLDER_BLOCK)
  const rated = good + bad
  if (rated < LEAST_BAR_RATINGS) return undefined
  const share = good / rated
  const standardError = Math.sqrt((share * (1 - share)) / rated)
  const bar = share - BAR_STANDARD_ERRORS * standardError - tolerance
  return Math.min(HIGHEST_SHARE, Math.max(LOWEST_SHARE, bar))
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

/** Logarithm of the evidence that the candidate is worse, from all of its ratings. Below 0 they speak for it. */
export function logEvidenceOfAll(
  candidate: VersionEvidence,
  incumbent: VersionEvidence,
  tolerance: number,
): number {
  const [first] = startBlocks(candidate)
  return first === undefined ? 0 : logEvidence(candidate, incumbent, first, tolerance)
}

/** All time, and each block: a version may have turned bad in any of them. */
function startBlocks(evidence: VersionEvidence): number[] {
  const blocks = new Set<number>()
  for (const byBlock of evidence.values()) for (const block of byBlock.keys()) blocks.add(block)
  return [...blocks].sort((left, right) => left - right)
}
