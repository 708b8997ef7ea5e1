import type { Clock, Confirmation, Milliseconds } from '@yewkeel/decisions'
import { confirm, confirmationAge, sleep } from '@yewkeel/decisions'
import { OPENS_WITHIN } from '../node/connectInTime.js'
import type { EventLog, GatewayMetrics, Store } from '../types/ports.js'
import type { OperatorTask } from './operatorTask.js'
import type { RolloutTask } from './rolloutTask.js'
import type { UpstreamListTask } from './upstreamListTask.js'

export interface StoreReaderOptions {
  clock: Clock
  log: EventLog
  metrics: GatewayMetrics
  store: Store
  operators: OperatorTask
  upstreams: UpstreamListTask
  rollouts: RolloutTask
  /** Whether this box reads for all; the others read only when they hear nothing. */
  isReader(): boolean
  /** Boxes that are heard of, and this one. */
  boxCount(): number
  /** The store has ceased to answer this box, or answers again. */
  onStoreChange(): void
  /** The operators' changes and leaving upstreams must be known within this. */
  newsWithin(): Milliseconds
  onOperatorsRead(): void
  onUpstreamsRead(): void
}

/** Parts of the time within which news must be known. A waiting read ends even if nothing changes ... */
const AWAIT_PART = 0.3
/** ... the list is read this often, so that a leaving upstream is known in half of the time. */
const LIST_PART = 0.4
/**
 * Part of that time without a proof of the list, from any box, after which the store was out for all: proofs are younger
 * wherever some box reads, and entries begin to lapse two heartbeats after the store went.
 */
const OUTAGE_PART = 0.9
/**
 * ... and not before this, however soon news must be known: entries lapse after three heartbeats of 1.2 s without one, so
 * that a shorter outage takes none away. At 1.8 s a box that heard its neighbours 0.6 s late took that for an outage once
 * in two days with many planned stops, and kept upstreams that had left.
 */
const LEAST_OUTAGE: Milliseconds = 2_300
/** A box that has lost the store, and hears from others, asks this often whether it answers again. */
const PROBE_EVERY: Milliseconds = 5_000
const LOOK_AGAIN: Milliseconds = 120
/** A read of the store and what follows it, on a busy box. */
const READ_TAKES: Milliseconds = 100
/**
 * A box that is told nothing reads for itself this long before news must be known: it looks for that every so often, reads, and
 * what it sent just before arrives only when a connection has opened. At 0.95 of the time a read could begin at 1.92 of 2 s.
 */
const ALONE_MARGIN: Milliseconds = LOOK_AGAIN + READ_TAKES + OPENS_WITHIN
/** A reader asks again after this when the store did not answer ... */
const AFTER_FAILURE: Milliseconds = 250
/** ... and the others together this often, since every call is priced: each waits its turn. */
const OTHERS_AFTER_FAILURE: Milliseconds = 125
/** However a loop fares, its steps begin no sooner one after the other: a store that answers at once would be asked without end. */
const LEAST_STEP: Milliseconds = 100
/** A box that knows nothing yet doubles its pause up to this. */
const LONGEST_AFTER_FAILURE: Milliseconds = 1_000

/** Keeps what a box knows of the store fresh, with as few calls as the boxes together need. */
export class StoreReader {
  readonly #listProof: Confirmation = {}
  #isStopped = false
  #isStoreOut = false
  #firstPause = AFTER_FAILURE
  #askedAt = -Infinity

  constructor(private readonly options: StoreReaderOptions) {}

  /** Age of the proof that the list of upstreams is the store's newest. */
  get listAge(): Milliseconds {
    return confirmationAge(this.#listProof, this.options.clock.now())
  }

  /** At `provedAt` the list that this box holds, or takes next, was the store's newest. */
  proveList(provedAt: Milliseconds): void {
    confirm(this.#listProof, provedAt)
    if (!this.#isListOld) this.options.upstreams.noteReturn()
  }

  /** No box can have read the list for long. A box that has no proof yet knows of no outage. */
  get #isListOld(): boolean {
    if (!Number.isFinite(this.listAge)) return false
    return this.listAge > Math.max(LEAST_OUTAGE, OUTAGE_PART * this.options.newsWithin())
  }

  /** The store did not answer this box's last call. */
  get isStoreOut(): boolean {
    return this.#isStoreOut
  }

  start(): void {
    void this.#loop(() => this.#readOperators())
    void this.#loop(() => this.#readUpstreams())
  }

  stop(): void {
    this.#isStopped = true
  }

  async #loop(step: () => Promise<Milliseconds>): Promise<void> {
    const { clock, log } = this.options
    while (!this.#isStopped) {
      const begunAt = clock.now()
      let pause: Milliseconds
      try {
        pause = await step()
      } catch (error) {
        this.#noteFailure(error)
        pause = this.#pauseAfterFailure()
      }
      pause = Math.max(pause, LEAST_STEP - (clock.now() - begunAt))
      if (pause > 0) await sleep(clock, pause)
    }
    log.note('store-reader-stopped', {})
  }

  /** After a call that failed, and after a read that proves nothing: a box that can't prove what it holds asks as seldom. */
  #pauseAfterFailure(): Milliseconds {
    const { operators, isReader, boxCount } = this.options
    if (operators.state.revision === 0) {
      this.#firstPause = Math.min(LONGEST_AFTER_FAILURE, 2 * this.#firstPause)
      return this.#firstPause
    }
    return isReader() ? AFTER_FAILURE : Math.max(AFTER_FAILURE, OTHERS_AFTER_FAILURE * boxCount())
  }

  async #readOperators(): Promise<Milliseconds> {
    const { operators, clock, store, rollouts, isReader, newsWithin } = this.options
    const isFirst = operators.state.revision === 0
    const isProbeDue = this.#isStoreOut && clock.now() - this.#askedAt > PROBE_EVERY
    const isTold = operators.age < newsWithin() - ALONE_MARGIN
    if (!isFirst && !isReader() && isTold && !isProbeDue) return LOOK_AGAIN
    const sentAt = clock.now()
    this.#askedAt = sentAt
    if (!isFirst) {
      const { revision } = operators.state
      const wait = isReader() ? Math.round(AWAIT_PART * newsWithin()) : 0
      const news = await store.awaitOperatorState(revision, wait)
      this.#noteAnswer(news.storeNow)
      if (!news.value) {
        operators.prove(news.version, sentAt)
        // Told at once and not in the next round, a proof reaches boxes four hops away before they read for themselves: 60
        // boxes, idle, ask the store 3.9 times a second in place of 7.1.
        if (isReader()) this.options.onOperatorsRead()
        return isReader() ? 0 : LOOK_AGAIN
      }
    }
    const readAt = clock.now()
    const read = await store.readOperatorState()
    this.#noteAnswer(read.storeNow)
    const isNewest = operators.take(read.value)
    if (isNewest) operators.prove(read.value.revision, readAt)
    this.options.onOperatorsRead()
    if (read.value.orders.length > 0) rollouts.takeStatuses((await store.readRollouts()).value)
    if (isFirst && !operators.index) return AFTER_FAILURE
    return isNewest ? 0 : this.#pauseAfterFailure()
  }

  async #readUpstreams(): Promise<Milliseconds> {
    const { upstreams, clock, store, isReader, newsWithin } = this.options
    // While the store does not answer, one call at a time asks whether it is back.
    if (this.#isStoreOut && upstreams.version > 0) return this.#noteListOutage()
    if (!isReader() && this.listAge < newsWithin() - ALONE_MARGIN) return LOOK_AGAIN
    const sentAt = clock.now()
    try {
      const read = await store.readUpstreams()
      this.#noteAnswer(read.storeNow)
      this.proveList(sentAt)
      const isChanged = upstreams.take(read.value, read.version)
      if (isChanged) this.options.onUpstreamsRead()
    } catch (error) {
      this.#noteListOutage()
      throw error
    }
    return Math.max(0, LIST_PART * newsWithin() - (clock.now() - sentAt))
  }

  /** Others may still read the store: only if nobody does can entries lapse although their upstreams live. */
  #noteListOutage(): Milliseconds {
    if (this.#isListOld) this.options.upstreams.noteOutage(this.listAge)
    return LOOK_AGAIN
  }

  #noteAnswer(storeNow: Milliseconds): void {
    const { rollouts, clock, log, metrics } = this.options
    metrics.count('storeCalls', 'answered')
    rollouts.noteStoreClock(storeNow, clock.now())
    if (!this.#isStoreOut) return
    this.#isStoreOut = false
    log.note('store-back', {})
    this.options.onStoreChange()
  }

  #noteFailure(error: unknown): void {
    const { log, metrics } = this.options
    metrics.count('storeCalls', 'failed')
    if (this.#isStoreOut) return
    this.#isStoreOut = true
    log.note('store-lost', { error: String(error) })
    this.options.onStoreChange()
  }
}
