import {
  NO_SUSPICION,
  sleep,
  type Clock,
  type Milliseconds,
  type SuspicionAtSend,
} from '@yewkeel/decisions'
import type { CrashSuspects, RequestCrash } from '../tasks/crashSuspects.js'
import { MIN_SURVIVAL } from '../tasks/runTimes.js'
import type { Trial } from '../tasks/suspectTable.js'

/** Parts of a prompt that can be suspected; a header may hold hundreds. */
const MAX_PARTS = 32
/**
 * A request is tried so much later for each further suspected part that it has: trials of requests
 * with fewer come first and tell them apart.
 */
const DELAY_PER_OTHER_PART: Milliseconds = 350
/** Longest wait for trials of others; a sound part is cleared within less. */
const MAX_HOLD: Milliseconds = 1_500
const POLL_INTERVAL: Milliseconds = 12

/** The parts of one send, and the suspicion against each at that time. */
export interface PartsSend {
  parts: readonly { name: string; known: SuspicionAtSend }[]
  /** The part that it tries. */
  tried: string | undefined
}

export interface SuspectPartsOptions {
  suspects: CrashSuspects
  clock: Clock
  /** Names of the parts that other requests share. */
  names: readonly string[]
}

/** The parts of one request's prompt, with the suspicion that one of them crashes upstreams. */
export class SuspectParts {
  readonly #names: readonly string[]
  #trial: { part: string; trial: Trial } | undefined
  /** An upstream crashed under the request: others are to try its parts. */
  #hasCrashed = false

  constructor(private readonly options: SuspectPartsOptions) {
    this.#names = options.names.slice(0, MAX_PARTS)
  }

  /** Crashes that count against the most suspected part that is held back. */
  get crashes(): number {
    const { suspects } = this.options
    if (suspects.isEmpty) return 0
    const held = this.#names.filter(name => suspects.isHeld(name))
    return Math.max(0, ...held.map(name => suspects.find(name).crashes))
  }

  /** The part that the request is to try. */
  get tried(): string | undefined {
    return this.#trial?.part
  }

  /** The quarantined part, if there is one. */
  get condemned(): string | undefined {
    const { suspects } = this.options
    if (suspects.isEmpty) return undefined
    return this.#names.find(name => suspects.find(name).isCondemned)
  }

  #held(): string[] {
    const { suspects } = this.options
    return suspects.isEmpty ? [] : this.#names.filter(name => suspects.isHeld(name))
  }

  /** Waits until the request may be sent, as `SuspectRequest.waitForAdmission`. */
  async waitForAdmission(until: Milliseconds): Promise<'busy' | 'condemned' | 'may-run'> {
    const { clock } = this.options
    const waitingSince = clock.now()
    const waitsUntil = Math.min(until, waitingSince + MAX_HOLD)
    for (;;) {
      const { condemned } = this
      if (condemned !== undefined)
        return (await this.#tryAppeal(condemned)) ? 'may-run' : 'condemned'
      const held = this.#held()
      if (held.length === 0) return 'may-run'
      const part = this.#mostSuspected(held)
      const isDue = clock.now() - waitingSince >= DELAY_PER_OTHER_PART * this.#countOthers(part)
      if (isDue && !this.#hasCrashed && (await this.#tryTrial(part))) return 'may-run'
      if (clock.now() >= waitsUntil) return 'busy'
      await sleep(clock, POLL_INTERVAL)
    }
  }

  /** Other parts of the request under suspicion. */
  #countOthers(part: string): number {
    const { suspects } = this.options
    const others = this.#names.filter(name => name !== part && isSuspected(suspects.find(name)))
    return others.length
  }

  /** Whether the request has to wait again: a part is held back since, or its trial has expired. */
  get mustWait(): boolean {
    const { suspects } = this.options
    if (this.#trial && suspects.holdsTrial(this.#trial.part, this.#trial.trial)) return false
    return this.condemned !== undefined || this.#held().length > 0
  }

  #mostSuspected(held: readonly string[]): string {
    const { suspects } = this.options
    const byCrashes = (one: string, other: string) =>
      suspects.find(other).crashes - suspects.find(one).crashes
    return [...held].sort(byCrashes)[0]!
  }

  /** Tries a quarantined part again if that is due and no other part explains a crash. */
  async #tryAppeal(condemned: string): Promise<boolean> {
    const { suspects } = this.options
    if (this.#hasCrashed || !suspects.mayAppeal(condemned)) return false
    if (this.#countOthers(condemned) > 0) return false
    return this.#tryTrial(condemned)
  }

  async #tryTrial(part: string): Promise<boolean> {
    const trial = await this.options.suspects.tryTrial(part)
    if (trial) this.#trial = { part, trial }
    return trial !== undefined
  }

  recordSend(upstream: string): PartsSend | undefined {
    const { suspects } = this.options
    if (suspects.isEmpty) return undefined
    if (this.#trial) suspects.recordSend(this.#trial.part, this.#trial.trial, upstream)
    const parts = this.#names.map(name => ({ name, known: suspects.find(name) }))
    return { parts, tried: this.tried }
  }

  /**
   * Records that an upstream crashed; `crash` is that of the whole request, and `answeredFor` the time
   * from the first to the last bytes of its answer.
   */
  recordCrash(crash: RequestCrash, send: PartsSend | undefined, answeredFor: Milliseconds): void {
    const { suspects } = this.options
    this.#hasCrashed = true
    const parts = send?.parts ?? this.#names.map(name => ({ name, known: NO_SUSPICION }))
    const suspected = parts.filter(({ known }) => isSuspected(known))
    for (const { name, known } of parts)
      suspects.recordCrash({
        ...crash,
        request: name,
        atSend: known,
        wasAnsweredRecently: false,
        after: answeredFor,
        part: {
          request: crash.request,
          isTrial: send?.tried === name,
          suspectedBeside: suspected
            .filter(other => other.name !== name)
            .map(other => ({ name: other.name, epoch: other.known.epoch })),
        },
      })
  }

  /** Age at which a run of the request speaks for all its parts. */
  get survivalTime(): Milliseconds {
    const { suspects } = this.options
    if (suspects.isEmpty) return MIN_SURVIVAL
    return Math.max(MIN_SURVIVAL, ...this.#names.map(name => suspects.survivalTimeOf(name)))
  }

  /** A run that began to answer at `begunAt` goes on. */
  recordProgress(begunAt: Milliseconds): void {
    const { suspects } = this.options
    if (suspects.isEmpty) return
    for (const name of this.#names) suspects.recordProgress(name, begunAt)
  }

  /** A run that began to answer at `begunAt` was received to its end. */
  recordWholeAnswer(begunAt: Milliseconds): void {
    const { suspects } = this.options
    if (suspects.isEmpty) return
    for (const name of this.#names) suspects.recordWholeAnswer(name, begunAt)
  }

  endTrial(): void {
    if (this.#trial) this.options.suspects.endTrial(this.#trial.part, this.#trial.trial)
    this.#trial = undefined
  }
}

function isSuspected({ crashes, excused }: SuspicionAtSend): boolean {
  return crashes + excused > 0
}
