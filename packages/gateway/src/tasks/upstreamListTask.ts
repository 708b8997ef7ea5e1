import {
  createUpstreamListState,
  dropMissing,
  hashText,
  noteListOutage,
  noteListReturn,
  returnGraceEnd,
  runOf,
  takeUpstreamList,
  type Clock,
  type ListedUpstream,
  type Milliseconds,
  type Timer,
} from '@yewkeel/decisions'
import type { EventLog } from '../types/ports.js'

export interface UpstreamListTaskOptions {
  clock: Clock
  log: EventLog
  /** Whether the operators' configuration names the service. Of any other no entry counts, not even at its address. */
  namesService(service: string): boolean
  /** An entry that is believed, new or as before. `isFirst`: it is of the first list. */
  onEntry(entry: ListedUpstream, isFirst: boolean): void
  /** The run of an upstream has ended. */
  onGone(id: string): void
}

/** The fingerprint before the first list; hashes are never negative, so that even an empty list is news. */
const NO_LIST = -1

/** Holds the platform's list of upstreams: how new it is, and which of its entries are to be believed. */
export class UpstreamListTask {
  readonly #state = createUpstreamListState()
  #fingerprint = NO_LIST
  #version = 0
  #listed: readonly ListedUpstream[] = []
  #graceTimer: Timer | undefined

  constructor(private readonly options: UpstreamListTaskOptions) {}

  /** Names the present content of the list: equal for equal lists. */
  get fingerprint(): number {
    return this.#fingerprint
  }

  /** The store's version when the list was read. 0 before the first. */
  get version(): number {
    return this.#version
  }

  /** The list as the store had it, without entries that are kept for a while. */
  get listed(): ListedUpstream[] {
    return [...this.#listed]
  }

  /** The same list was read at a later version. */
  sameAt(version: number): void {
    this.#version = Math.max(this.#version, version)
  }

  /** No box can have read the list for `age`. */
  noteOutage(age: Milliseconds): void {
    if (!this.#state.isStoreOut) this.options.log.note('list-lost', { age: Math.round(age) })
    noteListOutage(this.#state)
  }

  /** The list was confirmed as it is after an outage. */
  noteReturn(): void {
    if (this.#state.isStoreOut) this.options.log.note('list-back', { version: this.#version })
    noteListReturn(this.#state, this.options.clock.now())
    this.#awaitGraceEnd()
  }

  /** Takes a whole list; an older one is passed over. True when it differs from the last one. */
  take(listed: readonly ListedUpstream[], version: number): boolean {
    if (version < this.#version) return false
    const isFirst = this.#version === 0
    this.#version = version
    this.#listed = listed
    if (isFirst) this.#noteFirstList()
    this.#believe(isFirst)
    const before = this.#fingerprint
    this.#fingerprint = fingerprintOf(listed)
    return before !== this.#fingerprint
  }

  /** The operators' configuration may name other services than before. */
  reconsider(): void {
    if (this.#version > 0) this.#believe(false)
  }

  #believe(isFirst: boolean): void {
    const { clock, namesService, onEntry, onGone } = this.options
    const named = this.#listed.filter(({ service }) => namesService(service))
    takeUpstreamList(this.#state, named, clock.now()).forEach(onGone)
    this.#awaitGraceEnd()
    for (const entry of this.#state.entries.values()) onEntry(entry, isFirst)
  }

  /**
   * Entries that are kept after an outage go when their time is up, and not with the next list: boxes that do not read the list
   * hear only that it is the same, and 28 of 30 kept an upstream that had left for as long as nothing else changed.
   */
  #awaitGraceEnd(): void {
    const endsAt = returnGraceEnd(this.#state)
    if (endsAt === undefined || this.#graceTimer) return
    const { clock, onGone } = this.options
    this.#graceTimer = clock.after(Math.max(0, endsAt - clock.now()), () => {
      this.#graceTimer = undefined
      const end = returnGraceEnd(this.#state)
      if (end !== undefined && end <= clock.now()) dropMissing(this.#state).forEach(onGone)
      else this.#awaitGraceEnd()
    })
  }

  /** One line for all: 98 lines took a starting box 1 ms longer, and all that its log may say in a second. */
  #noteFirstList(): void {
    const upstreams = this.#listed.map(({ id, service, version, address, state }) =>
      [id, service, version, address, state].join(' '),
    )
    this.options.log.note('upstreams-listed', { version: this.#version, upstreams })
  }
}

function fingerprintOf(entries: readonly ListedUpstream[]): number {
  const parts = entries.map(entry => {
    const warmth = entry.coldFor === undefined ? 'warm' : 'cold'
    return [runOf(entry), entry.state, entry.address, warmth].join(' ')
  })
  return hashText(parts.sort().join('\n'))
}
