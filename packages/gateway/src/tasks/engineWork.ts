import {
  addOwnWork,
  allWork,
  changedWork,
  changeWorkRole,
  createUnreadWork,
  createWorkEstimates,
  expectModels,
  forgetWork,
  noteFirstEvent,
  takeBoxWork,
  takeWorkSums,
  unkeptWorkOf,
  unreadAt,
  workOf,
  type Clock,
  type Milliseconds,
  type PromptWork,
  type WorkEntry,
  type WorkRole,
} from '@yewkeel/decisions'
import type { RequestFields } from '../types/ports.js'

export interface EngineWorkOptions {
  clock: Clock
  /** Tells the other boxes what has changed. */
  tell(entries: WorkEntry[]): void
  /** Whom this box tells. */
  role(): WorkRole
  /** How many boxes that is told. */
  listeners(): number
}

/** Changes are gathered for this long before they are told ... */
const TELL_AFTER: Milliseconds = 15
/**
 * ... and for longer where many listen, so that a box sends no more messages than this a second: a message costs its
 * sender and its receiver some 0.1 ms together.
 */
const MOST_TOLD_PER_SECOND = 200
const SECOND: Milliseconds = 1_000

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
  /** The same for an answer that has not begun yet, so far. */
  waited(): number
  /** The exchange ended, however. */
  end(): void
}

/** The prompts that engines have still to read: this box's own and, by what they tell, those of others. */
export class EngineWork {
  readonly #estimates = createWorkEstimates()
  readonly #unreadWork = createUnreadWork()
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

  /** A prompt was sent. `isUsual`: the answer may teach how long prompts take; that of a version on trial may not. */
  begin(upstream: string, work: PromptWork, tokens: number, isUsual: boolean): ReadingPrompt {
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
    const sinceStart = () => this.options.clock.now() - startedAt
    const waited = () => timesLonger(sinceStart(), Math.max(expected, explained))
    return {
      end,
      waited,
      answered: () => {
        const took = sinceStart()
        const { sharedTokens } = work
        if (isUsual) noteFirstEvent(this.#estimates, work.model, { tokens, sharedTokens }, took)
        this.#learnSlowness(upstream, timesLonger(took, expected))
        end()
        return waited()
      },
    }
  }

  #unread(upstream: string): Milliseconds {
    return unreadAt(this.#unreadWork, upstream, this.options.clock.now())
  }

  #learnSlowness(upstream: string, sample: number): void {
    const bounded = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, sample))
    const known = this.slowness(upstream)
    this.#slowness.set(upstream, known + SLOWNESS_WEIGHT * (bounded - known))
  }

  /** Another box tells of its own work. A member hears of it from the relay. */
  takePeerWork(box: string, entries: readonly WorkEntry[]): void {
    if (this.options.role() === 'member') return
    takeBoxWork(this.#unreadWork, box, entries, this.options.clock.now())
    if (this.options.role() === 'relay') this.#tellSoon()
  }

  /** The relay tells of the work of this data centre. */
  takeSums(entries: readonly WorkEntry[]): void {
    if (this.options.role() !== 'member') return
    takeWorkSums(this.#unreadWork, entries, this.options.clock.now())
  }

  /** All that this box tells, for those that may have missed a change. */
  all(): WorkEntry[] {
    return allWork(this.#unreadWork, this.options.role(), this.options.clock.now())
  }

  /** Whom this box tells of its work. */
  get role(): WorkRole {
    return this.options.role()
  }

  /** This box tells others than before. */
  changeRole(): void {
    changeWorkRole(this.#unreadWork)
  }

  forget(upstream: string): void {
    forgetWork(this.#unreadWork, upstream)
    this.#slowness.delete(upstream)
  }

  #add(upstream: string, work: Milliseconds): void {
    addOwnWork(this.#unreadWork, upstream, work)
    this.#tellSoon()
  }

  #tellSoon(): void {
    if (this.#isTelling) return
    this.#isTelling = true
    const gathered = (SECOND * this.options.listeners()) / MOST_TOLD_PER_SECOND
    this.options.clock.after(Math.max(TELL_AFTER, gathered), () => this.#tell())
  }

  #tell(): void {
    this.#isTelling = false
    const { clock, role, tell } = this.options
    const entries = changedWork(this.#unreadWork, role(), clock.now())
    if (entries.length > 0) tell(entries)
  }
}

function timesLonger(took: Milliseconds, expected: Milliseconds): number {
  return (took + SLOWNESS_SLACK) / (expected + SLOWNESS_SLACK)
}
