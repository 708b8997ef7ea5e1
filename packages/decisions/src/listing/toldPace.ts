/**
 * The pace that an upstream tells: how long work takes there at the moment over the usual. It is
 * valid for as long as paces are seen to last there; after that only the usual one counts.
 */
import type { Milliseconds } from '../types/clock.js'

/** What is known of the paces that one upstream has told. */
export interface ToldPace {
  /** The newest one; 2 takes twice as long. */
  pace: number
  /** When it was told. */
  at: Milliseconds
  /** Mean of the told paces, by time. */
  usual: number
  /** Time over which the mean was taken, bounded by its window. */
  observed: Milliseconds
  /** Changes seen, and the time in which they were seen; both are forgotten slowly. */
  changes: number
  watched: Milliseconds
}

/** Told paces are bounded to this range, so that no figure makes an upstream get all or nothing. */
const MIN_PACE = 0.25
const MAX_PACE = 16
/** Window of the usual pace. */
const USUAL_WINDOW: Milliseconds = 10_000
/** The usual pace counts as observed to be 1 for this long before the first answer. */
const INITIAL_OBSERVATION: Milliseconds = 1_000
/** Smaller changes of the pace, as a ratio, do not count as changes. */
const MIN_CHANGE = 0.15
/** How long a pace is expected to last before changes have been seen. */
const INITIAL_LIFETIME: Milliseconds = 600
/** Bounds of the expected lifetime; the lower one covers the way of an answer. */
const MIN_LIFETIME: Milliseconds = 60
const MAX_LIFETIME: Milliseconds = 5_000
/** Seen changes are forgotten with this time constant. */
const CHANGE_MEMORY: Milliseconds = 10_000
/** Age after which a told pace no longer counts, however long paces last. */
export const TOLD_PACE_HORIZON: Milliseconds = 1_500
/** An upstream that tells nothing is expected to be as usual for its service after some of these. */
const USUAL_MEMORY: Milliseconds = 5_000

/** What is known after the first told pace. */
export function createToldPace(pace: number, at: Milliseconds): ToldPace {
  const bounded = boundPace(pace)
  return { pace: bounded, at, usual: 1, observed: INITIAL_OBSERVATION, changes: 0, watched: 0 }
}

/** Records a newer told pace; an older one is ignored. Returns whether it was newer. */
export function recordToldPace(told: ToldPace, pace: number, at: Milliseconds): boolean {
  const span = at - told.at
  if (span < 0) return false
  const next = boundPace(pace)
  recordLifetime(told, hasPaceChanged(told.pace, next), span)
  // After a silence its length says little of the pace in it.
  const weight = Math.min(span, TOLD_PACE_HORIZON)
  told.observed = Math.min(USUAL_WINDOW, told.observed + weight)
  told.usual += (weight / told.observed) * (told.pace - told.usual)
  told.pace = next
  told.at = at
  return true
}

/** Whether two paces differ by more than matters. */
export function hasPaceChanged(before: number, next: number): boolean {
  return Math.abs(next - before) >= MIN_CHANGE * Math.min(before, next)
}

/**
 * The mean pace to expect over the next `span`: the told one while it is expected to last, then the
 * usual one.
 */
export function expectedPace(told: ToldPace, now: Milliseconds, span: Milliseconds = 0): number {
  const age = Math.max(0, now - told.at)
  const usual = fadeToOne(told.usual, age - TOLD_PACE_HORIZON)
  if (age >= TOLD_PACE_HORIZON) return usual
  const lifetime = paceLifetime(told)
  return usual + (told.pace - usual) * Math.exp(-age / lifetime) * meanKept(span / lifetime)
}

/** How long a pace is expected to last at the upstream. */
export function paceLifetime({ changes, watched }: ToldPace): Milliseconds {
  // The pace after a change is as likely to change back, which halves the time constant.
  const lifetime = (watched + INITIAL_LIFETIME) / (2 * changes + 1)
  return Math.min(MAX_LIFETIME, Math.max(MIN_LIFETIME, lifetime))
}

/**
 * A factor that has not been confirmed for some time, drawn to 1: an upstream that is thought slow
 * gets a request again, whose answer shows whether it still is.
 */
export function fadeToOne(factor: number, unconfirmedFor: Milliseconds): number {
  if (unconfirmedFor <= 0) return factor
  return 1 + (factor - 1) * Math.exp(-unconfirmedFor / USUAL_MEMORY)
}

/** Mean of exponential decay over a number of time constants. */
function meanKept(constants: number): number {
  return constants > 0 ? (1 - Math.exp(-constants)) / constants : 1
}

function recordLifetime(told: ToldPace, hasChanged: boolean, span: Milliseconds): void {
  const kept = Math.exp(-span / CHANGE_MEMORY)
  told.watched = told.watched * kept + span
  told.changes = told.changes * kept + (hasChanged ? 1 : 0)
}

function boundPace(pace: number): number {
  return Math.min(MAX_PACE, Math.max(MIN_PACE, pace))
}
