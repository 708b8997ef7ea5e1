import type { Concern } from '../table/tableRow.js'

/**
 * The price of a bad answer for one organisation, moved so that the quality of what is served meets its
 * target at the least cost: up while served quality lies under the target, down while it lies above.
 */
export interface QualityPrice {
  badAnswer: number
}

/** Ratio by which the price moves for one request that misses the target wholly. */
const STEP = 0.05
const SMALLEST = 1
const LARGEST = 1e9
/** Aims this far above the target: estimates err. */
const MARGIN = 0.003

/** Millionths of a currency unit for a millisecond of delay, by what the organisation weighs. */
export const DELAY_PRICES: Record<Concern, number> = { cost: 0.02, latency: 2, exposure: 0.2 }

export function createQualityPrice(start = 2_000): QualityPrice {
  return { badAnswer: start }
}

/** Moves the price by what one request was expected to give, or by what its rating says. */
export function adjustPrice(price: QualityPrice, quality: number, target: number): void {
  const moved = price.badAnswer * Math.exp(STEP * (target + MARGIN - quality))
  price.badAnswer = Math.min(LARGEST, Math.max(SMALLEST, moved))
}
