/**
 * A lease on a piece of work that one box does for all, kept as one row of the store. Nobody compares clocks:
 * a box that sees the row unchanged for long enough on its own clock takes it, and the fence grows with each
 * taking. The holder counts from before it asked for the renewal, so it gives up before others may take over;
 * a holder that was paused finds its lease lapsed when it wakes, and what it still has under way carries an
 * old fence.
 */
import type { Milliseconds } from '../types/clock.js'
import { createTransition, type HandlerTable, type MessageOf } from '../types/transition.js'

export interface LeaseRow {
  holder: string
  fence: number
  renewals: number
}

export interface LeaseLimits {
  /** How long a holder may act after it asked for its last renewal. */
  holdFor: Milliseconds
  /** How long a row must stand unchanged before another box takes it. Longer than `holdFor`. */
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
  /** The row as last seen, and when it was first seen so. */
  seen?: { row?: LeaseRow; version: number; since: Milliseconds }
  /** Set while this box holds the lease. */
  held?: { fence: number; askedAt: Milliseconds }
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
  tick: renewOrWatch,
  'row-read': seeRow,
  'read-failed': askAgainLater,
  'write-answered': takeAnswer,
}

export function createLeaseState(
  self: string,
  limits: LeaseLimits = DEFAULT_LEASE_LIMITS,
): LeaseState {
  return { self, limits, asking: false }
}

/** Decides when to ask for the lease, and whether this box holds it. */
export const leaseTransition = createTransition(HANDLERS)

/** The fence under which this box may act now, if it holds the lease. */
export function heldFence(state: LeaseState, now: Milliseconds): number | undefined {
  if (!state.held) return undefined
  return now - state.held.askedAt <= state.limits.holdFor ? state.held.fence : undefined
}

function renewOrWatch(state: LeaseState, _message: Of<'tick'>, now: Milliseconds): LeaseEffect[] {
  if (state.held && heldFence(state, now) === undefined) delete state.held
  if (state.asking) return []
  state.asking = true
  return [{ type: 'read-row' }]
}

function askAgainLater(state: LeaseState): LeaseEffect[] {
  state.asking = false
  return []
}

function seeRow(
  state: LeaseState,
  { row, version }: Of<'row-read'>,
  now: Milliseconds,
): LeaseEffect[] {
  state.asking = false
  if (state.seen?.version !== version) state.seen = { ...(row && { row }), version, since: now }
  if (row && state.held && row.holder === state.self && row.fence === state.held.fence) {
    if (now - state.held.askedAt < state.limits.renewEvery) return []
    return write(state, { ...row, renewals: row.renewals + 1 }, version, now)
  }
  delete state.held
  const isFree = !row || now - state.seen.since >= state.limits.lapseAfter
  if (!isFree) return []
  return write(
    state,
    { holder: state.self, fence: (row?.fence ?? 0) + 1, renewals: 0 },
    version,
    now,
  )
}

function write(
  state: LeaseState,
  row: LeaseRow,
  version: number,
  now: Milliseconds,
): LeaseEffect[] {
  state.asking = true
  return [{ type: 'write-row', row, version, askedAt: now }]
}

function takeAnswer(
  state: LeaseState,
  { askedAt, row, outcome }: Of<'write-answered'>,
): LeaseEffect[] {
  state.asking = false
  // A lost answer counts as a failure: the row shows whose it is at the next read, and after it lapses.
  if (outcome === 'committed') state.held = { fence: row.fence, askedAt }
  return []
}
