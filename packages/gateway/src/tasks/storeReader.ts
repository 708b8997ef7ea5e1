import type {
  Clock,
  Confirmation,
  ListedUpstream,
  Milliseconds,
  StoreRevision,
} from '@yewkeel/decisions'
import { confirm, confirmationAge, epochOf, isLaterRevision, sleep } from '@yewkeel/decisions'
import { CONNECT_TIMEOUT } from '../node/connectTimeout.js'
import type { FreshnessProof } from '../types/gossip.js'
import type { EventLog, GatewayMetrics, Store, StoreRead } from '../types/ports.js'
import type { EpochWatch } from './epochWatch.js'
import type { OperatorTask } from './operatorTask.js'
import type { ProofAnswer } from './peerTask.js'
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
  epochs: EpochWatch
  /**
   * Whether this box is a designated reader; others read only when they receive no confirmation.
   */
  isReader(): boolean
  /** Number of boxes known by gossip, including this one. */
  boxCount(): number
  /** Whether another box reaches the store, so that its news are there to be heard. */
  othersReachStore(): boolean
  /** Number of this box from 0 to 1, spread evenly over all boxes. */
  turn: number
  /** Called when the store stops or resumes answering this box. */
  onStoreChange(): void
  /** Maximum time until changes by operators and leaving upstreams must be known. */
  newsWithin(): Milliseconds
  onOperatorsRead(): void
  onUpstreamsRead(): void
}

/** Longest wait of a long poll, as a share of `newsWithin`. */
const LONG_POLL_SHARE = 0.3
/**
 * Interval of list reads, as a share of `newsWithin`: below half, so that a leaving upstream is
 * known within half of it.
 */
const LIST_READ_SHARE = 0.4
/**
 * Time between two answers of the store to any box that counts as an outage, as a share of
 * `newsWithin`: it is shorter wherever some box reads.
 */
const OUTAGE_SHARE = 0.9
/**
 * Minimum time that counts as an outage. Entries expire three heartbeat intervals of 1.2 s after
 * their last heartbeat, so that a shorter outage removes none. At 1.8 s a box that heard its
 * neighbours 0.6 s late took that for an outage, and kept upstreams that had left.
 */
const MIN_OUTAGE_AGE: Milliseconds = 2_300
/** Interval of calls to a store that does not answer, while gossip keeps the box up to date. */
const STORE_PROBE_INTERVAL: Milliseconds = 5_000
/** How often a box checks whether a read is due. */
const CHECK_INTERVAL: Milliseconds = 120
/** Duration of a read and its processing on a busy box. */
const READ_DURATION: Milliseconds = 100
/**
 * Without confirmations a box reads this long before `newsWithin` ends: time for the check
 * interval, the read, and a request just sent that still opens its connection.
 */
const UNCONFIRMED_READ_MARGIN: Milliseconds = CHECK_INTERVAL + READ_DURATION + CONNECT_TIMEOUT
/** Retry delay of a reader. */
const READER_RETRY_DELAY: Milliseconds = 250
/** Retry delay of other boxes per known box, which bounds their common call rate. */
const RETRY_DELAY_PER_BOX: Milliseconds = 125
/**
 * Time for which a box whose call failed may be behind while others reach the store, until it calls
 * again: a round of gossip, which brings the news to those that hear the others.
 */
const BEHIND_RETRY_DELAY: Milliseconds = 400
/**
 * Minimum time between the starts of two steps of a loop, so that immediate answers cause no busy
 * loop.
 */
const MIN_STEP_INTERVAL: Milliseconds = 100
/** Upper bound of the back-off before the first successful read. */
const MAX_STARTUP_RETRY_DELAY: Milliseconds = 1_000

/** One of the copies that this box keeps of the store's content. */
interface KeptCopy {
  /** Reads it if that is due. Returns the time until the next read. */
  read(): Promise<Milliseconds>
  /** Time since it was last confirmed. */
  age(): Milliseconds
}

/** Keeps this box's copy of operator state and upstream list fresh with few store calls. */
export class StoreReader {
  /** Proofs of the list's epoch. */
  #listConfirmation: Confirmation = {}
  /** Newest time at which the store answered any box, as far as this one knows. */
  #answeredAt: Milliseconds | undefined
  #isStopped = false
  #isStoreOut = false
  #startupRetryDelay = READER_RETRY_DELAY
  #lastCallAt = -Infinity
  #isRefusingList = false

  constructor(private readonly options: StoreReaderOptions) {}

  /**
   * Age of the newest confirmation that the list of upstreams is current; not finite before the
   * first.
   */
  get listAge(): Milliseconds {
    return confirmationAge(this.#listConfirmation, this.options.clock.now())
  }

  /**
   * Takes a list, which was the newest in the store at `provedAt` if that is known, unless it is
   * older than the current one. Returns whether its content differs from the current one.
   */
  takeList(
    listed: readonly ListedUpstream[],
    point: StoreRevision,
    provedAt?: Milliseconds,
  ): boolean {
    const { upstreams } = this.options
    const isAccepted = upstreams.accepts(point)
    if (!isAccepted && !this.#isRefusingList) this.#logRefusal(point)
    this.#isRefusingList = !isAccepted
    if (!isAccepted) return false
    this.#enterEpoch(point)
    // The end of an outage is to be known before entries are missed.
    if (provedAt !== undefined) this.confirmList(provedAt)
    return upstreams.apply(listed, point)
  }

  /**
   * Applies another box's proof that its list was the newest in the store at `provedAt`. Returns
   * whether that list is to be requested.
   */
  applyListProof(proof: FreshnessProof, provedAt: Milliseconds): ProofAnswer {
    const { upstreams } = this.options
    this.recordStoreAnswer(provedAt)
    const isLater = isLaterRevision(proof, upstreams.point)
    if (proof.fingerprint !== upstreams.fingerprint) return isLater ? 'wanted' : 'known'
    // Another epoch's list is equal by chance.
    if (epochOf(proof) < epochOf(upstreams.point)) return 'known'
    this.#enterEpoch(proof)
    upstreams.confirmPoint(proof)
    this.confirmList(provedAt)
    return 'known'
  }

  /** Confirms that the list that this box holds, or takes next, was current at `provedAt`. */
  confirmList(provedAt: Milliseconds): void {
    this.recordStoreAnswer(provedAt)
    confirm(this.#listConfirmation, provedAt)
  }

  /**
   * Records that the store answered this box or another at `at`, whatever was read. A long time
   * between two answers was an outage; whether this box holds the newest list says nothing of it.
   */
  recordStoreAnswer(at: Milliseconds): void {
    const before = this.#answeredAt ?? at
    if (!Number.isFinite(at) || at < before) return
    this.#answeredAt = at
    const outageAge = Math.max(MIN_OUTAGE_AGE, OUTAGE_SHARE * this.options.newsWithin())
    if (at - before > outageAge) this.options.upstreams.recordOutage(before, at)
    this.options.upstreams.recordAnswer(at)
  }

  /** Proofs of an earlier epoch do not confirm a list of this one. */
  #enterEpoch(point: StoreRevision): void {
    if (epochOf(point) > epochOf(this.options.upstreams.point)) this.#listConfirmation = {}
  }

  #logRefusal({ epoch, revision }: StoreRevision): void {
    const { log, upstreams } = this.options
    log.event('list-refused', { epoch, revision, held: upstreams.point })
  }

  /** Whether this box's last call to the store failed. */
  get isStoreOut(): boolean {
    return this.#isStoreOut
  }

  start(): void {
    const { operators } = this.options
    void this.#loop({ read: () => this.#readOperators(), age: () => operators.age })
    void this.#loop({ read: () => this.#readUpstreams(), age: () => this.listAge })
  }

  stop(): void {
    this.#isStopped = true
  }

  async #loop(copy: KeptCopy): Promise<void> {
    const { clock, log, turn } = this.options
    let hasFailed = false
    while (!this.#isStopped) {
      const begunAt = clock.now()
      try {
        const pause = Math.max(await copy.read(), MIN_STEP_INTERVAL - (clock.now() - begunAt))
        hasFailed = false
        if (pause > 0) await sleep(clock, pause)
      } catch (error) {
        this.#recordFailure(error)
        // Boxes that lose the store together get turns of their own, spread over the usual delay.
        await this.#retryDue(copy, hasFailed ? 1 : turn)
        hasFailed = true
      }
    }
    log.event('store-reader-stopped', {})
  }

  /**
   * Waits until the failed call is to be repeated, for a fraction of the usual delay. Another box's
   * failure may make this one a reader meanwhile, which repeats sooner; so does a box that is behind.
   */
  async #retryDue({ age }: KeptCopy, fraction: number): Promise<void> {
    const { clock, operators, log } = this.options
    const failedAt = clock.now()
    let behindSince: Milliseconds | undefined
    if (operators.state.revision === 0)
      this.#startupRetryDelay = Math.min(MAX_STARTUP_RETRY_DELAY, 2 * this.#startupRetryDelay)
    while (!this.#isStopped && clock.now() - failedAt < this.#retryDelay(fraction)) {
      behindSince = this.#isBehind(age()) ? (behindSince ?? clock.now()) : undefined
      if (behindSince !== undefined && clock.now() - behindSince >= BEHIND_RETRY_DELAY)
        return log.event('store-retry-behind', { age: Math.round(age()) })
      await sleep(clock, CHECK_INTERVAL)
    }
  }

  /** Whether a copy of this age was confirmed lately enough to need no read of this box. */
  #isFresh(age: Milliseconds): boolean {
    return age < this.options.newsWithin() - UNCONFIRMED_READ_MARGIN
  }

  /** Whether gossip does not keep a copy of this age fresh though another box reaches the store. */
  #isBehind(age: Milliseconds): boolean {
    return !this.#isFresh(age) && this.options.othersReachStore()
  }

  /** Time from a failed call, or from a read of an outdated state, to the next one. */
  #retryDelay(fraction: number): Milliseconds {
    const { operators, isReader, boxCount } = this.options
    if (operators.state.revision === 0) return this.#startupRetryDelay
    return isReader()
      ? READER_RETRY_DELAY
      : Math.max(READER_RETRY_DELAY, fraction * RETRY_DELAY_PER_BOX * boxCount())
  }

  async #readOperators(): Promise<Milliseconds> {
    const { operators, clock, store, rollouts, isReader, newsWithin } = this.options
    const isFirst = operators.state.revision === 0
    const isProbeDue = this.#isStoreOut && clock.now() - this.#lastCallAt > STORE_PROBE_INTERVAL
    if (!isFirst && !isReader() && this.#isFresh(operators.age) && !isProbeDue)
      return CHECK_INTERVAL
    const sentAt = clock.now()
    this.#lastCallAt = sentAt
    if (!isFirst) {
      // A store that is back answers a long poll only at its end.
      const isLongPoll = isReader() && !this.#isStoreOut
      const wait = isLongPoll ? Math.round(LONG_POLL_SHARE * newsWithin()) : 0
      const news = await store.awaitOperatorState(operators.state, wait)
      this.#recordAnswer(news)
      if (!news.value) {
        this.recordStoreAnswer(sentAt)
        operators.recordConfirmation({ epoch: news.epoch, revision: news.version }, sentAt)
        // Sent at once, a confirmation reaches distant boxes before they read for themselves.
        if (isReader()) this.options.onOperatorsRead()
        return isReader() ? 0 : CHECK_INTERVAL
      }
    }
    const readAt = clock.now()
    const read = await store.readOperatorState()
    this.#recordAnswer(read)
    this.recordStoreAnswer(readAt)
    const isNewest = operators.apply(read.value, readAt)
    this.options.onOperatorsRead()
    if (read.value.orders.length > 0) rollouts.mergeStoredStatuses(await store.readRollouts())
    if (isFirst && !operators.index) return READER_RETRY_DELAY
    return isNewest ? 0 : this.#retryDelay(1)
  }

  async #readUpstreams(): Promise<Milliseconds> {
    const { upstreams, clock, store, isReader, newsWithin } = this.options
    // During an outage only the loop of the operator state probes the store.
    if (this.#isStoreOut && upstreams.version > 0 && !this.#isBehind(this.listAge))
      return CHECK_INTERVAL
    if (!isReader() && this.#isFresh(this.listAge)) return CHECK_INTERVAL
    const sentAt = clock.now()
    const read = await store.readUpstreams()
    this.#recordAnswer(read)
    const point = { epoch: read.epoch, revision: read.version }
    const isChanged = this.takeList(read.value, point, sentAt)
    if (isChanged) this.options.onUpstreamsRead()
    return Math.max(0, LIST_READ_SHARE * newsWithin() - (clock.now() - sentAt))
  }

  #recordAnswer({ version, epoch = 0, storeNow }: StoreRead<unknown>): void {
    const { rollouts, epochs, clock, log, metrics } = this.options
    metrics.count('storeCalls', 'answered')
    rollouts.updateStoreClock(storeNow, clock.now(), epoch)
    epochs.record({ epoch, revision: version })
    if (!this.#isStoreOut) return
    this.#isStoreOut = false
    log.event('store-back', {})
    this.options.onStoreChange()
  }

  #recordFailure(error: unknown): void {
    const { log, metrics, operators } = this.options
    metrics.count('storeCalls', 'failed')
    if (this.#isStoreOut) return
    this.#isStoreOut = true
    const age = Number.isFinite(operators.age) ? Math.round(operators.age) : undefined
    log.event('store-lost', { error: String(error), configurationAge: age })
    this.options.onStoreChange()
  }
}
