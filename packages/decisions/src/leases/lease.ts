/**
 * A lease, stored as one row, that makes one box the leader for a task. Clocks of boxes are not
 * compared: a box acquires the lease once it has seen the row unchanged for `lapseAfter` on its own
 * clock, and each acquisition increments the fencing token. The holder counts `holdFor` from before
 * it sent the renewal, so its lease expires before another box may acquire it. After a pause the
 * holder sees that its lease has expired, and writes still in flight carry an outdated fencing
 * token.
 */
import type { Milliseconds } from '../types/clock.js'
import { createTransition, type HandlerTable, type MessageOf } from '../types/transition.js'

export interface LeaseRow {
  holder: string
  /** Fencing token; incremented by each acquisition. */
  fence: number
  renewals: number
}

export interface LeaseLimits {
  /** Time that a holder may act after it sent its last renewal. */
  holdFor: Milliseconds
  /**
   * Time that a row must be unchanged before another box acquires the lease. Longer than `holdFor`.
   */
  lapseAfter: Milliseconds
  renewEvery: Milliseconds
}

export const DEFAULT_LEASE_LIMITS: LeaseLimits = {
  holdFor: 5_000,
  lapseAfter: 8_000,
  renewEvery: 1_500,
}

export interface LeaseState {
  self: string
  limits: LeaseLimits
  /** The row as last read, and when this version was first read. */
  seen?: { row?: LeaseRow; version: number; since: Milliseconds }
  /** Set while this box holds the lease. */
  held?: { fence: number; askedAt: Milliseconds }
  /** Whether a read or write of the row is in flight. */
  asking: boolean
}

export type LeaseMessage =
  | { type: 'tick' }
  | { type: 'row-read'; row?: LeaseRow; version: number }
  | { type: 'read-failed' }
  | {
      type: 'write-answered'
      askedAt: Milliseconds
      row: LeaseRow
      outcome: 'committed' | 'failed'
    }

export type LeaseEffect =
  | { type: 'read-row' }
  | { type: 'write-row'; row: LeaseRow; version: number; askedAt: Milliseconds }

type Of<Type extends LeaseMessage['type']> = MessageOf<LeaseMessage, Type>

const HANDLERS: HandlerTable<LeaseState, LeaseMessage, LeaseEffect> = {
  tick: requestRow,
  'row-read': handleRow,
  'read-failed': handleReadFailure,
  'write-answered': handleWriteOutcome,
}

export function createLeaseState(
  self: string,
  limits: LeaseLimits = DEFAULT_LEASE_LIMITS,
): LeaseState {
  return { self, limits, asking: false }
}

/** Acquires, renews and expires the lease. */
export const leaseTransition = createTransition(HANDLERS)

/** The fencing token under which this box may act now; undefined without a valid lease. */
export function heldFence(state: LeaseState, now: Milliseconds): number | undefined {
  if (!state.held) return undefined
  return now - state.held.askedAt <= state.limits.holdFor ? state.held.fence : undefined
}

function requestRow(state: LeaseState, _message: Of<'tick'>, now: Milliseconds): LeaseEffect[] {
  if (state.held && heldFence(state, now) === undefined) delete state.held
  if (state.asking) return []
  state.asking = true
  return [{ type: 'read-row' }]
}

function handleReadFailure(state: LeaseState): LeaseEffect[] {
  state.asking = false
  return []
}

function handleRow(
  state: LeaseState,
  { row, version }: Of<'row-read'>,
  now: Milliseconds,
): LeaseEffect[] {
  state.asking = false
  if (state.seen?.version !== version) state.seen = { ...(row && { row }), version, since: now }
  if (row && state.held && row.holder === state.self && row.fence === state.held.fence) {
    if (now - state.held.askedAt < state.limits.renewEvery) return []
    return requestWrite(state, { ...row, renewals: row.renewals + 1 }, version, now)
  }
  delete state.held
  const isAvailable = !row || now - state.seen.since >= state.limits.lapseAfter
  if (!isAvailable) return []
  return requestWrite(
    state,
    { holder: state.self, fence: (row?.fence ?? 0) + 1, renewals: 0 },
    version,
    now,
  )
}

function requestWrite(
  state: LeaseState,
  row: LeaseRow,
  version: number,
  now: Milliseconds,
): LeaseEffect[] {
  state.asking = true
  return [{ type: 'write-row', row, version, askedAt: now }]
}

function handleWriteOutcome(
  state: LeaseState,
  { askedAt, row, outcome }: Of<'write-answered'>,
): LeaseEffect[] {
  state.asking = false
  // An unknown outcome counts as failed, so this box acts only after a later acquisition.
  if (outcome === 'committed') state.held = { fence: row.fence, askedAt }
  return []
}
