import type { Milliseconds } from '../types/clock.js'

/** Upper bound of a back-off, so that an upstream that asks for more is still probed this often. */
const MAX_BACK_OFF: Milliseconds = 3_600_000
/** Interval between a box's requests to an upstream that has just come out of its back-off. */
export const RECOVERY_INTERVAL: Milliseconds = 100
/** Time after the back-off for which `RECOVERY_INTERVAL` applies; an answer ends it earlier. */
const RECOVERY_SPAN: Milliseconds = 1_000

/** Statuses with which an upstream rejects a request and may ask for a back-off. */
export const BACK_PRESSURE_STATUSES: ReadonlySet<number> = new Set([429, 503])

/** The back-off of an upstream that asked for none. */
export const NO_BACK_OFF: Milliseconds = -Infinity

/**
 * The end of the back-off after an upstream asked for one of `span`; never earlier than the known
 * end.
 */
export function extendBackOff(
  known: Milliseconds,
  span: Milliseconds,
  now: Milliseconds,
): Milliseconds {
  if (span <= 0) return known
  return Math.max(known, now + Math.min(span, MAX_BACK_OFF))
}

/**
 * When a box may next send to an upstream whose back-off ends at `until`; undefined where the
 * back-off no longer limits it. Requests resume one at a time, so that queued ones do not arrive as
 * a burst.
 */
export function nextSendAfterBackOff(
  until: Milliseconds,
  lastSentAt: Milliseconds | undefined,
  now: Milliseconds,
): Milliseconds | undefined {
  if (now >= until + RECOVERY_SPAN) return undefined
  return Math.max(until, (lastSentAt ?? -Infinity) + RECOVERY_INTERVAL)
}
