import type { Upstream } from '../types/upstream.js'
import type { EventRelay } from './eventRelay.js'

/**
 * What the end in order of a run without a length shows: `agreed` if enough runs ended after the
 * same event, `early` if it ended before it had repeated that event.
 */
export type EndFinding = 'agreed' | 'unproven' | 'early'

export interface EndProofOptions {
  relay: EventRelay
  /** Its caller comes back for the rest of an earlier answer, which may have been cut. */
  isResumed: boolean
  /** Whether all ends of the service were lately found sound. */
  areEndsSound(): boolean
  /** How many runs have to end after the same event. */
  neededRuns(): number
  /** So many runs were found to have ended after the last event. */
  onSound(runs: number): void
  /** The upstream was found to have ended a run early. */
  onEarly(upstream: Upstream): void
}

/**
 * Runs of a stream that end after the same event: one that ends in order may have ended early. A
 * second run is asked to repeat the last event, which one that ends before its first cannot do.
 */
export class EndProof {
  /** The end was accepted without the runs that it takes. */
  isAccepted = false
  /** The upstream of the latest of the runs that ended after the last event. */
  endedAt: Upstream | undefined
  /** Runs that ended in order after the last event. */
  #runs = 0
  /** The caller's earlier answer ended after the last event. */
  #hasCallersRun: boolean

  constructor(private readonly options: EndProofOptions) {
    this.#hasCallersRun = options.isResumed
  }

  /** Whether the next run is asked to repeat the last event, since one has ended after it. */
  get isSought(): boolean {
    return (this.#runs > 0 || this.#hasCallersRun) && this.options.relay.canRepeat
  }

  /** How many more runs have to end after the last event. */
  get missingRuns(): number {
    return Math.max(0, this.options.neededRuns() - this.#agreeingRuns)
  }

  /** How an answer ended that this box has not seen counts only where none ends early. */
  get #agreeingRuns(): number {
    return this.#runs + (this.#hasCallersRun && this.options.areEndsSound() ? 1 : 0)
  }

  /** Another upstream is to be asked next: one run has agreed with the first. */
  get seeksOther(): boolean {
    return this.#runs > 1
  }

  /** Records that the current run of the relay has brought new events. */
  recordNewEvents(): void {
    if (this.endedAt) this.options.onEarly(this.endedAt)
    this.endedAt = undefined
    this.#runs = 0
    this.#hasCallersRun = false
  }

  /** Records that the current run of the relay has ended in order at the upstream, without a length. */
  recordEnd(upstream: Upstream): EndFinding {
    const { relay, onEarly } = this.options
    if (!relay.hasNewEvents && !relay.hasRepeated) {
      onEarly(upstream)
      return 'early'
    }
    this.endedAt = upstream
    this.#runs++
    if (this.missingRuns > 0) return 'unproven'
    this.#recordAgreed()
    return 'agreed'
  }

  /** Records that the current run of the relay has ended, and had a framing that says so. */
  recordFramedEnd(): void {
    this.#runs++
    if (!this.options.relay.hasNewEvents) this.#recordAgreed()
  }

  #recordAgreed(): void {
    if (this.#runs > 1) this.options.onSound(this.#runs)
  }
}
