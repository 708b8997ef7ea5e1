import type { Milliseconds } from '../types/clock.js'

/** An operator's order to move a service's traffic to another version. */
export interface RolloutOrder {
  service: string
  target: string
  /** How long the move may take. */
  duration: Milliseconds
  /** Of the row that holds the order: a later order has a higher one. */
  revision: number
}

export type RolloutState = 'active' | 'completed' | 'rolled-back'

/** How far a roll-out has come, as all boxes read it. */
export interface RolloutStatus {
  service: string
  target: string
  state: RolloutState
  /** When the order was first read, on the store's clock. */
  startedAt: Milliseconds
  /** Versions that earlier roll-outs of the service rolled back. Their upstreams serve for some seconds more. */
  rejected?: readonly string[]
  /** Of the row that holds the status; a writer names the one that it has seen. */
  revision: number
}

/** Whether the status answers this order and not an earlier one. */
export function isOf(status: RolloutStatus | undefined, order: RolloutOrder): boolean {
  return status !== undefined && status.target === order.target && status.revision > order.revision
}

/** Whether the roll-out has come to its end, either way. */
export function isOver(order: RolloutOrder, status: RolloutStatus | undefined): boolean {
  return status !== undefined && isOf(status, order) && status.state !== 'active'
}

/** Versions that may serve no more, whatever is ordered next: those that were rolled back, and were not ordered again. */
export function rejectedVersions(
  status: RolloutStatus | undefined,
  order?: RolloutOrder,
): readonly string[] {
  if (!status) return []
  const earlier = status.rejected ?? []
  const isPast = !order || !isOf(status, order)
  const rejected =
    status.state === 'rolled-back' && isPast ? [...earlier, status.target] : [...earlier]
  return [...new Set(rejected)].filter(version => version !== order?.target)
}

/** Sessions may move between versions only past half of the time; a little later on every box's clock. */
const TRIAL_FROM = 0.52
/** Part of the trial's share before that, when only callers without sessions may be moved. */
const EARLY_PART = 0.1
/** What the first half takes less than if all of it were trial. */
const TRIAL_LESS = TRIAL_FROM * (1 - EARLY_PART)
/** However much the operators allow. More is not needed to judge a version, and would be many callers of a bad one. */
const MOST_TRIAL_SHARE = 0.2
/** However short the time is. */
const LEAST_TRIAL_SHARE = 0.01
/** Part of the time in which the share grows from that of the trial to the whole. */
const GROWTH_PART = 0.015
/** Part of the limit that is planned for: boxes learn of the order, and of each step, some 100 ms apart. */
const PLANNED_PART = 0.95
/**
 * The end state is written this much before the end of the time: two more boxes may step in for one that the store turns away, and a
 * slow store takes up to 0.6 s.
 */
const COMPLETE_BEFORE: Milliseconds = 700
/**
 * The old version's answers get this part of the time to come to their end, and within these bounds; longer ones go on at the new
 * version's upstreams. What it takes of the limit the trial lacks: at 1.9 s and 6 % on trial a version of which every
 * fifth answer is three times slower was not found in 24 s, and with the old version's answers given 1.9 s in place of 4.8 s as much was earned
 * (0.808 of all worth on a day with a good version, both).
 */
const TO_END_PART = 0.02
const LEAST_TO_END: Milliseconds = 500
const MOST_TO_END: Milliseconds = 10_000

/** The part of a service's requests that a bad version may get, 0 to 1, by the operators' settings. */
export type ExposureLimit = number

/** When a version gets how much. Moments are parts of the roll-out's time. */
export interface RampPlan {
  trialShare: number
  /** From here all new requests go to the target, and those under way on the old version come to their end. */
  wholeFrom: number
  completeFrom: number
}

/**
 * The ramp by which a version gets no more of its service's requests than a bad one may, even if nothing is ever held against it: it
 * has all of them only at the very end, and before that the share that the limit leaves. A good version loses nothing by waiting; a
 * bad one that shows late is found while the old one still runs.
 */
export function planRamp({ duration }: RolloutOrder, limit: ExposureLimit): RampPlan {
  const completeFrom = 1 - COMPLETE_BEFORE / duration
  const toEnd = Math.min(MOST_TO_END, Math.max(LEAST_TO_END, TO_END_PART * duration))
  const wholeFrom = completeFrom - toEnd / duration
  const leftForTrial = PLANNED_PART * limit - GROWTH_PART / 2 - (1 - wholeFrom)
  const trialShare = leftForTrial / (wholeFrom - TRIAL_LESS)
  return {
    trialShare: Math.min(MOST_TRIAL_SHARE, Math.max(LEAST_TRIAL_SHARE, trialShare)),
    wholeFrom,
    completeFrom,
  }
}

/** Share of requests that go to the target at a moment, 0 to 1. One that is doubted stays on trial. */
export function targetShare(
  order: RolloutOrder,
  status: RolloutStatus | undefined,
  storeNow: Milliseconds,
  limit: ExposureLimit,
  isDoubted = false,
): number {
  if (!status || !isOf(status, order)) return 0
  if (status.state === 'completed') return 1
  if (status.state === 'rolled-back') return 0
  const { trialShare, wholeFrom } = planRamp(order, limit)
  const part = partOf(order, status, storeNow)
  if (part < TRIAL_FROM) return EARLY_PART * trialShare
  if (isDoubted) return trialShare
  if (part >= wholeFrom) return 1
  const growth = Math.max(0, (part - (wholeFrom - GROWTH_PART)) / GROWTH_PART)
  return trialShare + (1 - trialShare) * growth
}

/** Whether the trial is over, so that what it has shown decides whether the target gets more. */
export function isTrialOver(
  order: RolloutOrder,
  status: RolloutStatus,
  storeNow: Milliseconds,
  limit: ExposureLimit,
): boolean {
  const { wholeFrom } = planRamp(order, limit)
  return partOf(order, status, storeNow) >= wholeFrom - GROWTH_PART
}

function partOf(
  { duration }: RolloutOrder,
  { startedAt }: RolloutStatus,
  storeNow: Milliseconds,
): number {
  return (storeNow - startedAt) / duration
}

/** Whether sessions must stay on the version that they began on. */
export function keepsSessions(
  order: RolloutOrder,
  status: RolloutStatus | undefined,
  storeNow: Milliseconds,
): boolean {
  if (!status || !isOf(status, order) || status.state !== 'active') return true
  return partOf(order, status, storeNow) < TRIAL_FROM
}

/** What the leader of roll-outs knows when it decides. */
export interface RolloutView {
  order: RolloutOrder
  status?: RolloutStatus
  storeNow: Milliseconds
  /** Upstreams that serve the target and take requests. */
  targetUpstreams: number
  isTargetBad: boolean
  /** What is known of the target speaks rather against it. */
  isTargetDoubted: boolean
  limit: ExposureLimit
}

/** The state to write; undefined to leave it as it is. */
export function decideRollout(view: RolloutView): RolloutState | undefined {
  const { order, status, storeNow, isTargetBad } = view
  if (!status || !isOf(status, order)) return view.targetUpstreams > 0 ? 'active' : undefined
  if (status.state !== 'active') return undefined
  if (isTargetBad) return 'rolled-back'
  if (view.targetUpstreams === 0) return undefined
  const { completeFrom } = planRamp(order, view.limit)
  if (partOf(order, status, storeNow) < completeFrom) return undefined
  return view.isTargetDoubted ? 'rolled-back' : 'completed'
}
