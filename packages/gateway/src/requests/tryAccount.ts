import { hasRetry, noteRequest, takeRetry, type Clock, type RetryShare } from '@yewkeel/decisions'
import type { GatewayMetrics } from '../types/ports.js'

export interface TryAccountOptions {
  clock: Clock
  metrics: GatewayMetrics
  /** This box's part of the retry budget of the request's service. */
  share: RetryShare
  /** Boxes that share the fixed part of the budget. */
  sharingBoxes(): number
  /** Upstreams that may work on the request. */
  maxAttempts: number
}

/**
 * The tries of one request: how many upstreams took it, which of its sends the retry budget has paid for, and whether it may
 * have run.
 *
 * What the route's limit counts and what the budget counts are two things. An upstream that turned the request away did not
 * take it, but the request reached it: when such a send was taken back from both, the next one was the first again and cost
 * nothing, and 40 requests to ten upstreams that had restarted became 400 (`retryBudget.test.ts`).
 */
export class TryAccount {
  #attempts = 0
  #arrivals = 0
  /** Retries taken from the budget. */
  #paid = 0
  #possibleRuns = 0

  constructor(private readonly options: TryAccountOptions) {
    noteRequest(options.share, options.clock.now())
  }

  /** Upstreams that took the request, or may have. */
  get attempts(): number {
    return this.#attempts
  }

  /** Some upstream may have run it, so no answer may say that it did not run. */
  get mayHaveRun(): boolean {
    return this.#possibleRuns > 0
  }

  /** Whether one more upstream could be sent the request now. */
  get hasTry(): boolean {
    return this.#isWithinLimit && (this.#isPaid || this.#hasRetry)
  }

  /** Takes the right to send the request to one more upstream. The first send is free. */
  takeTry(): boolean {
    const { share, sharingBoxes, clock, metrics } = this.options
    if (!this.#isWithinLimit) return false
    if (this.#isPaid) return true
    if (!takeRetry(share, sharingBoxes(), clock.now())) {
      metrics.count('retries', 'refused')
      return false
    }
    this.#paid++
    metrics.count('retries', 'sent')
    return true
  }

  noteSent(): void {
    this.options.metrics.count('arrivals', this.#arrivals === 0 ? 'first' : 'repeat')
    this.#attempts++
    this.#arrivals++
    this.#possibleRuns++
  }

  /** No byte of the last send left this box: what was paid for it stays for the next. */
  noteUnsent(): void {
    this.options.metrics.count('arrivals', 'unsent')
    this.#attempts--
    this.#arrivals--
    this.#possibleRuns--
  }

  /** Another process answered at the upstream's address. It does not count as an upstream that took the request. */
  noteTurnedAway(): void {
    this.options.metrics.count('arrivals', 'turned-away')
    this.#attempts--
    this.#possibleRuns--
  }

  /** The upstream says that it did not run the request. */
  noteNotRun(): void {
    this.#possibleRuns--
  }

  get #isWithinLimit(): boolean {
    return this.#attempts < this.options.maxAttempts
  }

  /** The next send is the first that can arrive, or was paid for. */
  get #isPaid(): boolean {
    return this.#arrivals <= this.#paid
  }

  get #hasRetry(): boolean {
    const { share, sharingBoxes, clock } = this.options
    return hasRetry(share, sharingBoxes(), clock.now())
  }
}
