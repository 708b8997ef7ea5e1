import {
  bearableRate,
  headroomLevel,
  type Clock,
  type HeadroomLevel,
  type Milliseconds,
} from '@yewkeel/decisions'
import type { MachineLimits } from '../types/settings.js'

export interface OwnHeadroomOptions {
  clock: Clock
  machine: MachineLimits
  /** Processor time that this process has used so far. */
  processorTime(): Milliseconds
}

/** How long the measured utilisation looks back: callers keep a list of addresses for seconds. */
const AVERAGING_TIME: Milliseconds = 4_000

/** What this box can bear beyond its present load. */
export class OwnHeadroom {
  readonly #bearable: number
  #utilisation = 0
  #measuredAt: Milliseconds
  #processorTime: Milliseconds

  constructor(private readonly options: OwnHeadroomOptions) {
    this.#bearable = bearableRate(options.machine)
    this.#measuredAt = options.clock.now()
    this.#processorTime = options.processorTime()
  }

  /** Part of the processor that the box has used of late; 1 is all of it. */
  get utilisation(): number {
    return this.#utilisation
  }

  /** The level that was last measured. */
  get level(): HeadroomLevel {
    return headroomLevel(this.#bearable, this.#utilisation)
  }

  /** Measures what the box has used since the last call. */
  measure(): HeadroomLevel {
    const { clock, machine, processorTime } = this.options
    const now = clock.now()
    const used = processorTime()
    const elapsed = now - this.#measuredAt
    if (elapsed > 0 && machine.cores !== undefined) {
      const sample = (used - this.#processorTime) / (elapsed * machine.cores)
      const weight = Math.min(1, elapsed / AVERAGING_TIME)
      this.#utilisation += weight * (sample - this.#utilisation)
    }
    this.#measuredAt = now
    this.#processorTime = used
    return this.level
  }
}
