/**
 * The ticket of a request decides how long a line it may join. It follows from the request alone,
 * so that all boxes draw the same one without telling each other, and stays for a while: a caller
 * that repeats before its ticket is renewed gets the same answer as before.
 */
import type { Milliseconds } from '../types/clock.js'

export interface RoomTicket {
  /** Drawn uniformly, from 0 to 1. */
  value: number
  /** Time until it is renewed. */
  renewedIn: Milliseconds
}

/** Longer than callers take to come back as told: those that repeat draw no more tickets. */
export const TICKET_LIFETIME: Milliseconds = 6_000
const HASH_RANGE = 2 ** 32
/** Multiplier of Knuth's multiplicative hash. */
const HASH_MULTIPLIER = 2_654_435_761

/**
 * The ticket of a request at a time that boxes agree on. `hash`: of the request, below 2 to the 32.
 */
export function roomTicketAt(hash: number, time: Milliseconds): RoomTicket {
  const shifted = time + (hash / HASH_RANGE) * TICKET_LIFETIME
  const round = Math.floor(shifted / TICKET_LIFETIME)
  return {
    value: mix(hash ^ Math.imul(round, HASH_MULTIPLIER)) / HASH_RANGE,
    renewedIn: (round + 1) * TICKET_LIFETIME - shifted,
  }
}

/** Spreads neighbouring values over the whole range. */
function mix(value: number): number {
  let mixed = value
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
