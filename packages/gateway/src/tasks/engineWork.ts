import {
  addToSum,
  allSums,
  amountOf,
  takeChangedSums,
  clearReportedSums,
  createSharedSums,
  createLearnedSlowness,
  createPrefillEstimates,
  initialiseModelRates,
  forgetSum,
  hasPaceChanged,
  sampleFirstToken,
  recordBoxSums,
  recordRelaySums,
  recordSlowness,
  slownessAt,
  uncachedPrefillTimeOf,
  prefillTimeOf,
  type Clock,
  type LearnedSlowness,
  type Milliseconds,
  type PrefillWork,
  type SumEntry,
  type SharingRole,
  type UpstreamCandidate,
} from '@yewkeel/decisions'
import type { RequestFields } from '../types/ports.js'
import type { SharedLoad } from './loadSharing.js'

export interface EngineWorkOptions {
  clock: Clock
  /** The work has changed, so that others have to be told. */
  onChange(): void
  /** The pace to expect of an engine over the next `span`; undefined where it tells none. */
  paceOf?(upstream: string, span: Milliseconds): number | undefined
}

/** Smaller changes of the pending prefill time are not reported. */
const MIN_WORK_CHANGE: Milliseconds = 8

/** Each request in flight is reported. */
const MIN_REQUEST_CHANGE = 1
/** Smaller changes of the tokens in memory are not reported: less than a short prompt. */
const MIN_TOKEN_CHANGE = 1_000

/** Positions in the sums of an upstream. */
const WORK = 0
const REQUESTS = 1
const TOKENS = 2

/** The requests that are known to be at an upstream, over all boxes. */
export interface UpstreamAmounts {
  /** Requests of this box that others are told of. */
  ownRequests: number
  /** Requests of all boxes. */
  requests: number
  /** Tokens that these hold or will hold, without shared texts. */
  tokens: number
}

/** Of an upstream where no requests are known. */
const NO_AMOUNTS: Readonly<UpstreamAmounts> = { ownRequests: 0, requests: 0, tokens: 0 }

/** Weight of a new sample in the moving average of an engine's prefill slowdown. */
const SLOWNESS_WEIGHT = 0.08
const MIN_SLOWNESS = 0.5
const MAX_SLOWNESS = 8
/** A stream runs for this long at least, so that its engine's mean pace over the time counts. */
const MIN_PACE_SPAN: Milliseconds = 1_500
/** Added to both sides of the ratio, so that short durations have little effect on it. */
const SLOWNESS_SLACK: Milliseconds = 60

/** What a prompt that is sent to an engine now has to expect. */
export type EngineOutlook = Pick<UpstreamCandidate, 'pendingPrefill' | 'prefillSlowdown'>

/** A prompt sent to an engine, from dispatch until its prefill is done. */
export interface PrefillTracker {
  /**
   * Records the first event of the answer. Returns the ratio of the time it took to the time
   * expected with an empty prefix cache, since engines of a new version start with an empty one.
   */
  recordFirstEvent(): number
  /** The same ratio for an answer that has not begun, by the time waited so far. */
  currentSlowdown(): number
  /** The exchange ended, with or without an answer. */
  end(): void
}

/**
 * Tracks the prefill work queued at each engine, and the requests in flight there: from this box
 * and, as they report it, from others.
 */
export class EngineWork implements SharedLoad<SumEntry> {
  readonly #estimates = createPrefillEstimates()
  readonly #sums = createSharedSums([MIN_WORK_CHANGE, MIN_REQUEST_CHANGE, MIN_TOKEN_CHANGE])
  /** Requests of this box in flight, by upstream. Those of a run that ended count no more. */
  readonly #held = new Map<string, Set<object>>()
  readonly #slowness = new Map<string, number>()
  /** What engines that tell their pace are for good, by engine and model. */
  readonly #learned = new Map<string, Map<string, LearnedSlowness>>()

  constructor(private readonly options: EngineWorkOptions) {}

  /** Estimates the prefill work of a request's prompt with one of the models of its route. */
  promptWork(fields: RequestFields, model: string, models: readonly string[]): PrefillWork {
    const { promptParts, promptTokens } = fields
    initialiseModelRates(this.#estimates, models)
    // The last part belongs to the request or its session; requests with the same other parts share
    // a home upstream, so that these are in its prefix cache.
    const textParts = promptParts.slice(0, -1)
    const sharedParts = fields.session === undefined ? textParts : promptParts
    const sharedTokens = sharedParts.reduce((sum, part) => sum + part.tokens, 0)
    const ids = textParts.map(part => part.id).join(' ')
    return {
      model,
      isLargerModel: models.indexOf(model) > 0,
      prefillTime: prefillTimeOf(this.#estimates, model, promptTokens),
      sharedPrefillTime: prefillTimeOf(this.#estimates, model, sharedTokens),
      sharedTokens,
      ...(ids !== '' && { prefixKey: `${model} ${ids}` }),
    }
  }

  /** Estimated time until an engine has finished its queued prefill work, at its own speed. */
  waiting(upstream: string): Milliseconds {
    return this.outlook(upstream).pendingPrefill
  }

  /**
   * The queued prefill work of an engine at its own speed, and the ratio of its times to first event
   * to the estimates. Where it tells its pace, the ratio is what it is for good with the model,
   * times the pace.
   */
  outlook(upstream: string, model?: string): EngineOutlook {
    const pending = this.#pendingWork(upstream)
    const prefillSlowdown = this.#slowdown(upstream, model, pending)
    return { pendingPrefill: pending * prefillSlowdown, prefillSlowdown }
  }

  #slowdown(upstream: string, model: string | undefined, pending: Milliseconds): number {
    const pace = this.options.paceOf?.(upstream, pending + MIN_PACE_SPAN)
    if (pace === undefined) return this.#slowness.get(upstream) ?? 1
    return pace * this.#learnedSlowness(upstream, model)
  }

  /** What an engine is for good, with a model or over all of its models. */
  #learnedSlowness(upstream: string, model: string | undefined): number {
    const now = this.options.clock.now()
    let [total, count] = [0, 0]
    for (const [name, learned] of this.#learned.get(upstream) ?? []) {
      if (model !== undefined && name !== model) continue
      total += slownessAt(learned, now)
      count++
    }
    return count > 0 ? total / count : 1
  }

  /**
   * Records that a prompt was sent. `isUsual`: the answer may update the estimates, unlike that of
   * a version on trial.
   */
  begin(upstream: string, work: PrefillWork, tokens: number, isUsual: boolean): PrefillTracker {
    const pending = this.#pendingWork(upstream)
    const expected = pending + work.prefillTime
    const expectedUncached = pending + uncachedPrefillTimeOf(this.#estimates, work.model, tokens)
    const startedAt = this.options.clock.now()
    const paceAtStart = this.options.paceOf?.(upstream, 0)
    this.#add(upstream, [work.prefillTime])
    let hasEnded = false
    const end = () => {
      if (hasEnded) return
      hasEnded = true
      this.#add(upstream, [-work.prefillTime])
    }
    const sinceStart = () => this.options.clock.now() - startedAt
    const waited = () => slowdownRatio(sinceStart(), Math.max(expected, expectedUncached))
    return {
      end,
      currentSlowdown: waited,
      recordFirstEvent: () => {
        const took = sinceStart()
        const { sharedTokens } = work
        const pace = this.options.paceOf?.(upstream, 0)
        const usual = took / (pace ?? 1)
        // At two paces the time says little about either.
        const isEven = !hasPaceChanged(paceAtStart ?? 1, pace ?? 1)
        if (isUsual && isEven)
          sampleFirstToken(this.#estimates, work.model, { tokens, sharedTokens }, usual)
        const sample = slowdownRatio(usual, expected)
        if (pace === undefined) this.#updateSlowness(upstream, sample)
        else if (isEven) this.#learnSlowness(upstream, work.model, sample)
        end()
        return waited()
      },
    }
  }

  /** Counts a request that was sent to an upstream. Returns a function to call once at its end. */
  hold(upstream: string, tokens: number): () => void {
    const request = {}
    const held = this.#held.get(upstream) ?? new Set()
    this.#held.set(upstream, held)
    held.add(request)
    this.#add(upstream, [0, 1, tokens])
    return () => {
      if (held.delete(request)) this.#add(upstream, [0, -1, -tokens])
    }
  }

  /** Upstreams at which this box or others have load. */
  upstreams(): Set<string> {
    return new Set([...this.#sums.own.keys(), ...this.#sums.received.keys()])
  }

  /** The requests known to be at an upstream. */
  amountsAt(upstream: string, now = this.options.clock.now()): Readonly<UpstreamAmounts> {
    const sums = this.#sums
    if (!sums.own.has(upstream) && !sums.received.has(upstream)) return NO_AMOUNTS
    return {
      ownRequests: sums.own.get(upstream)?.[REQUESTS] ?? 0,
      requests: amountOf(sums, upstream, REQUESTS, now),
      tokens: amountOf(sums, upstream, TOKENS, now),
    }
  }

  #pendingWork(upstream: string): Milliseconds {
    return amountOf(this.#sums, upstream, WORK, this.options.clock.now())
  }

  #updateSlowness(upstream: string, sample: number): void {
    const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, sample))
    const average = this.#slowness.get(upstream) ?? 1
    this.#slowness.set(upstream, average + SLOWNESS_WEIGHT * (bounded - average))
  }

  #learnSlowness(upstream: string, model: string, sample: number): void {
    const now = this.options.clock.now()
    const models = this.#learned.get(upstream) ?? new Map<string, LearnedSlowness>()
    const learned = models.get(model) ?? createLearnedSlowness(now)
    recordSlowness(learned, sample, now)
    models.set(model, learned)
    this.#learned.set(upstream, models)
  }

  recordFromBox(box: string, entries: readonly SumEntry[]): void {
    recordBoxSums(this.#sums, box, entries, this.options.clock.now())
  }

  recordFromRelay(entries: readonly SumEntry[]): void {
    recordRelaySums(this.#sums, entries, this.options.clock.now())
  }

  takeChanges(role: SharingRole): SumEntry[] {
    return takeChangedSums(this.#sums, role, this.options.clock.now())
  }

  all(role: SharingRole): SumEntry[] {
    return allSums(this.#sums, role, this.options.clock.now())
  }

  clearReported(): void {
    clearReportedSums(this.#sums)
  }

  forget(upstream: string): void {
    forgetSum(this.#sums, upstream)
    this.#slowness.delete(upstream)
    this.#learned.delete(upstream)
    this.#held.get(upstream)?.clear()
    this.#held.delete(upstream)
    const own = this.#sums.own.get(upstream)
    const requests = own?.[REQUESTS] ?? 0
    const tokens = own?.[TOKENS] ?? 0
    if (requests > 0) this.#add(upstream, [0, -requests, -tokens])
  }

  #add(upstream: string, amounts: readonly number[]): void {
    addToSum(this.#sums, upstream, amounts)
    this.options.onChange()
  }
}

function slowdownRatio(took: Milliseconds, expected: Milliseconds): number {
  return (took + SLOWNESS_SLACK) / (expected + SLOWNESS_SLACK)
}
