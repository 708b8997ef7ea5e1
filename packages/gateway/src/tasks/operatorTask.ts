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

/** The fingerprint before the first state: hashes are never negative. */
const NO_STATE = -1

export interface OperatorTaskOptions {
  clock: Clock
  log: EventLog
  onChange(state: OperatorState): void
}

/** Holds the operators' newest state, and the proof of how new it is. It never goes back. */
export class OperatorTask {
  #state: OperatorState = { revision: 0, fingerprint: NO_STATE, orders: [], evacuated: [] }
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

  /** Age of the proof that the state is the store's newest. */
  get age(): Milliseconds {
    return confirmationAge(this.#proof, this.options.clock.now())
  }

  /** Takes a state; an older one is passed over. True when it is as new as the present one. */
  take(state: OperatorState): boolean {
    if (state.revision < this.#state.revision) return false
    if (state.fingerprint === this.#state.fingerprint) {
      this.#sameAt(state.revision)
      return true
    }
    const current = this.#index?.configuration.revision ?? -1
    const offered = state.configuration
    if (offered && offered.revision < current) return false
    const { evacuated } = this.#state
    this.#state = state
    if (offered && offered.revision > current) {
      this.#index = createRouteIndex(offered)
      this.options.log.note('configuration', {
        revision: offered.revision,
        before: current,
        routes: offered.routes.length,
        organisations: offered.organisations?.length,
      })
    }
    this.#noteEvacuations(evacuated, state.evacuated)
    this.options.onChange(state)
    return true
  }

  /** At `provedAt` the store, at `revision`, said just what this box holds. */
  prove(revision: number, provedAt: Milliseconds): void {
    this.#sameAt(revision)
    confirm(this.#proof, provedAt)
  }

  /** What is held was still the newest at a later revision. Feeds go on from there, so that their history is not gone. */
  #sameAt(revision: number): void {
    if (revision > this.#state.revision) this.#state = { ...this.#state, revision }
  }

  #noteEvacuations(before: readonly string[], dataCentres: readonly string[]): void {
    if (dataCentres.join() !== before.join())
      this.options.log.note('evacuated', { dataCentres, before })
  }
}
