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

export interface OperatorTaskOptions {
  clock: Clock
  log: EventLog
  onChange(state: OperatorState): void
}

/** Holds the operators' newest state, and the proof of how new it is. It never goes back. */
export class OperatorTask {
  #state: OperatorState = { revision: 0, orders: [] }
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
    if (state.revision === this.#state.revision) return true
    const current = this.#index?.configuration.revision ?? -1
    const offered = state.configuration
    if (offered && offered.revision < current) return false
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
    this.options.onChange(state)
    return true
  }

  /** At `provedAt` the store had nothing newer than `revision`. */
  prove(revision: number, provedAt: Milliseconds): void {
    if (revision === this.#state.revision) confirm(this.#proof, provedAt)
  }
}
