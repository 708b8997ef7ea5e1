import type { Milliseconds } from '../types/clock.js'

/**
 * What the ends in order of runs without a length were found to be, by asking for what follows:
 * `sound` after the last event, `early` before it though the upstream lives on.
 */
export interface EndCounts {
  sound: number
  early: number
}

export type EndKind = keyof EndCounts

/** Ends of the last half minute, by time slots. */
export interface EndHistory {
  slots: EndCounts[]
  /** Number of the slot of the latest time, counted from clock time 0. */
  newest: number
}

const SLOT: Milliseconds = 5_000
const SLOTS = 6
/** With a larger share of early ends, a second run too often ends by chance after the same event. */
const MAX_EARLY_SHARE_FOR_TWO_RUNS = 0.05
/** Where three in ten are early, so many in a row are sound once in 300 times. */
const MIN_SOUND_ENDS = 16

export function createEndHistory(): EndHistory {
  return { slots: Array.from({ length: SLOTS }, () => ({ sound: 0, early: 0 })), newest: 0 }
}

export function recordStreamEnds(
  history: EndHistory,
  kind: EndKind,
  runs: number,
  now: Milliseconds,
): void {
  advance(history, now)
  history.slots[history.newest % SLOTS]![kind] += runs
}

/** The ends of the last half minute. */
export function countEnds(history: EndHistory, now: Milliseconds): EndCounts {
  advance(history, now)
  return history.slots.reduce(addEnds)
}

export function addEnds(one: EndCounts, other: EndCounts): EndCounts {
  return { sound: one.sound + other.sound, early: one.early + other.early }
}

/** How many runs have to end after the same event until that counts as the end of the stream. */
export function neededRuns({ sound, early }: EndCounts): number {
  return early > MAX_EARLY_SHARE_FOR_TWO_RUNS * (sound + early) ? 3 : 2
}

/** Whether ends are accepted that cannot be proved, since enough were found sound and none early. */
export function areEndsSound({ sound, early }: EndCounts): boolean {
  return early === 0 && sound >= MIN_SOUND_ENDS
}

/** Clears the slots that have become too old. */
function advance(history: EndHistory, now: Milliseconds): void {
  const number = Math.floor(now / SLOT)
  const steps = Math.min(SLOTS, number - history.newest)
  for (let step = 0; step < steps; step++)
    history.slots[(number - step) % SLOTS] = { sound: 0, early: 0 }
  history.newest = Math.max(history.newest, number)
}
