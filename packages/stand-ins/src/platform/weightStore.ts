import { sleep, type Clock, type Milliseconds } from '@yewkeel/decisions'

export interface WeightStoreOptions {
  clock: Clock
  /**
   * Time of one load without contention.
   * @default 4000
   */
  loadTime?: Milliseconds
}

/** Store of model weights. Its bandwidth is shared: concurrent loads run one after the other. */
export class WeightStore {
  readonly faults = { down: false }
  #busyUntil = 0

  constructor(readonly options: WeightStoreOptions) {}

  /** Resolves when one load has finished; throws if the store is down. */
  async load(): Promise<void> {
    const { clock, loadTime = 4_000 } = this.options
    if (this.faults.down) throw new Error('the weight store is down')
    this.#busyUntil = Math.max(this.#busyUntil, clock.now()) + loadTime
    await sleep(clock, this.#busyUntil - clock.now())
  }
}
