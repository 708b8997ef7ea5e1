import {
  bucketOf,
  correctedTarget,
  countsOf,
  createQualityCalibration,
  DELAY_PRICES,
  countAnswer,
  recordPrediction,
  countRating,
  planCascade,
  ratedCount,
  resolveBuckets,
  solveQualityPrice,
  type CascadePlan,
  type Clock,
  type LimitRow,
  type Milliseconds,
  type QualityCalibration,
  type QualityEstimates,
  type Random,
  type StageEstimate,
} from '@yewkeel/decisions'
import type { ServedAnswer } from './exposureTask.js'

export interface QualityTaskOptions {
  clock: Clock
  random: Random
}

/** Age from which a cascade plan is recomputed. */
const PLAN_TTL: Milliseconds = 1_000
/** Age from which an organisation's price of a bad answer is recomputed. */
const PRICE_TTL: Milliseconds = 5_000
const INITIAL_BAD_ANSWER_PRICE = 2_000
/** Fraction of cascade requests that start at a random stage, to collect ratings of it. */
const EXPLORATION_FRACTION = 0.02
/** A stage with this many ratings is no longer explored. */
const MIN_RATINGS = 400
/**
 * Fraction of requests whose answer is scored and sent regardless of its confidence. Without it,
 * ratings would exist only for answers that the plan accepts. It delays the first token until the
 * answer is complete.
 */
const INITIAL_CALIBRATION_FRACTION = 0.25
/** Ratings of scored answers from which `CALIBRATION_FRACTION` applies. */
const MIN_CALIBRATION_RATINGS = 200
const CALIBRATION_FRACTION = 0.02
/** Weight of the newest request in the moving average of a kind's share of requests. */
const SHARE_SMOOTHING_FACTOR = 1 / 2_000

/** Expected cost and latency of a cascade stage. */
export interface StageCosts {
  model: string
  cost: number
  wholeAnswerMilliseconds: number
}

/** Start stage and acceptance rules of one request's cascade. */
export interface CascadeChoice {
  start: number
  /** Probability of a good answer by the plan, also when the request explores another stage. */
  predictedQuality: number
  /** Whether the stage's answer is scored before it is sent. */
  isJudged(stage: number): boolean
  /** Whether an answer of this confidence is sent; otherwise the next stage runs. */
  accepts(stage: number, confidence: number): boolean
}

/** Requests of one organisation of the same kind, with the same cascade and the same `mayWait`. */
interface RequestKind {
  name: string
  mayWait: boolean
  /** Moving average of its share of the organisation's requests. */
  share: number
  /** Moving averages over requests. */
  stages: StageCosts[]
  plan?: CascadePlan
  plannedAt: Milliseconds
}

interface OrganisationState {
  kinds: Map<string, RequestKind>
  price: number
  pricedAt: Milliseconds
}

/** Estimates the answer quality of each model by kind of request, and plans cascades with it. */
export class QualityTask {
  readonly #estimates: QualityEstimates = new Map()
  /** Corrects the bias of the quality estimates, and like them is shared by all organisations. */
  readonly #calibration: QualityCalibration = createQualityCalibration()
  readonly #organisations = new Map<string, OrganisationState>()

  constructor(private readonly options: QualityTaskOptions) {}

  /** Chooses the start stage. `mayWait`: the first token may wait until an answer is scored. */
  choose(
    limit: LimitRow,
    organisation: string,
    kind: string,
    stages: readonly StageCosts[],
    mayWait: boolean,
  ): CascadeChoice {
    const state = this.#findOrAddOrganisation(organisation)
    const requestKind = recordRequest(state, kind, stages, mayWait)
    this.#refreshPlan(state, requestKind, limit)
    const plan = requestKind.plan!
    const predictedQuality = plan.stages[plan.start]?.expectedQuality ?? 1
    const start = this.#explore(kind, stages) ?? plan.start
    if (mayWait && this.#isCalibrationRequest(kind, stages[start]!.model)) {
      return { start, predictedQuality, isJudged: () => true, accepts: () => true }
    }
    return {
      start,
      predictedQuality,
      isJudged: stage => mayWait && plan.stages[stage]?.accepts !== undefined,
      accepts: (stage, confidence) => plan.stages[stage]?.accepts?.[bucketOf(confidence)] ?? true,
    }
  }

  /** Records an answer and returns its confidence bucket. */
  recordAnswer(kind: string, model: string, confidence: number): number {
    const bucket = bucketOf(confidence)
    countAnswer(countsOf(this.#estimates, kind, model), bucket, this.options.clock.now())
    return bucket
  }

  recordRating(answer: ServedAnswer, good: boolean): void {
    if (answer.predictedQuality !== undefined)
      recordPrediction(this.#calibration, answer.predictedQuality, good)
    const counts = countsOf(this.#estimates, answer.kind, answer.model)
    countRating(counts, answer.bucket, good, this.options.clock.now())
  }

  #refreshPlan(state: OrganisationState, kind: RequestKind, limit: LimitRow): void {
    const now = this.options.clock.now()
    if (now - state.pricedAt >= PRICE_TTL) {
      state.pricedAt = now
      const outlooks = [...state.kinds.values()].map(each => ({
        share: each.share,
        ...this.#outlookOf(each, limit),
      }))
      state.price = solveQualityPrice(
        outlooks,
        correctedTarget(this.#calibration, limit.qualityTarget),
      )
    }
    if (kind.plan && now - kind.plannedAt < PLAN_TTL) return
    kind.plannedAt = now
    const { stages, millisecondOfDelay } = this.#outlookOf(kind, limit)
    kind.plan = planCascade(stages, { badAnswer: state.price, millisecondOfDelay })
  }

  #outlookOf({ name, stages, mayWait }: RequestKind, limit: LimitRow) {
    const outlooks: StageEstimate[] = stages.map(stage => ({
      ...stage,
      buckets: resolveBuckets(countsOf(this.#estimates, name, stage.model)),
    }))
    return {
      stages: outlooks,
      millisecondOfDelay: mayWait ? DELAY_PRICES[limit.weighs] : Infinity,
    }
  }

  #explore(kind: string, stages: readonly StageCosts[]): number | undefined {
    if (stages.length < 2 || this.options.random() >= EXPLORATION_FRACTION) return undefined
    const other = Math.floor(this.options.random() * stages.length)
    const counts = countsOf(this.#estimates, kind, stages[other]!.model)
    return ratedCount(counts) < MIN_RATINGS ? other : undefined
  }

  #isCalibrationRequest(kind: string, model: string): boolean {
    const { rated } = countsOf(this.#estimates, kind, model)
    const ratings = rated.reduce((sum, count) => sum + count, 0)
    const fraction =
      ratings < MIN_CALIBRATION_RATINGS ? INITIAL_CALIBRATION_FRACTION : CALIBRATION_FRACTION
    return this.options.random() < fraction
  }

  #findOrAddOrganisation(name: string): OrganisationState {
    const known = this.#organisations.get(name)
    if (known) return known
    const created: OrganisationState = {
      kinds: new Map(),
      price: INITIAL_BAD_ANSWER_PRICE,
      pricedAt: this.options.clock.now(),
    }
    this.#organisations.set(name, created)
    return created
  }
}

/** Updates the moving averages of all kinds with a new request, and returns its kind. */
function recordRequest(
  organisation: OrganisationState,
  name: string,
  stages: readonly StageCosts[],
  mayWait: boolean,
): RequestKind {
  const key = `${name}/${stages.map(stage => stage.model).join('>')}/${mayWait}`
  for (const kind of organisation.kinds.values()) kind.share *= 1 - SHARE_SMOOTHING_FACTOR
  const kind = organisation.kinds.get(key)
  if (!kind) {
    const created = {
      name,
      mayWait,
      share: SHARE_SMOOTHING_FACTOR,
      stages: [...stages],
      plannedAt: -Infinity,
    }
    organisation.kinds.set(key, created)
    return created
  }
  kind.share += SHARE_SMOOTHING_FACTOR
  kind.stages = kind.stages.map((stage, index) => smooth(stage, stages[index]!))
  return kind
}

const COST_SMOOTHING_FACTOR = 1 / 100

function smooth(average: StageCosts, sample: StageCosts): StageCosts {
  const mix = (left: number, right: number) => left + COST_SMOOTHING_FACTOR * (right - left)
  return {
    model: average.model,
    cost: mix(average.cost, sample.cost),
    wholeAnswerMilliseconds: mix(average.wholeAnswerMilliseconds, sample.wholeAnswerMilliseconds),
  }
}
