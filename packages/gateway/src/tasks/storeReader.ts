import type { Clock, Confirmation, Milliseconds } from '@yewkeel/decisions'
import { confirm, confirmationAge, sleep } from '@yewkeel/decisions'
import type { EventLog, GatewayMetrics, Store } from '../types/ports.js'
import type { OperatorTask } from './operatorTask.js'
import type { RolloutTask } from './rolloutTask.js'
import type { UpstreamDirectory } from './upstreamDirectory.js'

export interface StoreReaderOptions {
  clock: Clock
  log: EventLog
  metrics: GatewayMetrics
  store: Store
  operators: OperatorTask
  upstreams: UpstreamDirectory
  rollouts: RolloutTask
  /** Whether this box reads for all; the others read only when they hear nothing. */
  isReader(): boolean
  /** The operators' changes and leaving upstreams must be known within this. */
  newsWithin: Milliseconds
  onOperatorsRead(): void
  onUpstreamsRead(): void
}

/** Parts of the time within which news must be known. A waiting read ends even if nothing changes ... */
const AWAIT_PART = 0.3
/** ... the list is read this often, so that a leaving upstream is known in half of the time ... */
const LIST_PART = 0.4
/** ... and a box that is told nothing reads for itself. */
const ALONE_PART = 0.95
/** A list that nobody could confirm for this long was not kept by the store. */
const OUTAGE_AFTER: Milliseconds = 1_800
const LOOK_AGAIN: Milliseconds = 120
const AFTER_FAILURE: Milliseconds = 250

/** Keeps what a box knows of the store fresh, with as few calls as the boxes together need. */
export class StoreReader {
  readonly listProof: Confirmation = {}
  #isStopped = false
  #isStoreOut = false

  constructor(private readonly options: StoreReaderOptions) {}

  /** Age of the proof that the list of upstreams is the store's newest. */
  get listAge(): Milliseconds {
    return confirmationAge(this.listProof, this.options.clock.now())
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
      let pause: Milliseconds
      try {
        pause = await step()
      } catch (error) {
        this.#noteFailure(error)
        pause = AFTER_FAILURE
      }
      if (pause > 0) await sleep(clock, pause)
    }
    log.note('store-reader-stopped', {})
  }

  async #readOperators(): Promise<Milliseconds> {
    const { operators, clock, store, rollouts, isReader, newsWithin } = this.options
    const isFirst = operators.state.revision === 0
    if (!isFirst && !isReader() && operators.age < ALONE_PART * newsWithin) return LOOK_AGAIN
    const sentAt = clock.now()
    if (!isFirst) {
      const { revision } = operators.state
      const wait = isReader() ? Math.round(AWAIT_PART * newsWithin) : 0
      const news = await store.awaitOperatorState(revision, wait)
      this.#noteAnswer(news.storeNow)
      if (!news.value) {
        operators.prove(revision, sentAt)
        return isReader() ? 0 : LOOK_AGAIN
      }
    }
    const readAt = clock.now()
    const read = await store.readOperatorState()
    this.#noteAnswer(read.storeNow)
    if (operators.take(read.value)) operators.prove(read.value.revision, readAt)
    this.options.onOperatorsRead()
    if (read.value.orders.length > 0) rollouts.takeStatuses((await store.readRollouts()).value)
    return isFirst && !operators.index ? AFTER_FAILURE : 0
  }

  async #readUpstreams(): Promise<Milliseconds> {
    const { upstreams, clock, store, isReader, newsWithin } = this.options
    if (!isReader() && this.listAge < ALONE_PART * newsWithin) return LOOK_AGAIN
    const sentAt = clock.now()
    try {
      const read = await store.readUpstreams()
      this.#noteAnswer(read.storeNow)
      const isChanged = upstreams.take(read.value, read.version)
      confirm(this.listProof, sentAt)
      if (isChanged) this.options.onUpstreamsRead()
    } catch (error) {
      // Others may still read the store: only if nobody does can entries lapse although their upstreams live.
      if (this.listAge > OUTAGE_AFTER) upstreams.noteOutage()
      throw error
    }
    return Math.max(0, LIST_PART * newsWithin - (clock.now() - sentAt))
  }

  #noteAnswer(storeNow: Milliseconds): void {
    const { rollouts, clock, log, metrics } = this.options
    metrics.count('storeCalls', 'answered')
    rollouts.noteStoreClock(storeNow, clock.now())
    if (!this.#isStoreOut) return
    this.#isStoreOut = false
    log.note('store-back', {})
  }

  #noteFailure(error: unknown): void {
    const { log, metrics } = this.options
    metrics.count('storeCalls', 'failed')
    if (this.#isStoreOut) return
    this.#isStoreOut = true
    log.note('store-lost', { error: String(error) })
  }
}
