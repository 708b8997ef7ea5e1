import { sleep, type Clock, type Milliseconds } from '@yewkeel/decisions'

export interface WeightStoreOptions {
  clock: Clock
  /**
   * Time of one load when nothing else loads.
   * @default 4000
   */
  loadTime?: Milliseconds
}

/** The store of model weights. Its bandwidth is shared: loads go one after the other. */
export class WeightStore {
  readonly faults = { down: false }
  #freeAt = 0

  constructor(readonly options: WeightStoreOptions) {}

  async load(): Promise<void> {
    const { clock, loadTime = 4_000 } = this.options
    if (this.faults.down) throw new Error('the weight store is down')
    this.#freeAt = Math.max(this.#freeAt, clock.now()) + loadTime
    await sleep(clock, this.#freeAt - clock.now())
  }
}
