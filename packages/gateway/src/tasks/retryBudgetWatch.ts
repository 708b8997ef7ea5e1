import type { Clock, Milliseconds, TightestWindow } from '@yewkeel/decisions'
import type { EventLog } from '../types/ports.js'

export interface RetryBudgetWatchOptions {
  clock: Clock
  log: EventLog
  /** Number of boxes that share the fixed part of the budget, as this box believes. */
  sharingBoxes(): number
}

/** A budget that refused nothing for so long is no longer exhausted: each new request earns a little. */
const CALM_DURATION: Milliseconds = 1_000

/** Logs when this box's part of a service's retry budget is exhausted, and when it no longer is. */
export class RetryBudgetWatch {
  /** When the budgets that are exhausted last refused a retry, by service. */
  readonly #refusedAt = new Map<string, Milliseconds>()

  constructor(private readonly options: RetryBudgetWatchOptions) {}

  /** Records that a retry was taken from the budget, or refused by it. */
  record(service: string, isTaken: boolean, window: TightestWindow): void {
    const now = this.options.clock.now()
    const refusedAt = this.#refusedAt.get(service)
    if (!isTaken) this.#refusedAt.set(service, now)
    if (!isTaken && refusedAt === undefined) return this.#log('exhausted', service, window)
    if (!isTaken || refusedAt === undefined || now - refusedAt < CALM_DURATION) return
    this.#refusedAt.delete(service)
    this.#log('open', service, window)
  }

  #log(state: 'exhausted' | 'open', service: string, window: TightestWindow): void {
    const { log, sharingBoxes } = this.options
    log.event(`retry-budget-${state}`, {
      service,
      age: Math.round(window.age),
      retries: window.retries,
      allowed: Math.floor(window.allowed),
      boxes: sharingBoxes(),
    })
  }
}
