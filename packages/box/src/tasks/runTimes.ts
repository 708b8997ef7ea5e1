import type { Milliseconds } from '@yewkeel/decisions'

/** Some news of a crash take this long: a shorter run says nothing. */
export const MIN_SURVIVAL: Milliseconds = 400
/** A run speaks for a suspect once it is this many times as old as those were that crashed. */
const SURVIVAL_FACTOR = 2
/** Crashed upstream processes whose runs count, the newest ones. */
const MAX_CRASHED_UPSTREAMS = 5

/** The age of the youngest run of a suspect at the crash of its upstream's process. */
export interface CrashedRun {
  upstream: string
  after: Milliseconds
}

/** What boxes tell each other of the runs of a suspect. */
export interface ReportedRunTimes {
  /** Age of the oldest run that has not crashed. */
  survivedFor: Milliseconds
  crashed: readonly CrashedRun[]
}

/**
 * How long runs of a suspect went on until their upstream crashed, and how long others have without
 * a crash. How long an upstream takes to crash is not known beforehand: it is learned from those that
 * did, so that a run which is merely under way is no proof.
 */
export class RunTimes {
  #survivedFor: Milliseconds = 0
  #toldSurvivedFor: Milliseconds = 0
  readonly #crashedAfter = new Map<string, Milliseconds>()

  /** Age at which a run speaks for the suspect. */
  get survivalTime(): Milliseconds {
    return survivalTimeAfter(Math.max(0, ...this.#crashedAfter.values()))
  }

  /** A run has gone on for longer than those that crashed account for. */
  get hasSurvivor(): boolean {
    return this.#survivedFor >= this.survivalTime
  }

  /** Whether a run of the suspect has outlasted one that crashed at this age as well. */
  hasSurvivorOf(crashedAfter: Milliseconds): boolean {
    return this.hasSurvivor && this.#survivedFor >= survivalTimeAfter(crashedAfter)
  }

  /** Records a run that crashed; of several at one upstream the youngest counts. Returns whether it was new. */
  recordCrash({ upstream, after }: CrashedRun): boolean {
    const known = this.#crashedAfter.get(upstream)
    if (known !== undefined && known <= after) return false
    this.#crashedAfter.set(upstream, after)
    const [oldest] = this.#crashedAfter.keys()
    if (this.#crashedAfter.size > MAX_CRASHED_UPSTREAMS) this.#crashedAfter.delete(oldest!)
    return true
  }

  /** Records the age of a run that goes on. Returns whether other boxes should be told. */
  recordProgress(age: Milliseconds): boolean {
    this.#survivedFor = Math.max(this.#survivedFor, age)
    const isNews = this.#survivedFor >= SURVIVAL_FACTOR * this.#toldSurvivedFor
    if (!this.hasSurvivor || !isNews) return false
    this.#toldSurvivedFor = this.#survivedFor
    return true
  }

  /** Merges what another box told. Returns whether it was new. */
  merge({ survivedFor, crashed }: ReportedRunTimes): boolean {
    const newCrashes = crashed.filter(run => this.recordCrash(run))
    const isOlder = survivedFor > this.#survivedFor
    this.#survivedFor = Math.max(this.#survivedFor, survivedFor)
    this.#toldSurvivedFor = Math.max(this.#toldSurvivedFor, survivedFor)
    return isOlder || newCrashes.length > 0
  }

  report(): ReportedRunTimes {
    const crashed = [...this.#crashedAfter].map(([upstream, after]) => ({ upstream, after }))
    return { survivedFor: this.#survivedFor, crashed }
  }
}

function survivalTimeAfter(crashedAfter: Milliseconds): Milliseconds {
  return Math.max(MIN_SURVIVAL, SURVIVAL_FACTOR * crashedAfter)
}
