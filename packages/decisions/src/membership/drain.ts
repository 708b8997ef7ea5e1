/**
 * Graceful shutdown of a box: it removes its address from the list, serves until callers' cached
 * addresses have expired, refuses new requests, waits for those in flight, writes its bills to the
 * store, and stops.
 */
import type { Milliseconds } from '../types/clock.js'

export type DrainStep = 'serving' | 'unlisted' | 'finishing' | 'flushing' | 'stopped'

export interface DrainState {
  step: DrainStep
  /** Time that callers cache an address. */
  addressLifetime: Milliseconds
  unlistedAt?: Milliseconds
  inFlight: number
  unwrittenBills: number
}

export type DrainMessage =
  | { type: 'stop-asked' }
  | { type: 'in-flight'; count: number }
  | { type: 'unwritten-bills'; count: number }
  | { type: 'tick' }

export type DrainEffect =
  { type: 'leave-list' } | { type: 'refuse-new' } | { type: 'flush-bills' } | { type: 'stop' }

export function createDrainState(addressLifetime: Milliseconds): DrainState {
  return { step: 'serving', addressLifetime, inFlight: 0, unwrittenBills: 0 }
}

/** Whether new requests are accepted. */
export function acceptsNewRequests(state: DrainState): boolean {
  return state.step === 'serving' || state.step === 'unlisted'
}

const ADVANCE: Record<DrainStep, (state: DrainState, now: Milliseconds) => DrainEffect[]> = {
  serving: () => [],
  unlisted(state, now) {
    if (now - (state.unlistedAt ?? now) < state.addressLifetime) return []
    state.step = 'finishing'
    return [{ type: 'refuse-new' }]
  },
  finishing(state) {
    if (state.inFlight > 0) return []
    state.step = 'flushing'
    return [{ type: 'flush-bills' }]
  },
  flushing(state) {
    if (state.unwrittenBills > 0) return []
    state.step = 'stopped'
    return [{ type: 'stop' }]
  },
  stopped: () => [],
}

export function drainTransition(
  state: DrainState,
  message: DrainMessage,
  now: Milliseconds,
): DrainEffect[] {
  if (message.type === 'in-flight') state.inFlight = message.count
  if (message.type === 'unwritten-bills') state.unwrittenBills = message.count
  if (message.type === 'stop-asked' && state.step === 'serving') {
    state.step = 'unlisted'
    state.unlistedAt = now
    return [{ type: 'leave-list' }]
  }
  return ADVANCE[state.step](state, now)
}
