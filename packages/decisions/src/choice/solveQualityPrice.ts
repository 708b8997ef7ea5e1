/**
 * The price of a bad answer for one organisation: the least at which what is served is expected to meet its
 * quality target. One price holds for all its kinds of request, so that quality is bought where it costs least.
 */
import type { Concern } from '../table/tableRow.js'
import { planCascade, type StageOutlook } from './cascadePlan.js'

/** Millionths of a currency unit for a millisecond of delay, by what the organisation weighs. */
export const DELAY_PRICES: Record<Concern, number> = { cost: 0.02, latency: 2, exposure: 0.2 }

/** A kind of request of an organisation, as a share of its requests. */
export interface KindOutlook {
  share: number
  stages: readonly StageOutlook[]
  millisecondOfDelay: number
}

const LOWEST_PRICE = 1
const HIGHEST_PRICE = 1e8
const HALVINGS = 26

/** Finds the price by halving; the quality that a plan expects grows with the price. */
export function solveQualityPrice(kinds: readonly KindOutlook[], target: number): number {
  let low = Math.log(LOWEST_PRICE)
  let high = Math.log(HIGHEST_PRICE)
  for (let step = 0; step < HALVINGS; step++) {
    const middle = (low + high) / 2
    if (expectedQuality(kinds, Math.exp(middle)) < target) low = middle
    else high = middle
  }
  return Math.exp(high)
}

/** Share of good answers that plans at a price are expected to give. */
export function expectedQuality(kinds: readonly KindOutlook[], badAnswer: number): number {
  let shares = 0
  let quality = 0
  for (const { share, stages, millisecondOfDelay } of kinds) {
    const plan = planCascade(stages, { badAnswer, millisecondOfDelay })
    shares += share
    quality += share * (plan.stages[plan.start]?.expectedQuality ?? 1)
  }
  return shares > 0 ? quality / shares : 1
}

/** By how much plans promise more than ratings show. */
export interface PromiseCheck {
  excess: number
  ratings: number
}

/** Ratings after which the excess is believed by half. */
const HALF_TRUST_RATINGS = 150
const LEAST_STEP = 1 / 1_500
/** Aimed at above the target: ratings are few and late. */
const MARGIN = 0.008

export function createPromiseCheck(): PromiseCheck {
  return { excess: 0, ratings: 0 }
}

/** Notes a rating of an answer for which the plan promised `promised` as its chance to be good. */
export function notePromise(check: PromiseCheck, promised: number, good: boolean): void {
  check.ratings++
  const step = Math.max(LEAST_STEP, 1 / (check.ratings + HALF_TRUST_RATINGS))
  check.excess += step * (promised - (good ? 1 : 0) - check.excess)
}

/** The quality to plan for, so that what is served meets the target although plans promise too much. */
export function correctedTarget(check: PromiseCheck, target: number): number {
  return target + MARGIN + check.excess
}
