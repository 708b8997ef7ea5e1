import type { Clock, Milliseconds, Random } from '@yewkeel/decisions'
import { createFaults, withFaults } from '../types/faults.js'
import { answerJson, type StandInHandler } from '../types/handler.js'

/** One machine as the platform lists it. */
export interface ListedBox {
  name: string
  role: 'entry' | 'engine' | 'service'
  address: string
  dataCentre: string
  state: 'live' | 'leaving'
  /** Requests that an engine or service works on at once. */
  slots?: number
  checksFence?: boolean
}

export interface BoxListOptions {
  clock: Clock
  random: Random
  /**
   * How far the list is behind.
   * @default 1000
   */
  lag?: Milliseconds
}

/** The platform's list of live and leaving boxes, which lags. */
export class BoxList {
  readonly faults = createFaults()
  #shown: ListedBox[] = []
  #actual: ListedBox[] = []

  constructor(readonly options: BoxListOptions) {}

  /** Changes the list. What is asked shows it after the lag. */
  set(boxes: ListedBox[]): void {
    this.#actual = boxes
    this.options.clock.after(this.options.lag ?? 1_000, () => (this.#shown = boxes))
  }

  /** Shows the list as it is, for a start without waiting. */
  settle(): void {
    this.#shown = this.#actual
  }

  get boxes(): readonly ListedBox[] {
    return this.#shown
  }

  get actual(): readonly ListedBox[] {
    return this.#actual
  }

  readonly handler: StandInHandler = () =>
    withFaults(this.faults, this.options, () => answerJson(200, { boxes: this.#shown }))
}
