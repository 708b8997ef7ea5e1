import type { Milliseconds } from '../types/clock.js'

/** One upstream as the platform's list shows it. */
export interface ListedUpstream {
  /** Its name. Its address may be used again by another, and its name by a later run of its own. */
  id: string
  /** When its run began, in Unix milliseconds on its own clock. Undefined where every run has a name of its own. */
  startedAt?: number
  service: string
  /** `host:port`. */
  address: string
  dataCentre: string
  /** Of its software. */
  version: string
  /** Requests that it works on at a time. */
  slots: number
  state: 'ready' | 'draining'
  /** How much longer it is cold, when it wrote its entry. Left out where it is warm. */
  coldFor?: Milliseconds
  /** Of the store, when the upstream last wrote its entry. */
  revision: number
}

/** Names one run of an upstream: what is known of a run ends with it. */
export function runOf({ id, startedAt }: Pick<ListedUpstream, 'id' | 'startedAt'>): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`
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
 * gone as well: upstreams that crash stay listed for three heartbeats. Gives the ids of the runs that are gone: a later run may
 * stand under the same id.
 */
export function takeUpstreamList(
  state: UpstreamListState,
  listed: readonly ListedUpstream[],
  now: Milliseconds,
): string[] {
  const owners = addressOwners(listed)
  const current = listed
    .filter(entry => !isLater(owners.get(entry.address)!, entry))
    .map(entry => newestOf(entry, state.entries.get(entry.id)))
    .filter(entry => entry !== undefined)
  const next = new Map(current.map(entry => [entry.id, entry]))
  const inGrace = state.backAt !== undefined && now - state.backAt < RETURN_GRACE
  const gone: string[] = []
  for (const [id, entry] of state.entries) {
    const successor = next.get(id)
    if (successor) {
      if (runOf(successor) !== runOf(entry)) gone.push(id)
    } else if (inGrace && entry.state === 'ready' && !owners.has(entry.address)) {
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
 * What is to be believed of an upstream by its entry and what is known. The store may do an unanswered write seconds later, so
 * that an older entry comes after a newer one: of two runs the later one counts, and a run that has said that it leaves does not
 * come back. Undefined for an entry without the start of a run under a name that has told one: another writer's.
 */
function newestOf(
  entry: ListedUpstream,
  known: ListedUpstream | undefined,
): ListedUpstream | undefined {
  if (!known) return entry
  if (runOf(known) === runOf(entry))
    return known.state === 'draining' ? { ...entry, state: 'draining' } : entry
  if (known.startedAt === undefined) return entry
  if (entry.startedAt === undefined) return undefined
  return entry.startedAt > known.startedAt ? entry : known
}

/** The entry that holds at each address: that of the later run, or the one that was written later. */
function addressOwners(listed: readonly ListedUpstream[]): Map<string, ListedUpstream> {
  const owners = new Map<string, ListedUpstream>()
  for (const entry of listed) {
    const known = owners.get(entry.address)
    if (!known || isLater(entry, known)) owners.set(entry.address, entry)
  }
  return owners
}

/** An entry without the start of its run holds against none that has one: it may be another writer's. */
function isLater(entry: ListedUpstream, other: ListedUpstream): boolean {
  const startedAt = entry.startedAt ?? -Infinity
  const otherStartedAt = other.startedAt ?? -Infinity
  if (startedAt !== otherStartedAt) return startedAt > otherStartedAt
  return entry.revision > other.revision
}
