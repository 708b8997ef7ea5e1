/**
 * A planned stop. The box first stops giving its address to callers, goes on serving until every caller's
 * kept address has run out, then refuses new requests, waits for what is in flight, hands its bills to the
 * store, and only then ends.
 */
import type { Milliseconds } from '../types/clock.js'

export type DrainStep = 'serving' | 'unlisted' | 'finishing' | 'flushing' | 'stopped'

export interface DrainState {
  step: DrainStep
  /** How long callers keep an address. */
  addressLifetime: Milliseconds
  leftListAt?: Milliseconds
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

/** Whether a new request may still start. */
export function takesNewRequests(state: DrainState): boolean {
  return state.step === 'serving' || state.step === 'unlisted'
}

const ADVANCE: Record<DrainStep, (state: DrainState, now: Milliseconds) => DrainEffect[]> = {
  serving: () => [],
  unlisted(state, now) {
    if (now - (state.leftListAt ?? now) < state.addressLifetime) return []
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
    state.leftListAt = now
    return [{ type: 'leave-list' }]
  }
  return ADVANCE[state.step](state, now)
}
