import {
  addEnds,
  areEndsSound,
  countEnds,
  createEndHistory,
  neededRuns,
  recordStreamEnds,
  type Clock,
  type EndCounts,
  type EndHistory,
  type EndKind,
} from '@yewkeel/decisions'
import type { EndReport } from '../types/gossip.js'
import type { EventLog } from '../types/ports.js'

export interface EndWatchOptions {
  clock: Clock
  log: EventLog
  /** What the other boxes tell. */
  told(): Iterable<{ ends?: readonly EndReport[] | undefined }>
  /** A third run is needed from now on: others are to know at once. */
  onDoubt(): void
}

/**
 * Knows by service whether upstreams end streams without a length early though they live on, as
 * this box and others found lately by asking for what follows.
 */
export class EndWatch {
  readonly #histories = new Map<string, EndHistory>()

  constructor(private readonly options: EndWatchOptions) {}

  /** What other boxes are told; undefined if there is nothing to tell. */
  get report(): EndReport[] | undefined {
    const report = [...this.#histories]
      .map(([service, history]) => ({ service, ...this.#count(history) }))
      .filter(({ sound, early }) => sound + early > 0)
    return report.length > 0 ? report : undefined
  }

  /** Records what the ends in order of so many runs were found to be. */
  record(service: string, kind: EndKind, runs = 1): void {
    const { clock, log, onDoubt } = this.options
    const neededBefore = this.neededRuns(service)
    const history = this.#histories.get(service) ?? createEndHistory()
    this.#histories.set(service, history)
    recordStreamEnds(history, kind, runs, clock.now())
    const needed = this.neededRuns(service)
    if (needed === neededBefore) return
    log.event('stream-ends', { service, neededRuns: needed, ...this.#countAll(service) })
    if (needed > neededBefore) onDoubt()
  }

  /** How many runs have to end after the same event until that counts as the end of a stream. */
  neededRuns(service: string): number {
    return neededRuns(this.#countAll(service))
  }

  /** Whether ends that cannot be proved are accepted. */
  areSound(service: string): boolean {
    return areEndsSound(this.#countAll(service))
  }

  #count(history: EndHistory): EndCounts {
    return countEnds(history, this.options.clock.now())
  }

  /** Of all boxes. */
  #countAll(service: string): EndCounts {
    const own = this.#histories.get(service)
    let counts = own ? this.#count(own) : { sound: 0, early: 0 }
    for (const { ends = [] } of this.options.told())
      for (const report of ends) if (report.service === service) counts = addEnds(counts, report)
    return counts
  }
}
