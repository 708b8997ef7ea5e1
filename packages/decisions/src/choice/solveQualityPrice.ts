/**
 * Finds the price of a bad answer for one organisation: the lowest at which its cascade plans are
 * expected to meet its quality target. One price for all its kinds of request improves quality
 * where that is cheapest.
 */
import type { Concern } from '../table/tableRow.js'
import { planCascade, type StageEstimate } from './cascadePlan.js'

/**
 * Price of a millisecond of delay, in millionths of a currency unit, by the organisation's concern.
 */
export const DELAY_PRICES: Record<Concern, number> = { cost: 0.02, latency: 2, exposure: 0.2 }

/** Estimates for a kind of request of an organisation. */
export interface KindEstimate {
  /** Share of the organisation's requests. */
  share: number
  stages: readonly StageEstimate[]
  /** Price in millionths of a currency unit. */
  millisecondOfDelay: number
}

/** Bounds of the search, in millionths of a currency unit. */
const LOWEST_PRICE = 1
const HIGHEST_PRICE = 1e8
const BISECTION_STEPS = 26

/** Bisects on the logarithm of the price; the expected quality of plans rises with it. */
export function solveQualityPrice(kinds: readonly KindEstimate[], target: number): number {
  let low = Math.log(LOWEST_PRICE)
  let high = Math.log(HIGHEST_PRICE)
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const middle = (low + high) / 2
    if (expectedQuality(kinds, Math.exp(middle)) < target) low = middle
    else high = middle
  }
  return Math.exp(high)
}

/** Expected share of good answers under the plans for a price of a bad answer. */
export function expectedQuality(kinds: readonly KindEstimate[], badAnswer: number): number {
  let shares = 0
  let quality = 0
  for (const { share, stages, millisecondOfDelay } of kinds) {
    const plan = planCascade(stages, { badAnswer, millisecondOfDelay })
    shares += share
    quality += share * (plan.stages[plan.start]?.expectedQuality ?? 1)
  }
  return shares > 0 ? quality / shares : 1
}

/** Calibration error of the plans: predicted quality less rated quality. */
export interface QualityCalibration {
  /** Moving average of the error; positive where plans predict too much. */
  excess: number
  ratings: number
}

/** Weight of the initial error of 0, in ratings. */
const PRIOR_RATINGS = 150
/** Smallest weight of a new rating. */
const MIN_RATING_WEIGHT = 1 / 1_500
/** Planned above the target, because ratings are sparse and late. */
const TARGET_MARGIN = 0.008

export function createQualityCalibration(): QualityCalibration {
  return { excess: 0, ratings: 0 }
}

/** Records the rating of an answer; `predicted`: the plan's probability that it is good. */
export function recordPrediction(
  check: QualityCalibration,
  predicted: number,
  good: boolean,
): void {
  check.ratings++
  const step = Math.max(MIN_RATING_WEIGHT, 1 / (check.ratings + PRIOR_RATINGS))
  check.excess += step * (predicted - (good ? 1 : 0) - check.excess)
}

/**
 * The quality to plan for, corrected by the calibration error, so that rated quality meets the
 * target.
 */
export function correctedTarget(check: QualityCalibration, target: number): number {
  return target + TARGET_MARGIN + check.excess
}
