import type { EventRelay } from './eventRelay.js'

/**
 * What the end in order of a run without a length shows: `agreed` if enough runs ended after the
 * same event, `early` if it ended before it had repeated that event.
 */
export type EndFinding = 'agreed' | 'unproven' | 'early'

/**
 * Runs of a stream that end after the same event: one that ends in order may have ended early. A
 * second run is asked to repeat the last event, which one that ends before its first cannot do.
 */
export class EndProof {
  /** Runs that ended in order after the last event. */
  #runs: number

  /**
   * `isResumed`: its caller comes back for the rest of an earlier answer, whose end it has seen.
   */
  constructor(
    private readonly relay: EventRelay,
    isResumed: boolean,
  ) {
    this.#runs = isResumed && relay.canRepeat ? 1 : 0
  }

  /** Whether the next run is asked to repeat the last event, since one has ended after it. */
  get isSought(): boolean {
    return this.#runs > 0 && this.relay.canRepeat
  }

  /** Records that the current run of the relay has brought new events. */
  recordNewEvents(): void {
    this.#runs = 0
  }

  /** Records that the current run of the relay has ended in order, without a length. */
  recordEnd(): EndFinding {
    const { hasNewEvents, hasRepeated } = this.relay
    if (!hasNewEvents && !hasRepeated) return 'early'
    this.#runs++
    return this.#runs >= NEEDED_RUNS ? 'agreed' : 'unproven'
  }
}

/** Runs that have to end after the same event. */
const NEEDED_RUNS = 2
