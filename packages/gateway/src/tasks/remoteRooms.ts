import {
  addToSum,
  allSums,
  clearReportedSums,
  createSharedSums,
  forgetSum,
  recordBoxSums,
  sumOf,
  takeChangedSums,
  type Clock,
  RELAY_REPEAT_INTERVAL,
  type SumEntry,
} from '@yewkeel/decisions'
import type { EngineWork } from './engineWork.js'

export interface RemoteRoomsOptions {
  clock: Clock
  work: EngineWork
  /** Whether room counts, and so has to be told. */
  isOn(): boolean
}

/** Each request in flight is reported, and tokens from less than a short prompt. */
const MIN_CHANGES = [1, 1_000]
/** Sender key of what the relay tells of all other data centres. */
const RELAY_SENDER = ''

/**
 * Requests and tokens at upstreams that boxes of other data centres hold. The relays of the data
 * centres tell each other the sums of theirs, and their members the total of the others.
 */
export class RemoteRooms {
  /** What this data centre holds, as last told to the other relays. */
  readonly #exported = createSharedSums(MIN_CHANGES)
  /** What the others hold, by data centre; at members as told by the relay. */
  readonly #received = createSharedSums(MIN_CHANGES)

  constructor(private readonly options: RemoteRoomsOptions) {}

  /** Requests and their tokens at an upstream, of all other data centres. */
  amountsAt(upstream: string): readonly number[] {
    return sumOf(this.#received, upstream, this.options.clock.now())
  }

  /** As a relay: the sums of this data centre that changed since they were last told. */
  takeExported(): SumEntry[] {
    if (!this.options.isOn()) return []
    this.#updateExported()
    const now = this.options.clock.now()
    return takeChangedSums(this.#exported, 'member', now, RELAY_REPEAT_INTERVAL)
  }

  /** As a relay: the changed totals of the other data centres, for the members. */
  takeChanges(): SumEntry[] {
    return takeChangedSums(this.#received, 'relay', this.options.clock.now())
  }

  /** As a relay: all totals of the other data centres. */
  all(): SumEntry[] {
    return allSums(this.#received, 'relay', this.options.clock.now())
  }

  /** As a relay: records the sums of another data centre. */
  recordFromDataCentre(dataCentre: string, entries: readonly SumEntry[]): void {
    recordBoxSums(this.#received, dataCentre, entries, this.options.clock.now())
  }

  /** As a member: records the totals of the other data centres. */
  recordFromRelay(entries: readonly SumEntry[]): void {
    recordBoxSums(this.#received, RELAY_SENDER, entries, this.options.clock.now())
  }

  clearReported(): void {
    clearReportedSums(this.#exported)
    clearReportedSums(this.#received)
  }

  forget(upstream: string): void {
    forgetSum(this.#received, upstream)
  }

  #updateExported(): void {
    const { own } = this.#exported
    own.clear()
    for (const upstream of this.options.work.upstreams()) {
      const { requests, tokens } = this.options.work.amountsAt(upstream)
      addToSum(this.#exported, upstream, [requests, tokens])
    }
  }
}
