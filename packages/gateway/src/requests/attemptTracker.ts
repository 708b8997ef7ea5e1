import {
  canRetry,
  recordRequest,
  returnRetry,
  settleRetry,
  takeRetry,
  tightestWindow,
  type Clock,
  type Milliseconds,
  type RetryShare,
  type TightestWindow,
} from '@yewkeel/decisions'
import type { GatewayMetrics } from '../types/ports.js'

export interface AttemptTrackerOptions {
  clock: Clock
  metrics: GatewayMetrics
  /** This box's share of the retry budget of the request's service. */
  share: RetryShare
  /** Number of boxes that share the fixed part of the budget. */
  sharingBoxes(): number
  /** Called whenever a retry was taken from the budget, or refused by it. */
  onBudget(isTaken: boolean, window: TightestWindow): void
  /** Maximum number of upstreams that accept the request. */
  maxAttempts: number
  /**
   * To how many upstreams other boxes may have sent the request; undefined if none has counted it for
   * the budget. At least one attempt is left to this box.
   */
  earlierSends?: number | undefined
}

/** Part of the retry budget up to which attempts are claimed ahead. */
const RESERVABLE_PART = 0.5

/**
 * Counts the attempts of one request against the route's limit and the retry budget.
 *
 * A send that another process rejected does not count as an attempt, but it still uses the free
 * first send or a paid retry: otherwise requests to restarted upstreams would be repeated outside
 * the budget.
 *
 * A send that is given up unheard may still arrive, since the upstream or the path may keep what was
 * written. All sends but the one that arrives first are retries, by the time at which they arrive.
 */
export class AttemptTracker {
  #attempts = 0
  #sends = 0
  /** Retries taken from the budget. */
  #paidRetries = 0
  /** Retries of these that have arrived, or can arrive until a known time. */
  #settledRetries = 0
  /** Whether nothing has been heard of the last send. */
  #isUnderWay = false
  /** The earliest of the times at which sends arrived, or by which they arrive if they do. */
  #firstArrivalBy: Milliseconds | undefined
  #possibleRuns = 0
  /** What the budget held when the last retry was taken from it. */
  #paidFrom: TightestWindow | undefined

  constructor(private readonly options: AttemptTrackerOptions) {
    const { earlierSends, maxAttempts, share, clock } = options
    if (earlierSends === undefined) recordRequest(share, clock.now())
    if (!earlierSends) return
    this.#attempts = Math.min(earlierSends, maxAttempts - 1)
    this.#sends = 1
    this.#firstArrivalBy = clock.now()
  }

  /** Sends so far; those of other boxes count as one. */
  get sends(): number {
    return this.#sends
  }

  /** Upstreams that accepted the request, or may have. */
  get attempts(): number {
    return this.#attempts
  }

  /** An upstream may have processed the request, so the answer must not claim otherwise. */
  get mayHaveRun(): boolean {
    return this.#possibleRuns > 0
  }

  /**
   * Whether the attempt limit and the retry budget allow one more attempt, and the budget `count` of
   * them, as far as the limit allows these.
   */
  canAttempt(count = 1): boolean {
    const { share, sharingBoxes, clock, maxAttempts } = this.options
    if (!this.#isWithinLimit) return false
    const wanted = Math.min(count, maxAttempts - this.#attempts)
    const unpaid = this.#isNextPaid ? wanted - 1 : wanted
    return unpaid <= 0 || canRetry(share, sharingBoxes(), clock.now(), unpaid)
  }

  /** Claims one more attempt. The first send is free, others are paid from the retry budget. */
  takeAttempt(): boolean {
    const { share, sharingBoxes, clock, metrics } = this.options
    if (!this.#isWithinLimit) return false
    if (this.#isNextPaid) return true
    const boxes = sharingBoxes()
    const window = tightestWindow(share, boxes, clock.now())
    const isTaken = takeRetry(share, boxes, clock.now())
    this.options.onBudget(isTaken, window)
    if (!isTaken) {
      metrics.count('retries', 'refused')
      return false
    }
    this.#paidFrom = window
    this.#paidRetries++
    metrics.count('retries', 'sent')
    return true
  }

  /**
   * Claims an attempt ahead, which `takeAttempt` then finds paid, if that leaves most of the budget
   * to requests that fail. It is returned if it is not used.
   */
  reserveAttempt(): boolean {
    const { share, sharingBoxes, clock } = this.options
    if (this.#isNextPaid) return this.#isWithinLimit
    const { retries, allowed } = tightestWindow(share, sharingBoxes(), clock.now())
    return retries <= RESERVABLE_PART * allowed && this.takeAttempt()
  }

  /** What the budget held when the next send was paid; undefined if it is free. */
  takePaidFrom(): TightestWindow | undefined {
    const window = this.#paidFrom
    this.#paidFrom = undefined
    return window
  }

  recordSent(): void {
    this.#giveUpSend()
    this.options.metrics.count('arrivals', this.#sends === 0 ? 'first' : 'repeat')
    this.#isUnderWay = true
    this.#attempts++
    this.#sends++
    this.#possibleRuns++
  }

  /** The upstream was heard, or its connection ended: the last send does not arrive later. */
  recordArrived(): void {
    if (!this.#isUnderWay) return
    this.#isUnderWay = false
    this.#settle(this.options.clock.now())
  }

  /** The last send transmitted no byte: its payment remains for the next. */
  recordUnsent(): void {
    if (!this.#isUnderWay) return
    this.options.metrics.count('arrivals', 'unsent')
    this.#isUnderWay = false
    this.#attempts--
    this.#sends--
    this.#possibleRuns--
  }

  /** Another process answered at the upstream's address: no attempt, but the payment is used. */
  recordMisdirected(): void {
    this.options.metrics.count('arrivals', 'turned-away')
    this.#attempts--
    this.#possibleRuns--
  }

  /** The upstream reported that it did not process the request. */
  recordNotRun(): void {
    this.#possibleRuns--
  }

  /** The request is over, so that no more is sent: returns the retries that were not used. */
  finish(): void {
    this.#giveUpSend()
    for (; this.#settledRetries < this.#paidRetries; this.#paidRetries--)
      returnRetry(this.options.share)
  }

  /** The last send, if nothing was heard of it, may arrive within one more window. */
  #giveUpSend(): void {
    if (!this.#isUnderWay) return
    const { clock, metrics, share } = this.options
    this.#isUnderWay = false
    metrics.count('arrivals', 'given-up')
    this.#settle(clock.now() + share.limits.window)
  }

  #settle(arrivalBy: Milliseconds): void {
    const first = this.#firstArrivalBy
    this.#firstArrivalBy = Math.min(first ?? Infinity, arrivalBy)
    if (first === undefined) return
    this.#settledRetries++
    const { share, clock } = this.options
    settleRetry(share, Math.max(first, arrivalBy), clock.now())
  }

  get #isWithinLimit(): boolean {
    return this.#attempts < this.options.maxAttempts
  }

  /** The next send is the free first one, or a retry that is already paid. */
  get #isNextPaid(): boolean {
    return this.#sends <= this.#paidRetries
  }
}
