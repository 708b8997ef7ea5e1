import type { Milliseconds } from '../types/clock.js'

/** One upstream as the platform's list shows it. */
export interface ListedUpstream {
  /** Names one run of the upstream's process; its address may be used again by another. */
  id: string
  service: string
  /** `host:port`. */
  address: string
  dataCentre: string
  /** Of its software. */
  version: string
  /** Requests that it works on at a time. */
  slots: number
  state: 'ready' | 'draining'
  /** Of the store, when the upstream last wrote its entry. */
  revision: number
}

export interface UpstreamListState {
  entries: Map<string, ListedUpstream>
  /** Entries that were missing from the first lists after an outage, and since when. */
  missing: Map<string, Milliseconds>
  /** The store gave no answer since the last list that was taken. */
  isStoreOut: boolean
  /** When the first list after an outage was taken. */
  backAt?: Milliseconds
}

/** Upstreams that live write their entries again within two seconds of the store's return; with its own lag. */
export const RETURN_GRACE: Milliseconds = 2_200

export function createUpstreamListState(): UpstreamListState {
  return { entries: new Map(), missing: new Map(), isStoreOut: false }
}

/** The store did not answer. Entries may lapse meanwhile although their upstreams live. */
export function noteListOutage(state: UpstreamListState): void {
  state.isStoreOut = true
}

/** The store answers again: from now on entries that lapsed meanwhile have time to come back. */
export function noteListReturn(state: UpstreamListState, now: Milliseconds): void {
  if (!state.isStoreOut) return
  state.isStoreOut = false
  state.backAt = now
}

/**
 * Takes a whole list. An entry that is missing is gone, unless the store has just returned: then it is kept for a
 * short time, in which a living upstream comes back. An entry whose address another process has since written for itself is
 * gone as well: upstreams that crash stay listed for three heartbeats. Gives the ids that are gone.
 */
export function takeUpstreamList(
  state: UpstreamListState,
  listed: readonly ListedUpstream[],
  now: Milliseconds,
): string[] {
  const owners = addressOwners(listed)
  const current = listed.filter(({ address, revision }) => owners.get(address) === revision)
  const next = new Map(current.map(entry => [entry.id, withoutReturn(entry, state.entries)]))
  const inGrace = state.backAt !== undefined && now - state.backAt < RETURN_GRACE
  const gone: string[] = []
  for (const [id, entry] of state.entries) {
    if (next.has(id)) continue
    if (inGrace && entry.state === 'ready' && !owners.has(entry.address)) {
      if (!state.missing.has(id)) state.missing.set(id, now)
      next.set(id, entry)
    } else {
      gone.push(id)
    }
  }
  for (const id of state.missing.keys()) if (!inGrace || !next.has(id)) state.missing.delete(id)
  for (const entry of listed) state.missing.delete(entry.id)
  state.entries = next
  return gone
}

/**
 * When the entries that are missing have had their time to come back; undefined where none is missing, or the store is out
 * again.
 */
export function returnGraceEnd({ missing, isStoreOut, backAt }: UpstreamListState) {
  return missing.size === 0 || isStoreOut || backAt === undefined
    ? undefined
    : backAt + RETURN_GRACE
}

/** Drops the entries that did not come back. Gives their ids. */
export function dropMissing(state: UpstreamListState): string[] {
  const gone = [...state.missing.keys()]
  for (const id of gone) state.entries.delete(id)
  state.missing.clear()
  return gone
}

/**
 * Whoever has said that it leaves does not come back. The store may do an unanswered write seconds later, so that an older entry
 * comes after a newer one.
 */
function withoutReturn(
  entry: ListedUpstream,
  known: ReadonlyMap<string, ListedUpstream>,
): ListedUpstream {
  const isLeaving = known.get(entry.id)?.state === 'draining'
  return isLeaving ? { ...entry, state: 'draining' } : entry
}

/** The newest revision of the entries at each address. */
function addressOwners(listed: readonly ListedUpstream[]): Map<string, number> {
  const owners = new Map<string, number>()
  for (const { address, revision } of listed)
    owners.set(address, Math.max(revision, owners.get(address) ?? 0))
  return owners
}
