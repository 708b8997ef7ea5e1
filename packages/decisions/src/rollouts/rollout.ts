import {
  compareRevisions,
  epochOf,
  isLaterRevision,
  type StoreRevision,
} from '../freshness/storeRevision.js'
import type { Milliseconds } from '../types/clock.js'

/**
 * An operator's order to roll out a version: to move a service's traffic to it. As a revision, it
 * is that of the order's row; a later order has a later one.
 */
export interface RolloutOrder extends StoreRevision {
  service: string
  target: string
  /** Time in which the rollout is to be completed. */
  duration: Milliseconds
}

export type RolloutState = 'active' | 'completed' | 'rolled-back'

/**
 * Progress of a rollout, as stored and read by all boxes. As a revision, it is that of the status
 * row, for compare-and-swap.
 */
export interface RolloutStatus extends StoreRevision {
  service: string
  target: string
  state: RolloutState
  /** When the order was first read, on the store's clock. */
  startedAt: Milliseconds
  /**
   * Versions that earlier rollouts of the service rolled back; their upstreams may stay listed for
   * some seconds.
   */
  rejected?: readonly string[]
  /**
   * The order that it belongs to. Set if the store lost this status, so that the revisions do not
   * show it.
   */
  order?: StoreRevision
}

/**
 * Whether an order that was read is the known one. In a later epoch of the store it may have another
 * revision, since the operator writes again what was lost.
 */
export function isSameOrder(known: RolloutOrder, read: RolloutOrder): boolean {
  if (epochOf(read) <= epochOf(known)) return compareRevisions(known, read) === 0
  return isEqualOrder(known, read)
}

function isEqualOrder(left: RolloutOrder, right: RolloutOrder): boolean {
  return (
    left.service === right.service &&
    left.target === right.target &&
    left.duration === right.duration
  )
}

/** Whether the status belongs to this order, not to an earlier one. */
export function belongsToOrder(status: RolloutStatus | undefined, order: RolloutOrder): boolean {
  if (status?.target !== order.target) return false
  if (status.order) return compareRevisions(status.order, order) === 0
  return isLaterRevision(status, order)
}

/** Whether the rollout was completed or rolled back. */
export function isRolloutFinished(order: RolloutOrder, status: RolloutStatus | undefined): boolean {
  return status !== undefined && belongsToOrder(status, order) && status.state !== 'active'
}

/** Versions that were rolled back and not ordered again; they must not serve. */
export function rejectedVersions(
  status: RolloutStatus | undefined,
  order?: RolloutOrder,
): readonly string[] {
  if (!status) return []
  const earlier = status.rejected ?? []
  const isPast = !order || !belongsToOrder(status, order)
  const rejected =
    status.state === 'rolled-back' && isPast ? [...earlier, status.target] : [...earlier]
  return [...new Set(rejected)].filter(version => version !== order?.target)
}

/**
 * Sessions may change version only after half of the duration, plus a margin for clock differences.
 */
const SESSION_MOVE_FRACTION = 0.52
/**
 * Factor on the trial share before that, while only requests without a session go to the target.
 */
const EARLY_SHARE_FACTOR = 0.1
/** Fraction of the duration, counted at the trial share, that the lower early share saves. */
const EARLY_SAVED_FRACTION = SESSION_MOVE_FRACTION * (1 - EARLY_SHARE_FACTOR)
/** Upper bound whatever the exposure limit; a larger sample isn't needed to judge a version. */
const MAX_TRIAL_SHARE = 0.2
/** Lower bound, used even if the duration is too short for the exposure limit. */
const MIN_TRIAL_SHARE = 0.01
/** Fraction of the duration in which the share grows from the trial share to 1. */
const GROWTH_FRACTION = 0.015
/** Fraction of the exposure limit that is planned for; boxes see each step at different times. */
const PLANNED_LIMIT_FRACTION = 0.95
/**
 * Time before the end at which the final state is written: two more boxes may step in for one that
 * the store rejects, and a slow store takes up to 0.6 s.
 */
const COMPLETION_MARGIN: Milliseconds = 700
/**
 * Fraction of the duration, with bounds, for which the old version drains; answers that take longer
 * are continued on the new version's upstreams. A longer drain leaves less of the exposure limit to
 * the trial: with 6 % on trial a version whose every fifth answer is three times slower was not
 * found in 24 s.
 */
const DRAIN_FRACTION = 0.02
const MIN_DRAIN_DURATION: Milliseconds = 500
const MAX_DRAIN_DURATION: Milliseconds = 10_000

/**
 * Setting: largest share of a service's requests during a rollout that a bad version may get, 0 to
 * 1.
 */
export type ExposureLimit = number

/** Steps of a rollout. Instants are fractions of its duration, 0 to 1. */
export interface RampPlan {
  /** Share of requests that go to the target on trial, 0 to 1; at first a fraction of it. */
  trialShare: number
  /** From here on all new requests go to the target and the old version drains. */
  fullTrafficFrom: number
  /** From here on the final state is written. */
  completeFrom: number
}

/**
 * Plans a ramp whose total exposure over the duration stays within `limit`, even if a bad version
 * is never detected: a small trial share for most of the time, all requests only at the very end.
 * The long trial detects late faults while the old version still runs.
 */
export function planRamp({ duration }: RolloutOrder, limit: ExposureLimit): RampPlan {
  const completeFrom = 1 - COMPLETION_MARGIN / duration
  const drain = Math.min(
    MAX_DRAIN_DURATION,
    Math.max(MIN_DRAIN_DURATION, DRAIN_FRACTION * duration),
  )
  const fullTrafficFrom = completeFrom - drain / duration
  const trialExposure = PLANNED_LIMIT_FRACTION * limit - GROWTH_FRACTION / 2 - (1 - fullTrafficFrom)
  const trialShare = trialExposure / (fullTrafficFrom - EARLY_SAVED_FRACTION)
  return {
    trialShare: Math.min(MAX_TRIAL_SHARE, Math.max(MIN_TRIAL_SHARE, trialShare)),
    fullTrafficFrom,
    completeFrom,
  }
}

/**
 * Share of requests that go to the target at `storeNow`, 0 to 1. A doubted target keeps the trial
 * share.
 */
export function targetShare(
  order: RolloutOrder,
  status: RolloutStatus | undefined,
  storeNow: Milliseconds,
  limit: ExposureLimit,
  isDoubted = false,
): number {
  if (!status || !belongsToOrder(status, order)) return 0
  if (status.state === 'completed') return 1
  if (status.state === 'rolled-back') return 0
  const { trialShare, fullTrafficFrom } = planRamp(order, limit)
  const elapsed = elapsedFraction(order, status, storeNow)
  if (elapsed < SESSION_MOVE_FRACTION) return EARLY_SHARE_FACTOR * trialShare
  if (isDoubted) return trialShare
  if (elapsed >= fullTrafficFrom) return 1
  const growth = Math.max(0, (elapsed - (fullTrafficFrom - GROWTH_FRACTION)) / GROWTH_FRACTION)
  return trialShare + (1 - trialShare) * growth
}

/**
 * Whether the trial phase is over, so that the evidence decides whether the target's share grows.
 */
export function isTrialOver(
  order: RolloutOrder,
  status: RolloutStatus,
  storeNow: Milliseconds,
  limit: ExposureLimit,
): boolean {
  return trialProgress(order, status, storeNow, limit) >= 1
}

/** The part of the trial phase that has passed; 1 at its end. */
export function trialProgress(
  order: RolloutOrder,
  status: RolloutStatus,
  storeNow: Milliseconds,
  limit: ExposureLimit,
): number {
  const { fullTrafficFrom } = planRamp(order, limit)
  return elapsedFraction(order, status, storeNow) / (fullTrafficFrom - GROWTH_FRACTION)
}

function elapsedFraction(
  { duration }: RolloutOrder,
  { startedAt }: RolloutStatus,
  storeNow: Milliseconds,
): number {
  return (storeNow - startedAt) / duration
}

/** Whether sessions must stay on the version that they started on. */
export function keepsSessions(
  order: RolloutOrder,
  status: RolloutStatus | undefined,
  storeNow: Milliseconds,
): boolean {
  if (!status || !belongsToOrder(status, order) || status.state !== 'active') return true
  return elapsedFraction(order, status, storeNow) < SESSION_MOVE_FRACTION
}

/** Input of the rollout leader's decision. */
export interface RolloutView {
  order: RolloutOrder
  status?: RolloutStatus
  storeNow: Milliseconds
  /** Number of upstreams that serve the target and accept requests. */
  targetUpstreams: number
  /** Whether the target is significantly worse than the other versions. */
  isTargetBad: boolean
  /** Whether the evidence suggests that the target is worse, without being significant. */
  isTargetProbablyBad: boolean
  limit: ExposureLimit
}

/** The state to write; undefined to keep the present one. */
export function decideRollout(view: RolloutView): RolloutState | undefined {
  const { order, status, storeNow, isTargetBad } = view
  if (!status || !belongsToOrder(status, order))
    return view.targetUpstreams > 0 ? 'active' : undefined
  if (status.state !== 'active') return undefined
  if (isTargetBad) return 'rolled-back'
  if (view.targetUpstreams === 0) return undefined
  const { completeFrom } = planRamp(order, view.limit)
  if (elapsedFraction(order, status, storeNow) < completeFrom) return undefined
  return view.isTargetProbablyBad ? 'rolled-back' : 'completed'
}
