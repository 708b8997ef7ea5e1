import {
  createEvidenceLedger,
  createRecentDurations,
  findProbableFault,
  findVersionFault,
  isSlow,
  recordDuration,
  sumEvidence,
  recordAnswerCounts,
  type AnswerAspect,
  type AnswerCount,
  type EvidenceLedger,
  type Milliseconds,
  type RecentDurations,
  type SlowLimit,
  type VersionFault,
} from '@yewkeel/decisions'

/** Identifies the source of an answer. */
export interface AnswerKey {
  service: string
  version: string
  route: string
  /** Empty if the request names no model. */
  model: string
  upstream: string
}

/** Aspects of an answer that are timed and compared with recent answers of other versions. */
export type TimedAspect = Exclude<AnswerAspect, 'outcome' | 'delay'>

/**
 * An answer is slow if it exceeds `factor` times the `quantile` of recent answers of other
 * versions. These limits are where a version whose every fifth answer is three times slower differs
 * most from a good one: 70 to 99 % of its paces lie above the median of the others, of a good one
 * 20 to 37 %.
 */
const SLOW_LIMITS: Record<TimedAspect, SlowLimit> = {
  start: { quantile: 0.75, factor: 1.1 },
  pace: { quantile: 0.5, factor: 1 },
}

/** An answer beyond this is far from usual, whatever the aspect. */
const DELAY_LIMIT: SlowLimit = { quantile: 0.9, factor: 2 }

/** Answer counts reported by one box. */
export interface BoxAnswers {
  box: string
  counts: readonly AnswerCount[]
}

export interface VersionJudgeOptions {
  /** Whether a version is on trial: its answers are judged and excluded from the baseline. */
  isOnTrial(service: string, version: string): boolean
  /** Called on each bad answer of a version on trial. */
  onBadAnswer(): void
}

/**
 * Counts good and bad answers by version on this box, and judges versions by the counts of all
 * boxes.
 */
export class VersionEvaluator {
  readonly #counts = new Map<string, AnswerCount>()
  readonly #ledgers = new Map<string, EvidenceLedger>()
  readonly #recent = new Map<string, RecentDurations>()

  constructor(private readonly options: VersionJudgeOptions) {}

  /** This box's counts since the current orders. */
  get counts(): AnswerCount[] {
    return [...this.#counts.values()]
  }

  /** Drops the evidence of a service, for a new order. */
  forget(service: string): void {
    this.#ledgers.delete(service)
    for (const [name, count] of this.#counts)
      if (count.service === service) this.#counts.delete(name)
  }

  recordOutcome(key: AnswerKey, isGood: boolean): void {
    this.#count(key, 'outcome', isGood)
  }

  /** Records the time of an answer in one aspect and counts it as good or bad. */
  recordDuration(key: AnswerKey, aspect: TimedAspect, sample: number): void {
    const recent = this.#recentOf(key, aspect)
    const slow = isSlow(recent, sample, SLOW_LIMITS[aspect])
    const isDelayed = isSlow(recent, sample, DELAY_LIMIT)
    if (!this.options.isOnTrial(key.service, key.version)) recordDuration(recent, sample)
    if (slow === undefined) return
    this.#count(key, aspect, !slow)
    this.#count(key, 'delay', !isDelayed)
  }

  /** Counts an unfinished answer as bad if it was already slow; otherwise ignores it. */
  recordUnfinished(key: AnswerKey, aspect: TimedAspect, sampleSoFar: number): void {
    const recent = this.#recentOf(key, aspect)
    if (isSlow(recent, sampleSoFar, SLOW_LIMITS[aspect])) this.#count(key, aspect, false)
    if (isSlow(recent, sampleSoFar, DELAY_LIMIT)) this.#count(key, 'delay', false)
  }

  #recentOf({ service, route, model }: AnswerKey, aspect: TimedAspect): RecentDurations {
    // Baselines are by model where there is one, otherwise by route.
    const name = `${service} ${aspect} ${model === '' ? route : model}`
    const recent = this.#recent.get(name) ?? createRecentDurations()
    this.#recent.set(name, recent)
    return recent
  }

  #count({ service, version, route, upstream }: AnswerKey, aspect: AnswerAspect, isGood: boolean) {
    const trialUpstream = this.options.isOnTrial(service, version) ? upstream : ''
    const name = `${service} ${version} ${route} ${aspect} ${trialUpstream}`
    const known = this.#counts.get(name)
    const count = known ?? {
      service,
      version,
      route,
      aspect,
      ...(trialUpstream !== '' && { upstream: trialUpstream }),
      good: 0,
      bad: 0,
    }
    this.#counts.set(name, count)
    if (isGood) {
      count.good++
      return
    }
    count.bad++
    if (trialUpstream !== '') this.options.onBadAnswer()
  }

  /**
   * Returns a reason not to complete the version, from the evidence so far; undefined if there is
   * none.
   */
  findDoubt(service: string, version: string, upstreams: number): VersionFault | undefined {
    const ledger = this.#ledgers.get(service)
    return ledger && findProbableFault(ledger, version, upstreams)
  }

  /** Summarises the evidence on a version by aspect, for the log. */
  evidenceOf(service: string, version: string): Record<AnswerAspect, object> | undefined {
    const ledger = this.#ledgers.get(service)
    if (!ledger) return undefined
    return {
      outcome: sumEvidence(ledger, version, 'outcome'),
      start: sumEvidence(ledger, version, 'start'),
      pace: sumEvidence(ledger, version, 'pace'),
      delay: sumEvidence(ledger, version, 'delay'),
    }
  }

  /**
   * Merges the reports of all boxes and returns why the version is bad; undefined if not shown, or
   * if no report is new. `upstreams`: number of upstreams that serve it.
   */
  evaluate(
    service: string,
    version: string,
    upstreams: number,
    reports: readonly BoxAnswers[],
    now: Milliseconds,
  ): VersionFault | undefined {
    const ledger = this.#ledgers.get(service) ?? createEvidenceLedger()
    this.#ledgers.set(service, ledger)
    let hasNews = false
    for (const { box, counts } of reports) {
      const serviceCounts = counts.filter(count => count.service === service)
      if (recordAnswerCounts(ledger, box, serviceCounts, now)) hasNews = true
    }
    return hasNews ? findVersionFault(ledger, version, upstreams) : undefined
  }
}
