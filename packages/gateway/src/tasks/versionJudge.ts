import {
  createEvidenceLedger,
  createRecentTimes,
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

/** The counts of one box. */
export interface BoxAnswers {
  box: string
  counts: readonly AnswerCount[]
}

/** Gathers what this box sees of the answers of versions, and judges by what all boxes see. */
export class VersionJudge {
  readonly #counts = new Map<string, AnswerCount>()
  readonly #ledgers = new Map<string, EvidenceLedger>()
  readonly #recent = new Map<string, RecentTimes>()

  /** `isOnTrial`: whether a version's answers are compared with those of the others, and teach nothing of what is usual. */
  constructor(private readonly isOnTrial: (service: string, version: string) => boolean) {}

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
    const slow = isSlow(recent, sample)
    if (!this.isOnTrial(key.service, key.version)) noteTime(recent, sample)
    if (slow !== undefined) this.#count(key, aspect, !slow)
  }

  /** An answer that ended before its time: it counts if it took too long already, and else says nothing. */
  noteUnfinished(key: AnswerKey, aspect: TimedAspect, sampleSoFar: number): void {
    if (isSlow(this.#recentOf(key, aspect), sampleSoFar)) this.#count(key, aspect, false)
  }

  #recentOf({ service, route, model }: AnswerKey, aspect: TimedAspect): RecentTimes {
    // Models have a pace of their own, whatever the route; calls have none.
    const name = `${service} ${aspect} ${model === '' ? route : model}`
    const recent = this.#recent.get(name) ?? createRecentTimes()
    this.#recent.set(name, recent)
    return recent
  }

  #count({ service, version, route, upstream }: AnswerKey, aspect: AnswerAspect, isGood: boolean) {
    const of = this.isOnTrial(service, version) ? upstream : ''
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
    if (isGood) count.good++
    else count.bad++
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
