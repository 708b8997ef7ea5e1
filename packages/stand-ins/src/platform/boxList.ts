import type { Clock, Milliseconds, Random } from '@yewkeel/decisions'
import { createFaults, withFaults } from '../types/faults.js'
import { jsonResponse, type StandInHandler } from '../types/handler.js'

/** A box, engine or service in the platform's list. */
export interface ListedMachine {
  name: string
  role: 'entry' | 'engine' | 'service'
  address: string
  dataCentre: string
  state: 'live' | 'leaving'
  /** Maximum concurrent requests of an engine or service. */
  slots?: number
  /** Whether an engine rejects load orders with an outdated fencing token. */
  checksFence?: boolean
}

export interface BoxListOptions {
  clock: Clock
  random: Random
  /**
   * Delay before a change is visible to clients.
   * @default 1000
   */
  lag?: Milliseconds
}

/** The platform's eventually consistent list of live and leaving boxes, engines and services. */
export class BoxList {
  readonly faults = createFaults()
  #published: ListedMachine[] = []
  #current: ListedMachine[] = []

  constructor(readonly options: BoxListOptions) {}

  /** Replaces the list. Clients see the new one after the lag. */
  set(boxes: ListedMachine[]): void {
    this.#current = boxes
    this.options.clock.after(this.options.lag ?? 1_000, () => (this.#published = boxes))
  }

  /** Publishes the current list at once, so that a start need not wait for the lag. */
  publishNow(): void {
    this.#published = this.#current
  }

  /** The list that clients see. */
  get boxes(): readonly ListedMachine[] {
    return this.#published
  }

  /** The current list, including changes that clients can't see yet. */
  get actual(): readonly ListedMachine[] {
    return this.#current
  }

  readonly handler: StandInHandler = () =>
    withFaults(this.faults, this.options, () => jsonResponse(200, { boxes: this.#published }))
}
