/**
 * Keeps the boxes together from causing more rejections at an upstream than it bears: one that has
 * to turn away more falls over. A box keeps as many requests there as it lately had without a
 * rejection. Each one more may be rejected; of these rejections each box may cause an equal part.
 */
import type { Milliseconds } from '../types/clock.js'
import type { Random } from '../types/random.js'

/** What a box knows of an upstream that says how many rejections it bears. */
export interface BrittleHold {
  /** Rejections a second that it bears, of all boxes together. */
  bearable: number
  /** Requests of this box that it lately worked on at once. */
  window: number
  /** When this box last had as many there. */
  usedAt: Milliseconds
  /** Until then this box sends no more than the window. */
  until: Milliseconds
}

/**
 * Part of what the upstream bears that boxes spend on trying whether it has more room. Each place
 * found that way may have been another box's, which is then rejected once.
 */
const TRIED_PART = 0.2
/** Longest hold on average, so that an upstream that rejected many is still tried this often. */
const MAX_HOLD: Milliseconds = 10_000
/** Places that a box has not used for this long may be another's by now. */
const WINDOW_LIFETIME: Milliseconds = 1_000
/** Interval between checks whether an upstream has answered one of the requests it got. */
export const BRITTLE_CHECK: Milliseconds = 50
const SECOND: Milliseconds = 1_000

/** Starts to hold back; `inFlight`: requests of this box there, which it has taken. */
export function createBrittleHold(
  bearable: number,
  inFlight: number,
  now: Milliseconds,
): BrittleHold {
  return { bearable, window: inFlight, usedAt: now, until: -Infinity }
}

/**
 * Records that it rejected one of `inFlight` requests of this box. Holds vary by chance, so that
 * boxes that were rejected together do not try again together.
 */
export function recordBrittleRejection(
  hold: BrittleHold,
  { boxes, inFlight, random }: { boxes: number; inFlight: number; random: Random },
  now: Milliseconds,
): void {
  const part = partOf(hold.bearable, boxes)
  const jitter = 0.5 + random()
  const interval = part > 0 ? (jitter * SECOND) / part : Infinity
  hold.until = Math.min(now + jitter * MAX_HOLD, Math.max(hold.until, now) + interval)
  hold.window = Math.max(0, Math.min(hold.window, inFlight - 1))
}

/** Records that it took one of `inFlight` requests of this box. */
export function recordBrittleAcceptance(
  hold: BrittleHold,
  inFlight: number,
  now: Milliseconds,
): void {
  if (inFlight < hold.window) return
  hold.usedAt = now
  if (inFlight > hold.window) hold.window++
}

/** When this box may next send; undefined where nothing keeps it from sending now. */
export function nextSendToBrittle(
  hold: BrittleHold,
  { boxes, inFlight }: { boxes: number; inFlight: number },
  now: Milliseconds,
): Milliseconds | undefined {
  forgetUnused(hold, inFlight, now)
  if (inFlight < hold.window) return undefined
  if (now < hold.until) return hold.until
  const most = Math.max(1, Math.floor(partOf(hold.bearable, boxes)))
  return inFlight - hold.window >= most ? now + BRITTLE_CHECK : undefined
}

function forgetUnused(hold: BrittleHold, inFlight: number, now: Milliseconds): void {
  if (inFlight >= hold.window) hold.usedAt = now
  if (now - hold.usedAt < WINDOW_LIFETIME) return
  hold.window = inFlight
  hold.usedAt = now
}

/** Rejections a second that each of the boxes may cause by trying. */
function partOf(bearable: number, boxes: number): number {
  return (TRIED_PART * bearable) / Math.max(1, boxes)
}
