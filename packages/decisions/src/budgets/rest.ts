import type { Milliseconds } from '../types/clock.js'

/** An upstream is believed for so long; one that asks for more is asked once in this time how it is. */
const LONGEST_REST: Milliseconds = 3_600_000
/** After its rest an upstream is sent one request in this time ... */
export const RETURN_EVERY: Milliseconds = 100
/** ... until it has answered one, or so much later. */
const RETURN_SPAN: Milliseconds = 1_000

/** Statuses with which an upstream turns a request away, and may ask for rest. */
export const TURNS_AWAY: ReadonlySet<number> = new Set([429, 503])

/** No rest was asked for. */
export const NO_REST: Milliseconds = -Infinity

/** Until when a box leaves an upstream alone that asks it for a rest of `span`. A shorter one does not end a longer. */
export function restUntil(
  known: Milliseconds,
  span: Milliseconds,
  now: Milliseconds,
): Milliseconds {
  if (span <= 0) return known
  return Math.max(known, now + Math.min(span, LONGEST_REST))
}

/**
 * When a box may next send to an upstream that it leaves alone until `until`; undefined where nothing holds it back. Whatever waited for the
 * end of the rest does not come at once: the first request shows whether the upstream takes more.
 */
export function restOpensAt(
  until: Milliseconds,
  lastSentAt: Milliseconds | undefined,
  now: Milliseconds,
): Milliseconds | undefined {
  if (now >= until + RETURN_SPAN) return undefined
  return Math.max(until, (lastSentAt ?? -Infinity) + RETURN_EVERY)
}
