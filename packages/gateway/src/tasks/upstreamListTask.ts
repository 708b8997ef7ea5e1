import {
  createUpstreamListState,
  dropMissing,
  epochOf,
  excludeEndedRuns,
  hashText,
  isLaterRevision,
  recordEndedRuns,
  recordListOutage,
  recordListRestore,
  runIdOf,
  STALE_ENTRY_LIFETIME,
  applyUpstreamList,
  type Clock,
  type EndedRuns,
  type ListedUpstream,
  type Milliseconds,
  type StoreRevision,
  type Timer,
} from '@yewkeel/decisions'
import type { EventLog } from '../types/ports.js'

export interface UpstreamListTaskOptions {
  clock: Clock
  log: EventLog
  /**
   * Whether the configuration defines the service. Entries of other services are ignored, even to
   * detect a replaced address.
   */
  isConfigured(service: string): boolean
  /**
   * Called with each accepted entry, new or known, on every list. `isFirst`: it is from the first
   * list.
   */
  onEntry(entry: ListedUpstream, isFirst: boolean): void
  /** Called when an upstream is removed. */
  onGone(id: string): void
}

/** Fingerprint before the first list. Hashes are never negative, so even an empty list differs. */
const NO_FINGERPRINT = -1

/**
 * Holds the platform's list of upstreams and its point in the history of the store, and keeps lapsed
 * entries for a grace period after a store outage or restore.
 */
export class UpstreamListTask {
  readonly #state = createUpstreamListState()
  #fingerprint = NO_FINGERPRINT
  #point: StoreRevision = { revision: 0 }
  #listed: readonly ListedUpstream[] = []
  readonly #ended: EndedRuns = new Map()
  #staleTimer: Timer | undefined

  constructor(private readonly options: UpstreamListTaskOptions) {}

  /** Hash of the list's content: equal for equal lists. */
  get fingerprint(): number {
    return this.#fingerprint
  }

  /** The store's version at the last read or confirmation of the list; 0 before the first. */
  get version(): number {
    return this.#point.revision
  }

  /** The store's epoch and version at the last read or confirmation of the list. */
  get point(): StoreRevision {
    return this.#point
  }

  /** The list as read from the store, without entries in their grace period. */
  get listed(): ListedUpstream[] {
    return [...this.#listed]
  }

  /** Confirms the list at a later point. */
  confirmPoint(point: StoreRevision): void {
    if (isLaterRevision(point, this.#point)) this.#advance(point)
  }

  /** Whether a list of this point is not older than the current one. */
  accepts(point: StoreRevision): boolean {
    return !isLaterRevision(this.#point, point)
  }

  /** Records an outage of the store that is over: it answered no box between these times. */
  recordOutage(from: Milliseconds, to: Milliseconds): void {
    const { log } = this.options
    log.event('list-lost', { age: Math.round(to - from) })
    log.event('list-back', { version: this.version, epoch: this.#point.epoch })
    recordListOutage(this.#state, from, to)
  }

  /**
   * Records that the store answered some box at `at`: removes the entries that upstreams have had the
   * time to renew by then.
   */
  recordAnswer(at: Milliseconds): void {
    dropMissing(this.#state, at).forEach(this.options.onGone)
  }

  /**
   * Replaces the list unless `point` is older. Returns whether its content differs from the last one.
   */
  apply(listed: readonly ListedUpstream[], point: StoreRevision): boolean {
    if (!this.accepts(point)) return false
    const isFirst = this.version === 0
    // What a restored list lacks has not ended: it may have begun after the copy.
    if (epochOf(point) === epochOf(this.#point))
      recordEndedRuns(this.#ended, this.#listed, listed, this.options.clock.now())
    this.#advance(point)
    this.#listed = listed
    if (isFirst) this.#logFirstList()
    this.#applyList(isFirst)
    const before = this.#fingerprint
    this.#fingerprint = fingerprintOf(listed)
    return before !== this.#fingerprint
  }

  /** Applies the list again after a change of the configured services. */
  reapply(): void {
    if (this.version > 0) this.#applyList(false)
  }

  /** A restored store lacks the entries of upstreams that started since the copy was made. */
  #advance({ epoch, revision }: StoreRevision): void {
    const isRestored = this.version > 0 && epochOf({ epoch }) > epochOf(this.#point)
    if (isRestored) recordListRestore(this.#state, this.options.clock.now())
    this.#point = { epoch, revision }
  }

  #applyList(isFirst: boolean): void {
    const { clock, isConfigured, onEntry, onGone } = this.options
    const current = excludeEndedRuns(this.#ended, this.#listed, clock.now())
    if (current.length < this.#listed.length) this.#scheduleStaleEnd()
    const named = current.filter(({ service }) => isConfigured(service))
    applyUpstreamList(this.#state, named, clock.now()).forEach(onGone)
    for (const entry of this.#state.entries.values()) onEntry(entry, isFirst)
  }

  /** Uses entries that turn out not to be stale; after an unchanged list no further one may arrive. */
  #scheduleStaleEnd(): void {
    if (this.#staleTimer) return
    this.#staleTimer = this.options.clock.after(STALE_ENTRY_LIFETIME, () => {
      this.#staleTimer = undefined
      this.reapply()
    })
  }

  /**
   * Logs the first list in one line: a line for each entry would exceed the log's rate limit at
   * startup.
   */
  #logFirstList(): void {
    const upstreams = this.#listed.map(({ id, service, version, address, state }) =>
      [id, service, version, address, state].join(' '),
    )
    const { epoch, revision } = this.#point
    this.options.log.event('upstreams-listed', { version: revision, epoch, upstreams })
  }
}

function fingerprintOf(entries: readonly ListedUpstream[]): number {
  const parts = entries.map(entry => {
    const warmth = entry.coldFor === undefined ? 'warm' : 'cold'
    return [runIdOf(entry), entry.state, entry.address, warmth].join(' ')
  })
  return hashText(parts.sort().join('\n'))
}
