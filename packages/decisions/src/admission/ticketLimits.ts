/**
 * Which tickets of a flow that wants more than its part are served: those from a limit on, which
 * follows the line slowly, so that it is the same for callers that repeat until the line is short
 * for a moment and for those that wait as told. A ticket that was rejected is rejected here again.
 */
import type { Milliseconds } from '../types/clock.js'
import type { RoomTicket } from './roomTicket.js'

/** The least ticket that is served of a flow. */
interface TicketLimit {
  value: number
  updatedAt: Milliseconds
}

/** What a box keeps of the tickets of a service's requests. */
export interface TicketLimits {
  /** By flow. */
  limits: Map<string, TicketLimit>
  /** When rejected tickets are renewed, by their value. */
  rejected: Map<number, Milliseconds>
}

const SECOND: Milliseconds = 1_000
/** Change of a limit in a second while the line is as long as allowed; so much less while it is short. */
const LIMIT_RATE = 0.3
/** Change of the limit with the line, beside that over time: keeps both from swinging. */
const LINE_GAIN = 0.2
/** Some are served whatever the line, so that its end is seen. */
const MAX_LIMIT = 0.98
/** A line that was not seen for longer counts no more than this. */
const MAX_INTERVAL: Milliseconds = 500
/** Rejected tickets that a box keeps of a service. */
const MAX_REJECTED_TICKETS = 2_048
/** Flows whose limit a box keeps, of a service. */
const MAX_LIMITS = 1_024

export function createTicketLimits(): TicketLimits {
  return { limits: new Map(), rejected: new Map() }
}

/**
 * Updates the limit of a flow, and returns whether a ticket is served. `excess`: how much longer the
 * line is than usual, as a part of the usual; from -1.
 */
export function isTicketServed(
  { limits, rejected }: TicketLimits,
  flow: string,
  { value }: RoomTicket,
  excess: number,
  now: Milliseconds,
): boolean {
  const limit = limits.get(flow) ?? { value: 0, updatedAt: now }
  keepNewest(limits, flow, limit, MAX_LIMITS)
  const bounded = Math.min(1, excess)
  const elapsed = Math.min(MAX_INTERVAL, now - limit.updatedAt)
  const moved = limit.value + (bounded * LIMIT_RATE * elapsed) / SECOND
  limit.value = Math.min(MAX_LIMIT, Math.max(0, moved))
  limit.updatedAt = now
  const renewedAt = rejected.get(value) ?? -Infinity
  return renewedAt <= now && value >= limit.value + LINE_GAIN * bounded
}

/** Records that the request with this ticket was rejected. */
export function recordRejectedTicket(
  { rejected }: TicketLimits,
  { value, renewedIn }: RoomTicket,
  now: Milliseconds,
): void {
  keepNewest(rejected, value, now + renewedIn, MAX_REJECTED_TICKETS)
  for (const [oldest, renewedAt] of rejected) {
    if (renewedAt > now) return
    rejected.delete(oldest)
  }
}

/** Sets an entry as the newest, and removes the oldest ones above a number. */
function keepNewest<Key, Value>(
  entries: Map<Key, Value>,
  key: Key,
  value: Value,
  most: number,
): void {
  entries.delete(key)
  entries.set(key, value)
  for (const oldest of entries.keys()) {
    if (entries.size <= most) return
    entries.delete(oldest)
  }
}
