import type { Clock, Milliseconds } from '@yewkeel/decisions'

/** Estimates the time on the store's clock. A restored store may go on with another one. */
export class StoreClock {
  #offset: Milliseconds | undefined
  #epoch = 0

  constructor(private readonly clock: Clock) {}

  /** Undefined before the first answer of the store. */
  get now(): Milliseconds | undefined {
    return this.#offset === undefined ? undefined : this.clock.now() + this.#offset
  }

  /** Epoch of the clock. */
  get epoch(): number {
    return this.#epoch
  }

  /**
   * Updates the estimate. Latency only reduces an observed offset, so the largest of the newest
   * epoch is the best.
   */
  update(storeNow: Milliseconds, at: Milliseconds, epoch: number): void {
    if (!Number.isFinite(storeNow) || epoch < this.#epoch) return
    const offset = storeNow - at
    const isFirst = this.#offset === undefined || epoch > this.#epoch
    if (isFirst || offset > this.#offset!) this.#offset = offset
    this.#epoch = epoch
  }
}
