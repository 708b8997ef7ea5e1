import {
  createWorkEstimates,
  expectModels,
  noteFirstEvent,
  unkeptWorkOf,
  workOf,
  type Clock,
  type Milliseconds,
  type PromptWork,
} from '@yewkeel/decisions'
import type { RequestFields } from '../types/ports.js'

/** Work of one box at one engine as others hear of it. */
export type WorkEntry = [upstream: string, work: Milliseconds]

export interface EngineWorkOptions {
  clock: Clock
  /** Tells the other boxes what has changed. */
  tell(entries: WorkEntry[]): void
  /** How many boxes that is told. */
  listeners(): number
}

/** Changes are gathered for this long before they are told ... */
const TELL_AFTER: Milliseconds = 15
/**
 * ... and for longer where many listen, so that a box sends no more messages than this a second. With 30 listeners, which
 * makes it 120 ms, 91 boxes took 285 s of processor time where they took 395 s with 15 ms (the same moment of one day).
 */
const MOST_TOLD_PER_SECOND = 250
const SECOND: Milliseconds = 1_000
/** Smaller changes are not worth a message. */
const LEAST_CHANGE: Milliseconds = 8
/** A peer's work that it did not tell of again is forgotten after this. */
const WORK_LIFETIME: Milliseconds = 2_500

/** Weight of the newest answer in what is known of an engine's slowness. */
const SLOWNESS_WEIGHT = 0.08
const LEAST_SLOWNESS = 0.5
const MOST_SLOWNESS = 8
/** Keeps short answers from saying much. */
const SLOWNESS_SLACK: Milliseconds = 60

/** A prompt that an engine has still to read. */
export interface ReadingPrompt {
  /**
   * The answer began. Gives how many times longer that took than can be explained, by an engine that keeps nothing of the
   * prompt: a new version's engines keep nothing yet, and that is no fault of the version.
   */
  answered(): number
  /** The exchange ended, however. */
  end(): void
}

interface PeerWork {
  work: Milliseconds
  heardAt: Milliseconds
}

/** The prompts that engines have still to read: this box's own and, by what they tell, those of others. */
export class EngineWork {
  readonly #estimates = createWorkEstimates()
  readonly #own = new Map<string, Milliseconds>()
  readonly #told = new Map<string, Milliseconds>()
  readonly #peers = new Map<string, Map<string, PeerWork>>()
  readonly #slowness = new Map<string, number>()
  #isTelling = false

  constructor(private readonly options: EngineWorkOptions) {}

  /** What a request's prompt costs with one of the models of its route. */
  promptWork(fields: RequestFields, model: string, models: readonly string[]): PromptWork {
    const { promptParts, promptTokens } = fields
    expectModels(this.#estimates, models)
    // The last part is the request's own or its session's: whoever shares the others finds them in one place.
    const textParts = promptParts.slice(0, -1)
    const sharedParts = fields.session === undefined ? textParts : promptParts
    const sharedTokens = sharedParts.reduce((sum, part) => sum + part.tokens, 0)
    const ids = textParts.map(part => part.id).join(' ')
    return {
      model,
      isLargerModel: models.indexOf(model) > 0,
      whole: workOf(this.#estimates, model, promptTokens),
      shared: workOf(this.#estimates, model, sharedTokens),
      sharedTokens,
      ...(ids !== '' && { homeKey: `${model} ${ids}` }),
    }
  }

  /** Time that an engine still reads prompts for, at its own pace. */
  waiting(upstream: string): Milliseconds {
    return this.#unread(upstream) * this.slowness(upstream)
  }

  /** How many times slower than the estimates an engine answers. */
  slowness(upstream: string): number {
    return this.#slowness.get(upstream) ?? 1
  }

  /** A prompt was sent. */
  begin(upstream: string, work: PromptWork, tokens: number): ReadingPrompt {
    const unread = this.#unread(upstream)
    const expected = unread + work.whole
    const explained = unread + unkeptWorkOf(this.#estimates, work.model, tokens)
    const startedAt = this.options.clock.now()
    this.#add(upstream, work.whole)
    let isOver = false
    const end = () => {
      if (isOver) return
      isOver = true
      this.#add(upstream, -work.whole)
    }
    return {
      end,
      answered: () => {
        const took = this.options.clock.now() - startedAt
        const { sharedTokens } = work
        noteFirstEvent(this.#estimates, work.model, { tokens, sharedTokens }, took)
        this.#learnSlowness(upstream, timesLonger(took, expected))
        end()
        return timesLonger(took, Math.max(expected, explained))
      },
    }
  }

  #unread(upstream: string): Milliseconds {
    const now = this.options.clock.now()
    let sum = this.#own.get(upstream) ?? 0
    for (const { work, heardAt } of this.#peers.get(upstream)?.values() ?? [])
      if (now - heardAt < WORK_LIFETIME) sum += work
    return sum
  }

  #learnSlowness(upstream: string, sample: number): void {
    const bounded = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, sample))
    const known = this.slowness(upstream)
    this.#slowness.set(upstream, known + SLOWNESS_WEIGHT * (bounded - known))
  }

  takePeerWork(box: string, entries: readonly WorkEntry[]): void {
    const heardAt = this.options.clock.now()
    for (const [upstream, work] of entries) {
      const known = this.#peers.get(upstream) ?? new Map<string, PeerWork>()
      this.#peers.set(upstream, known)
      if (work > 0) known.set(box, { work, heardAt })
      else known.delete(box)
    }
  }

  /** All of this box's work, for peers that may have missed a change. */
  own(): WorkEntry[] {
    return [...this.#own].map(([upstream, work]) => [upstream, Math.round(work)])
  }

  forget(upstream: string): void {
    this.#peers.delete(upstream)
    this.#told.delete(upstream)
    this.#slowness.delete(upstream)
  }

  #add(upstream: string, work: Milliseconds): void {
    const next = (this.#own.get(upstream) ?? 0) + work
    if (next < 0.5) this.#own.delete(upstream)
    else this.#own.set(upstream, next)
    const change = Math.abs(next - (this.#told.get(upstream) ?? 0))
    if (this.#isTelling || change < LEAST_CHANGE) return
    this.#isTelling = true
    const gathered = (SECOND * this.options.listeners()) / MOST_TOLD_PER_SECOND
    this.options.clock.after(Math.max(TELL_AFTER, gathered), () => this.#tell())
  }

  #tell(): void {
    this.#isTelling = false
    const entries: WorkEntry[] = []
    for (const upstream of new Set([...this.#own.keys(), ...this.#told.keys()])) {
      const work = this.#own.get(upstream) ?? 0
      if (Math.abs(work - (this.#told.get(upstream) ?? 0)) < LEAST_CHANGE) continue
      entries.push([upstream, Math.round(work)])
      if (work > 0) this.#told.set(upstream, work)
      else this.#told.delete(upstream)
    }
    if (entries.length > 0) this.options.tell(entries)
  }
}

function timesLonger(took: Milliseconds, expected: Milliseconds): number {
  return (took + SLOWNESS_SLACK) / (expected + SLOWNESS_SLACK)
}
