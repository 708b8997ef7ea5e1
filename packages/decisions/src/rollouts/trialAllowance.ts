import {
  belongsToOrder,
  isTrialOver,
  trialProgress,
  type ExposureLimit,
  type RolloutOrder,
  type RolloutStatus,
} from './rollout.js'
import type { Milliseconds } from '../types/clock.js'

export interface TrialAllowanceOptions {
  /** Requests that a bad version may get beyond its share, over all boxes. */
  slack: number
  /** How many boxes share them, `Infinity` when unknown. */
  boxes: number
  limit: ExposureLimit
  /** When this process first knew the order, on the store's clock: earlier ones used what was before. */
  knownSince: Milliseconds
}

/** Fraction of the slack that trials use; the remainder covers retries, which count as well. */
const USABLE_SLACK = 0.8

/**
 * How many requests this box may have sent to the target beyond its share by `storeNow`. A share of
 * little traffic shows nothing of a version; the slack is allowed at any traffic.
 */
export function trialAllowance(
  order: RolloutOrder,
  status: RolloutStatus | undefined,
  storeNow: Milliseconds,
  { slack, boxes, limit, knownSince }: TrialAllowanceOptions,
): number {
  if (!status || !belongsToOrder(status, order) || status.state !== 'active') return 0
  if (isTrialOver(order, status, storeNow, limit)) return 0
  const part = (USABLE_SLACK * slack) / Math.max(1, boxes)
  const progressAt = (at: Milliseconds) => Math.max(0, trialProgress(order, status, at, limit))
  return Math.floor(part * (progressAt(storeNow) - progressAt(knownSince)))
}
