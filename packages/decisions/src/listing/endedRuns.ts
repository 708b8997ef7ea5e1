import { epochOf } from '../freshness/storeRevision.js'
import type { Milliseconds } from '../types/clock.js'
import { runIdOf, type ListedUpstream } from './upstreamList.js'

/** A run of an upstream whose entry was removed from the store. */
interface EndedRun {
  /** The entry as last listed. */
  entry: ListedUpstream
  endedAt: Milliseconds
  /** When a list of a restored store first named the run again. */
  restoredAt?: Milliseconds
}

/** Ended runs, by their ids: a copy from which the store is restored may still name them. */
export type EndedRuns = Map<string, EndedRun>

/** Longer than the age of any copy. */
const ENDED_RUN_MEMORY: Milliseconds = 60_000
/**
 * The store removes the entry of a silent upstream after three heartbeat intervals of 1.2 s; plus
 * the store's own lag. One that is listed for longer belongs to a live upstream.
 */
export const STALE_ENTRY_LIFETIME: Milliseconds = 5_000

/** Records the runs of a list that the next list of the same epoch no longer names. */
export function recordEndedRuns(
  ended: EndedRuns,
  before: readonly ListedUpstream[],
  listed: readonly ListedUpstream[],
  now: Milliseconds,
): void {
  const runs = new Set(listed.map(runIdOf))
  for (const entry of before) {
    const run = runIdOf(entry)
    if (!runs.has(run)) ended.set(run, { entry, endedAt: now })
  }
  for (const [run, { endedAt }] of ended) if (now - endedAt > ENDED_RUN_MEMORY) ended.delete(run)
}

/** Returns a list without the entries that a restore brought back. */
export function excludeEndedRuns(
  ended: EndedRuns,
  listed: readonly ListedUpstream[],
  now: Milliseconds,
): readonly ListedUpstream[] {
  if (ended.size === 0) return listed
  return listed.filter(entry => {
    const known = ended.get(runIdOf(entry))
    if (!known) return true
    const isStale = isRestoredEntry(known, entry, now)
    if (!isStale) ended.delete(runIdOf(entry))
    return !isStale
  })
}

/**
 * Whether the entry is from the copy. Draining is irrevocable; an entry that was written again has a
 * higher revision than when it was last listed, whatever the epoch.
 */
function isRestoredEntry(known: EndedRun, entry: ListedUpstream, now: Milliseconds): boolean {
  if (epochOf(entry) <= epochOf(known.entry)) return false
  if (known.entry.state === 'draining') return true
  if (entry.revision > known.entry.revision) return false
  known.restoredAt ??= now
  return now - known.restoredAt < STALE_ENTRY_LIFETIME
}
