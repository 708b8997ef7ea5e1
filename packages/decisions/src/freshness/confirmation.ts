import type { Milliseconds } from '../types/clock.js'

/**
 * Until when a box may act on what it read from the store. A read proves that its answer was the newest at the
 * instant at which the read was *sent*: whatever changed while it was under way may be missing from it.
 */
export interface Confirmation {
  /** When the youngest proof was taken, on this box's clock. */
  provedAt?: Milliseconds
}

/** Takes a proof; an older one than the present changes nothing. */
export function confirm(state: Confirmation, provedAt: Milliseconds): void {
  if (state.provedAt === undefined || provedAt > state.provedAt) state.provedAt = provedAt
}

/** Infinite before the first proof. */
export function confirmationAge(state: Confirmation, now: Milliseconds): Milliseconds {
  return state.provedAt === undefined ? Infinity : now - state.provedAt
}

/** What a peer says of its own proof, with what makes it usable on another clock. */
export interface VouchedProof {
  /** The receiver's own reading of its clock, sent back: it was taken before the peer began to wait. */
  echo: Milliseconds
  /** How long the peer has held that reading. */
  heldFor: Milliseconds
  /** Age of the peer's proof when it wrote the message. */
  age: Milliseconds
}

/**
 * The earliest instant, on the receiver's clock, at which the peer's proof can have been taken. The message
 * may be late by any span, on either way, and the bound still holds.
 */
export function vouchedAt({ echo, heldFor, age }: VouchedProof): Milliseconds {
  return echo + heldFor - age
}
