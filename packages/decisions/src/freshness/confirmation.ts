import type { Milliseconds } from '../types/clock.js'

/**
 * Bounds the staleness of data read from the store. A read proves that its result was the newest at
 * the instant at which the read was *sent*; changes made while it was in flight may be missing.
 */
export interface Confirmation {
  /** Instant of the newest proof, on this box's clock. */
  provedAt?: Milliseconds
}

/** Records a proof, unless a newer one is known. */
export function confirm(state: Confirmation, provedAt: Milliseconds): void {
  if (state.provedAt === undefined || provedAt > state.provedAt) state.provedAt = provedAt
}

/** Age of the newest proof; Infinity before the first. */
export function confirmationAge(state: Confirmation, now: Milliseconds): Milliseconds {
  return state.provedAt === undefined ? Infinity : now - state.provedAt
}

/** Age of a peer's proof, with the data that translates it to the receiver's clock. */
export interface PeerProof {
  /** Timestamp of the receiver's clock, which the peer returns; taken before `heldFor` began. */
  echo: Milliseconds
  /** How long the peer held that timestamp before it sent this message. */
  heldFor: Milliseconds
  /** Age of the peer's proof when it sent this message. */
  age: Milliseconds
}

/**
 * Earliest instant, on the receiver's clock, at which the peer's proof can have been taken. Holds
 * for any network delay in either direction.
 */
export function earliestProofAt({ echo, heldFor, age }: PeerProof): Milliseconds {
  return echo + heldFor - age
}
