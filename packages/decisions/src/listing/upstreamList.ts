import { isLaterRevision, type StoreRevision } from '../freshness/storeRevision.js'
import type { Milliseconds } from '../types/clock.js'

/** An upstream's entry in the platform's service registry. */
export interface ListedUpstream extends StoreRevision {
  /** Unique name. A later run may reuse the name, and another upstream the address. */
  id: string
  /**
   * Start of its run, in Unix milliseconds on its own clock. Undefined where each run has a new id.
   */
  startedAt?: number
  service: string
  /** `host:port`. */
  address: string
  dataCentre: string
  /** Software version. */
  version: string
  /** Requests that it processes concurrently. */
  slots: number
  /** Tokens that its memory holds; undefined where it does not tell. */
  memoryTokens?: number
  state: 'ready' | 'draining'
  /** Remaining cold-start time when it wrote its entry. Undefined when it is warm. */
  coldFor?: Milliseconds
  /** Store revision of the upstream's last write of its entry. */
  revision: number
}

/** Identifies one run of an upstream: state recorded for a run ends with it. */
export function runIdOf({ id, startedAt }: Pick<ListedUpstream, 'id' | 'startedAt'>): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`
}

export interface UpstreamListState {
  entries: Map<string, ListedUpstream>
  /** Entries missing since a store outage, with when the grace period of each ends. */
  missing: Map<string, Milliseconds>
  /** When the store answered again after its last outage, or was known to be restored. */
  returnedAt?: Milliseconds
}

/**
 * Live upstreams renew their entries within two seconds after an outage or a restore; plus the
 * store's own lag.
 */
export const RETURN_GRACE: Milliseconds = 2_200

export function createUpstreamListState(): UpstreamListState {
  return { entries: new Map(), missing: new Map() }
}

/**
 * Records an outage of the store that is over, during which entries of live upstreams may have
 * expired and none could be renewed: starts their grace period, and continues that of entries that
 * were missing before.
 */
export function recordListOutage(
  state: UpstreamListState,
  from: Milliseconds,
  to: Milliseconds,
): void {
  for (const [id, endsAt] of state.missing) state.missing.set(id, endsAt + to - from)
  state.returnedAt = to
}

/**
 * Records that the store was restored from a copy; starts the grace period for entries that the copy
 * lacks.
 */
export function recordListRestore(state: UpstreamListState, now: Milliseconds): void {
  for (const id of state.missing.keys()) state.missing.set(id, now + RETURN_GRACE)
  state.returnedAt = now
}

/**
 * Applies a full list. Missing entries are removed, except ready ones during the grace period after
 * a store outage or restore. Entries whose address a later process claims are removed too, since a crashed
 * upstream stays listed for three heartbeats. Returns the ids of runs that ended; a later run may
 * use the same id.
 */
export function applyUpstreamList(
  state: UpstreamListState,
  listed: readonly ListedUpstream[],
  now: Milliseconds,
): string[] {
  const owners = addressOwners(listed)
  const current = listed
    .filter(entry => !isLater(owners.get(entry.address)!, entry))
    .map(entry => mergeEntry(entry, state.entries.get(entry.id)))
    .filter(entry => entry !== undefined)
  const next = new Map(current.map(entry => [entry.id, entry]))
  const graceEnd = (state.returnedAt ?? -Infinity) + RETURN_GRACE
  const gone: string[] = []
  for (const [id, entry] of state.entries) {
    const successor = next.get(id)
    if (successor) {
      if (runIdOf(successor) !== runIdOf(entry)) gone.push(id)
      continue
    }
    const keptUntil = state.missing.get(id) ?? graceEnd
    if (now < keptUntil && entry.state === 'ready' && !owners.has(entry.address)) {
      state.missing.set(id, keptUntil)
      next.set(id, entry)
    } else {
      gone.push(id)
    }
  }
  for (const id of state.missing.keys()) if (!next.has(id)) state.missing.delete(id)
  for (const entry of listed) state.missing.delete(entry.id)
  state.entries = next
  return gone
}

/** Removes the missing entries whose grace period ended before the store last answered. Returns their ids. */
export function dropMissing(state: UpstreamListState, answeredAt: Milliseconds): string[] {
  const gone = [...state.missing].filter(([, endsAt]) => endsAt <= answeredAt).map(([id]) => id)
  for (const id of gone) {
    state.entries.delete(id)
    state.missing.delete(id)
  }
  return gone
}

/**
 * Merges a listed entry with the known one. A timed-out write may still be applied seconds later,
 * so a stale entry can follow a newer one: the later run wins, and a draining run stays draining.
 * Undefined (discard) for an entry without `startedAt` where the known one has it: it is another
 * writer's.
 */
function mergeEntry(
  entry: ListedUpstream,
  known: ListedUpstream | undefined,
): ListedUpstream | undefined {
  if (!known) return entry
  if (runIdOf(known) === runIdOf(entry))
    return known.state === 'draining' ? { ...entry, state: 'draining' } : entry
  if (known.startedAt === undefined) return entry
  if (entry.startedAt === undefined) return undefined
  return entry.startedAt > known.startedAt ? entry : known
}

/** The current entry of each address: the later run's, or the one written last. */
function addressOwners(listed: readonly ListedUpstream[]): Map<string, ListedUpstream> {
  const owners = new Map<string, ListedUpstream>()
  for (const entry of listed) {
    const known = owners.get(entry.address)
    if (!known || isLater(entry, known)) owners.set(entry.address, entry)
  }
  return owners
}

/** Entries without `startedAt` count as older than any with it: they may be another writer's. */
function isLater(entry: ListedUpstream, other: ListedUpstream): boolean {
  const startedAt = entry.startedAt ?? -Infinity
  const otherStartedAt = other.startedAt ?? -Infinity
  if (startedAt !== otherStartedAt) return startedAt > otherStartedAt
  return isLaterRevision(entry, other)
}
