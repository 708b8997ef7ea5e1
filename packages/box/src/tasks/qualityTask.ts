import {
  adjustPrice,
  bucketOf,
  countsOf,
  createQualityPrice,
  DELAY_PRICES,
  noteAnswer,
  noteRating,
  planCascade,
  ratedCount,
  type CascadePlan,
  type Clock,
  type LimitRow,
  type Milliseconds,
  type QualityEstimates,
  type QualityPrice,
  type Random,
  type StageOutlook,
} from '@yewkeel/decisions'
import type { ServedAnswer } from './exposureTask.js'

export interface QualityTaskOptions {
  clock: Clock
  random: Random
}

/** Plans are made anew at most this often. */
const PLAN_FOR: Milliseconds = 250
/** Share of cascade requests that try a stage that the plan would not start with. */
const EXPLORATION = 0.02
/** Ratings of a stage from which on it is no longer explored. */
const EXPLORED_RATINGS = 400

interface KeptPlan {
  plan: CascadePlan
  madeAt: Milliseconds
}

/** What is expected of a stage beside its quality. */
export interface StageCosts {
  model: string
  cost: number
  wholeAnswerMilliseconds: number
}

/** A request's way through its cascade. */
export interface CascadeChoice {
  start: number
  /** Whether the stage's answer is judged before it goes out. */
  isJudged(stage: number): boolean
  /** Whether an answer of this confidence goes out. */
  accepts(stage: number, confidence: number): boolean
}

/** Learns how good each model is at each kind of request, and plans cascades by it. */
export class QualityTask {
  readonly #estimates: QualityEstimates = new Map()
  readonly #prices = new Map<string, QualityPrice>()
  readonly #plans = new Map<string, KeptPlan>()

  constructor(private readonly options: QualityTaskOptions) {}

  /** Chooses where a request starts. `mayWait`: whether its first token may wait for a judged stage. */
  choose(
    limit: LimitRow,
    organisation: string,
    kind: string,
    stages: readonly StageCosts[],
    mayWait: boolean,
  ): CascadeChoice {
    const plan = this.#planFor(limit, organisation, kind, stages, mayWait)
    const start = this.#explore(kind, stages) ?? plan.start
    const expected = plan.stages[start]?.expectedQuality ?? 1
    adjustPrice(this.#priceOf(organisation), expected, limit.qualityTarget)
    return {
      start,
      isJudged: stage => mayWait && plan.stages[stage]?.accepts !== undefined,
      accepts: (stage, confidence) => plan.stages[stage]?.accepts?.[bucketOf(confidence)] ?? true,
    }
  }

  noteAnswer(kind: string, model: string, confidence: number): number {
    const bucket = bucketOf(confidence)
    noteAnswer(countsOf(this.#estimates, kind, model), bucket, this.options.clock.now())
    return bucket
  }

  noteRating(answer: ServedAnswer, good: boolean): void {
    const counts = countsOf(this.#estimates, answer.kind, answer.model)
    const now = this.options.clock.now()
    noteRating(counts, answer.bucket, good, now)
  }

  #planFor(
    limit: LimitRow,
    organisation: string,
    kind: string,
    stages: readonly StageCosts[],
    mayWait: boolean,
  ): CascadePlan {
    const key = `${organisation}/${kind}/${stages.map(stage => stage.model).join('>')}/${mayWait}`
    const now = this.options.clock.now()
    const kept = this.#plans.get(key)
    if (kept && now - kept.madeAt < PLAN_FOR) return kept.plan
    const outlooks: StageOutlook[] = stages.map(stage => ({
      ...stage,
      counts: countsOf(this.#estimates, kind, stage.model),
    }))
    const millisecondOfDelay = mayWait ? DELAY_PRICES[limit.weighs] : Infinity
    const badAnswer = this.#priceOf(organisation).badAnswer
    const plan = planCascade(outlooks, { badAnswer, millisecondOfDelay })
    this.#plans.set(key, { plan, madeAt: now })
    return plan
  }

  #explore(kind: string, stages: readonly StageCosts[]): number | undefined {
    if (stages.length < 2 || this.options.random() >= EXPLORATION) return undefined
    const other = Math.floor(this.options.random() * stages.length)
    const counts = countsOf(this.#estimates, kind, stages[other]!.model)
    return ratedCount(counts) < EXPLORED_RATINGS ? other : undefined
  }

  /** One price for all kinds of an organisation: quality is bought where it costs least. */
  #priceOf(organisation: string): QualityPrice {
    const known = this.#prices.get(organisation)
    if (known) return known
    const created = createQualityPrice()
    this.#prices.set(organisation, created)
    return created
  }
}
