import {
  createEvidenceLedger,
  createRecentTimes,
  findVersionDoubt,
  findVersionFault,
  isSlow,
  noteTime,
  sumEvidence,
  takeAnswerCounts,
  type AnswerAspect,
  type AnswerCount,
  type EvidenceLedger,
  type Milliseconds,
  type RecentTimes,
  type SlowLimit,
  type VersionFault,
} from '@yewkeel/decisions'

/** Whose answer is counted, and where. */
export interface AnswerKey {
  service: string
  version: string
  route: string
  /** Empty where there is none. */
  model: string
  upstream: string
}

/** Aspects of an answer that are compared with the newest of other versions. */
export type TimedAspect = Exclude<AnswerAspect, 'outcome'>

/**
 * Where a version whose every fifth answer is three times slower differs most from a good one, beside which it runs. Of the paces of
 * such a version 70 to 99 % lie above the median of the others and 24 to 58 % above their upper quartile, of a good
 * one 20 to 37 % and 13 to 19 %. Of its beginnings 54 to 84 % and 24 to 57 %, 43 to 63 % and 22 to 35 % of a good one (two deployments of
 * seven and nine boxes, two days each).
 */
const SLOW_LIMITS: Record<TimedAspect, SlowLimit> = {
  start: { part: 0.75, times: 1.1 },
  pace: { part: 0.5, times: 1 },
}

/** The counts of one box. */
export interface BoxAnswers {
  box: string
  counts: readonly AnswerCount[]
}

export interface VersionJudgeOptions {
  /** Whether a version's answers are compared with those of the others, and teach nothing of what is usual. */
  isOnTrial(service: string, version: string): boolean
  /** A version on trial gave a bad answer. */
  onBadAnswer(): void
}

/** Gathers what this box sees of the answers of versions, and judges by what all boxes see. */
export class VersionJudge {
  readonly #counts = new Map<string, AnswerCount>()
  readonly #ledgers = new Map<string, EvidenceLedger>()
  readonly #recent = new Map<string, RecentTimes>()

  constructor(private readonly options: VersionJudgeOptions) {}

  /** What this box has counted since the orders that are in force. */
  get counts(): AnswerCount[] {
    return [...this.#counts.values()]
  }

  /** Another version of a service is ordered: the evidence of before says nothing of it. */
  forget(service: string): void {
    this.#ledgers.delete(service)
    for (const [name, count] of this.#counts)
      if (count.service === service) this.#counts.delete(name)
  }

  noteOutcome(key: AnswerKey, isGood: boolean): void {
    this.#count(key, 'outcome', isGood)
  }

  /** How long an answer took in one aspect. */
  noteTime(key: AnswerKey, aspect: TimedAspect, sample: number): void {
    const recent = this.#recentOf(key, aspect)
    const slow = isSlow(recent, sample, SLOW_LIMITS[aspect])
    if (!this.options.isOnTrial(key.service, key.version)) noteTime(recent, sample)
    if (slow !== undefined) this.#count(key, aspect, !slow)
  }

  /** An answer that ended before its time: it counts if it took too long already, and else says nothing. */
  noteUnfinished(key: AnswerKey, aspect: TimedAspect, sampleSoFar: number): void {
    const recent = this.#recentOf(key, aspect)
    if (isSlow(recent, sampleSoFar, SLOW_LIMITS[aspect])) this.#count(key, aspect, false)
  }

  #recentOf({ service, route, model }: AnswerKey, aspect: TimedAspect): RecentTimes {
    // Models have a pace of their own, whatever the route; calls have none.
    const name = `${service} ${aspect} ${model === '' ? route : model}`
    const recent = this.#recent.get(name) ?? createRecentTimes()
    this.#recent.set(name, recent)
    return recent
  }

  #count({ service, version, route, upstream }: AnswerKey, aspect: AnswerAspect, isGood: boolean) {
    const of = this.options.isOnTrial(service, version) ? upstream : ''
    const name = `${service} ${version} ${route} ${aspect} ${of}`
    const known = this.#counts.get(name)
    const count = known ?? {
      service,
      version,
      route,
      aspect,
      ...(of !== '' && { upstream: of }),
      good: 0,
      bad: 0,
    }
    this.#counts.set(name, count)
    if (isGood) {
      count.good++
      return
    }
    count.bad++
    if (of !== '') this.options.onBadAnswer()
  }

  /** Why a version had better not get all requests, by all that has been judged so far. */
  doubt(service: string, version: string, upstreams: number): VersionFault | undefined {
    const ledger = this.#ledgers.get(service)
    return ledger && findVersionDoubt(ledger, version, upstreams)
  }

  /** What is known of a version in each aspect, for the log. */
  evidenceOf(service: string, version: string): Record<AnswerAspect, object> | undefined {
    const ledger = this.#ledgers.get(service)
    if (!ledger) return undefined
    return {
      outcome: sumEvidence(ledger, version, 'outcome'),
      start: sumEvidence(ledger, version, 'start'),
      pace: sumEvidence(ledger, version, 'pace'),
    }
  }

  /**
   * Why a version is held to be bad, by the answers that all boxes have seen; undefined where nothing new speaks against it.
   * `upstreams`: how many serve it.
   */
  judge(
    service: string,
    version: string,
    upstreams: number,
    told: readonly BoxAnswers[],
    now: Milliseconds,
  ): VersionFault | undefined {
    const ledger = this.#ledgers.get(service) ?? createEvidenceLedger()
    this.#ledgers.set(service, ledger)
    let hasNews = false
    for (const { box, counts } of told) {
      const ofService = counts.filter(count => count.service === service)
      if (takeAnswerCounts(ledger, box, ofService, now)) hasNews = true
    }
    return hasNews ? findVersionFault(ledger, version, upstreams) : undefined
  }
}
