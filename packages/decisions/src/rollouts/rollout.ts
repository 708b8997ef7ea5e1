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
  /** When it began, on the store's clock. */
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

/** Share of requests that a version without a history gets, while its answers are judged. */
export const TRIAL_SHARE = 0.08
/** Sessions may move between versions only past half of the time; a little later on every box's clock. */
const TRIAL_UNTIL = 0.52
/** From here all new requests go to the target, and those under way on the old version run out. */
const WHOLE_FROM = 0.62
/** No request is left on the old version for long after this, so that the rest may be moved. */
const COMPLETE_FROM = 0.76
/** The status is written with time to spare: the first boxes to try may be those that the store turns away. */
const COMPLETE_BY = 0.82

/** Share of requests that go to the target at a moment, 0 to 1. */
export function targetShare(
  order: RolloutOrder,
  status: RolloutStatus | undefined,
  storeNow: Milliseconds,
): number {
  if (!status || !isOf(status, order)) return 0
  if (status.state === 'completed') return 1
  if (status.state === 'rolled-back') return 0
  const part = (storeNow - status.startedAt) / order.duration
  if (part < TRIAL_UNTIL) return TRIAL_SHARE
  if (part >= WHOLE_FROM) return 1
  return TRIAL_SHARE + ((1 - TRIAL_SHARE) * (part - TRIAL_UNTIL)) / (WHOLE_FROM - TRIAL_UNTIL)
}

/** Whether sessions must stay on the version that they began on. */
export function keepsSessions(
  order: RolloutOrder,
  status: RolloutStatus | undefined,
  storeNow: Milliseconds,
): boolean {
  if (!status || !isOf(status, order) || status.state !== 'active') return true
  return storeNow - status.startedAt < TRIAL_UNTIL * order.duration
}

/** What the leader of roll-outs knows when it decides. */
export interface RolloutView {
  order: RolloutOrder
  status?: RolloutStatus
  storeNow: Milliseconds
  /** Upstreams that serve the target and take requests. */
  targetUpstreams: number
  /** Requests under way on other versions, over all boxes heard of. */
  oldInFlight: number
  isTargetBad: boolean
}

/** The state to write; undefined to leave it as it is. */
export function decideRollout(view: RolloutView): RolloutState | undefined {
  const { order, status, storeNow, isTargetBad } = view
  if (!status || !isOf(status, order)) return view.targetUpstreams > 0 ? 'active' : undefined
  if (status.state !== 'active') return undefined
  if (isTargetBad) return 'rolled-back'
  if (view.targetUpstreams === 0) return undefined
  const part = (storeNow - status.startedAt) / order.duration
  if (part >= COMPLETE_BY) return 'completed'
  return part >= COMPLETE_FROM && view.oldInFlight === 0 ? 'completed' : undefined
}
