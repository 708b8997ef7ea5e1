import {
  confirm,
  confirmationAge,
  createRouteIndex,
  type Clock,
  type Confirmation,
  type Milliseconds,
  type RouteIndex,
} from '@yewkeel/decisions'
import type { EventLog, OperatorState } from '../types/ports.js'

/** Fingerprint before the first state; differs from every hash, since these are never negative. */
const NO_FINGERPRINT = -1

export interface OperatorTaskOptions {
  clock: Clock
  log: EventLog
  onChange(state: OperatorState): void
}

/**
 * Holds the newest operator state and the time at which it was last confirmed. Its revision never
 * decreases.
 */
export class OperatorTask {
  #state: OperatorState = { revision: 0, fingerprint: NO_FINGERPRINT, orders: [], evacuated: [] }
  #index: RouteIndex | undefined
  readonly #proof: Confirmation = {}

  constructor(private readonly options: OperatorTaskOptions) {}

  get state(): OperatorState {
    return this.#state
  }

  /** Undefined before the first configuration. */
  get index(): RouteIndex | undefined {
    return this.#index
  }

  /** Time since the state was last confirmed to be the newest in the store. */
  get age(): Milliseconds {
    return confirmationAge(this.#proof, this.options.clock.now())
  }

  /** Applies a state. Returns false if it or its configuration is older than the current one. */
  apply(state: OperatorState): boolean {
    if (state.revision < this.#state.revision) return false
    if (state.fingerprint === this.#state.fingerprint) {
      this.#advanceRevision(state.revision)
      return true
    }
    const current = this.#index?.configuration.revision ?? -1
    const offered = state.configuration
    if (offered && offered.revision < current) return false
    const { evacuated } = this.#state
    this.#state = state
    if (offered && offered.revision > current) {
      this.#index = createRouteIndex(offered)
      this.options.log.event('configuration', {
        revision: offered.revision,
        before: current,
        routes: offered.routes.length,
        organisations: offered.organisations?.length,
      })
    }
    this.#logEvacuations(evacuated, state.evacuated)
    this.options.onChange(state)
    return true
  }

  /** Confirms that the store, at `revision`, held the current state at `provedAt`. */
  recordConfirmation(revision: number, provedAt: Milliseconds): void {
    this.#advanceRevision(revision)
    confirm(this.#proof, provedAt)
  }

  /**
   * Advances the revision of an unchanged state, so that watches do not resume from discarded
   * history.
   */
  #advanceRevision(revision: number): void {
    if (revision > this.#state.revision) this.#state = { ...this.#state, revision }
  }

  #logEvacuations(before: readonly string[], dataCentres: readonly string[]): void {
    if (dataCentres.join() !== before.join())
      this.options.log.event('evacuated', { dataCentres, before })
  }
}
