import type { RowsStandIn } from '@yewkeel/platform/stand-ins'
import { createSeededRandom } from '@yewkeel/decisions'
import type { Evidence } from '../checks/evidence.js'
import { STORE_RETURNS } from '../checks/tolerances.js'

/** The store is away for a moment and comes back from a copy. All times in ms. */
export interface PlannedStoreReturn {
  /** Since the start of fault injection. */
  at: number
  copyAge: number
}

/** In lower seeds the store loses nothing, so that regressions replay unchanged. */
export const FIRST_SEED_WITH_STORE_RETURNS = 470
/** Makes the random sequence differ from that of the seed's faults. */
const SEED_FACTOR = 2_654_435_761
const MIN_COPY_AGE_MS = 1_500
const COPY_AGE_RANGE_MS = 5_500
/** Before fault injection starts, the store has run for longer. */
const MAX_COPY_AGE_AT_START_MS = 1_500
const SECOND_RETURN_FRACTION = 0.4
const MIN_RETURN_INTERVAL_MS = 1_500
const ABSENCE_MS = 900
/** Time after which operators write again what the store has lost. */
const OPERATORS_DELAY_MS = 150

/** Plans the store's returns of a seed, one or two. */
export function planStoreReturns(seed: number, seconds: number): PlannedStoreReturn[] {
  if (seed < FIRST_SEED_WITH_STORE_RETURNS) return []
  const random = createSeededRandom(seed * SEED_FACTOR)
  const span = Math.max(0, seconds * 1_000 - ABSENCE_MS)
  const returnAt = (at: number) => ({
    at,
    copyAge: Math.min(
      MIN_COPY_AGE_MS + COPY_AGE_RANGE_MS * random(),
      MAX_COPY_AGE_AT_START_MS + at,
    ),
  })
  const first = returnAt(span * random())
  const secondAt = first.at + ABSENCE_MS + MIN_RETURN_INTERVAL_MS + span * random() ** 2
  return random() < SECOND_RETURN_FRACTION && secondAt < span
    ? [first, returnAt(secondAt)]
    : [first]
}

export interface StoreReturnsOptions {
  planned: readonly PlannedStoreReturn[]
  rows: RowsStandIn
  evidence: Evidence
  now(): number
  /** Writes the operators' rows that the store has lost. */
  writeLostOperatorRows(): void
  /** Writes the rows of the upstreams. */
  writeUpstreamRows(): void
}

/** Restores the store from copies as planned; operators and upstreams write their rows again. */
export class StoreReturns {
  readonly #timers: NodeJS.Timeout[] = []

  constructor(private readonly options: StoreReturnsOptions) {}

  start(): void {
    for (const { at, copyAge } of this.options.planned) this.#after(at, () => this.#begin(copyAge))
  }

  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer)
  }

  #begin(copyAge: number): void {
    const { rows, evidence, now } = this.options
    rows.faults.isAway = true
    const span = { kind: STORE_RETURNS, from: now(), until: Infinity }
    evidence.faults.push(span)
    this.#after(ABSENCE_MS, () => {
      rows.back(copyAge)
      delete rows.faults.isAway
      span.until = now()
      this.options.writeUpstreamRows()
      this.#after(OPERATORS_DELAY_MS, () => this.options.writeLostOperatorRows())
    })
  }

  #after(delay: number, callback: () => void): void {
    this.#timers.push(setTimeout(callback, delay))
  }
}
