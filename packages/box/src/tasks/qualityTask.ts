import {
  bucketOf,
  correctedTarget,
  countsOf,
  createPromiseCheck,
  DELAY_PRICES,
  noteAnswer,
  notePromise,
  noteRating,
  planCascade,
  ratedCount,
  resolveBuckets,
  solveQualityPrice,
  type CascadePlan,
  type Clock,
  type LimitRow,
  type Milliseconds,
  type PromiseCheck,
  type QualityEstimates,
  type Random,
  type StageOutlook,
} from '@yewkeel/decisions'
import type { ServedAnswer } from './exposureTask.js'

export interface QualityTaskOptions {
  clock: Clock
  random: Random
}

/** Plans are made anew at most this often. */
const PLAN_FOR: Milliseconds = 1_000
/** An organisation's price of a bad answer is found anew at most this often. */
const PRICE_FOR: Milliseconds = 5_000
const FIRST_PRICE = 2_000
/** Share of cascade requests that try a stage that the plan would not start with. */
const EXPLORATION = 0.02
/** Ratings of a stage from which on it is no longer explored. */
const EXPLORED_RATINGS = 400
/**
 * Share of requests whose answer is judged and goes out whatever its confidence. It costs nothing but that the
 * first token waits, and it alone shows what answers are worth that would else be thrown away.
 */
const JUDGED_FOR_LEARNING = 0.25
/** Ratings with confidence from which on fewer are judged for learning. */
const LEARNED_RATINGS = 200
const JUDGED_AFTERWARDS = 0.02
/** Weight of the newest request in how often a kind comes. */
const KIND_STEP = 1 / 2_000

/** What is expected of a stage beside its quality. */
export interface StageCosts {
  model: string
  cost: number
  wholeAnswerMilliseconds: number
}

/** A request's way through its cascade. */
export interface CascadeChoice {
  start: number
  /** Chance of a good answer that the plan reckons with, also where something else is tried to learn from. */
  promised: number
  /** Whether the stage's answer is judged before it goes out. */
  isJudged(stage: number): boolean
  /** Whether an answer of this confidence goes out. */
  accepts(stage: number, confidence: number): boolean
}

/** One kind of request of one organisation. */
interface KnownKind {
  name: string
  mayWait: boolean
  share: number
  /** Costs of the stages, smoothed over requests. */
  stages: StageCosts[]
  plan?: CascadePlan
  plannedAt: Milliseconds
}

interface KnownOrganisation {
  kinds: Map<string, KnownKind>
  price: number
  pricedAt: Milliseconds
}

/** Learns how good each model is at each kind of request, and plans cascades by it. */
export class QualityTask {
  readonly #estimates: QualityEstimates = new Map()
  /** One for all organisations: they share the estimates, and so what is wrong with them. */
  readonly #check: PromiseCheck = createPromiseCheck()
  readonly #organisations = new Map<string, KnownOrganisation>()

  constructor(private readonly options: QualityTaskOptions) {}

  /** Chooses where a request starts. `mayWait`: whether its first token may wait for a judged stage. */
  choose(
    limit: LimitRow,
    organisation: string,
    kind: string,
    stages: readonly StageCosts[],
    mayWait: boolean,
  ): CascadeChoice {
    const known = this.#organisationOf(organisation)
    const knownKind = noteKind(known, kind, stages, mayWait)
    this.#refresh(known, knownKind, limit)
    const plan = knownKind.plan!
    const promised = plan.stages[plan.start]?.expectedQuality ?? 1
    const start = this.#explore(kind, stages) ?? plan.start
    if (mayWait && this.#learnsConfidence(kind, stages[start]!.model)) {
      return { start, promised, isJudged: () => true, accepts: () => true }
    }
    return {
      start,
      promised,
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
    if (answer.promised !== undefined) notePromise(this.#check, answer.promised, good)
    const counts = countsOf(this.#estimates, answer.kind, answer.model)
    noteRating(counts, answer.bucket, good, this.options.clock.now())
  }

  #refresh(known: KnownOrganisation, kind: KnownKind, limit: LimitRow): void {
    const now = this.options.clock.now()
    if (now - known.pricedAt >= PRICE_FOR) {
      known.pricedAt = now
      const outlooks = [...known.kinds.values()].map(each => ({
        share: each.share,
        ...this.#outlookOf(each, limit),
      }))
      known.price = solveQualityPrice(outlooks, correctedTarget(this.#check, limit.qualityTarget))
    }
    if (kind.plan && now - kind.plannedAt < PLAN_FOR) return
    kind.plannedAt = now
    const { stages, millisecondOfDelay } = this.#outlookOf(kind, limit)
    kind.plan = planCascade(stages, { badAnswer: known.price, millisecondOfDelay })
  }

  #outlookOf({ name, stages, mayWait }: KnownKind, limit: LimitRow) {
    const outlooks: StageOutlook[] = stages.map(stage => ({
      ...stage,
      buckets: resolveBuckets(countsOf(this.#estimates, name, stage.model)),
    }))
    return {
      stages: outlooks,
      millisecondOfDelay: mayWait ? DELAY_PRICES[limit.weighs] : Infinity,
    }
  }

  #explore(kind: string, stages: readonly StageCosts[]): number | undefined {
    if (stages.length < 2 || this.options.random() >= EXPLORATION) return undefined
    const other = Math.floor(this.options.random() * stages.length)
    const counts = countsOf(this.#estimates, kind, stages[other]!.model)
    return ratedCount(counts) < EXPLORED_RATINGS ? other : undefined
  }

  #learnsConfidence(kind: string, model: string): boolean {
    const { rated } = countsOf(this.#estimates, kind, model)
    const learned = rated.reduce((sum, count) => sum + count, 0)
    const share = learned < LEARNED_RATINGS ? JUDGED_FOR_LEARNING : JUDGED_AFTERWARDS
    return this.options.random() < share
  }

  #organisationOf(name: string): KnownOrganisation {
    const known = this.#organisations.get(name)
    if (known) return known
    const created: KnownOrganisation = {
      kinds: new Map(),
      price: FIRST_PRICE,
      pricedAt: this.options.clock.now(),
    }
    this.#organisations.set(name, created)
    return created
  }
}

/** Notes that a request of the kind came, with what its stages are expected to cost. */
function noteKind(
  known: KnownOrganisation,
  name: string,
  stages: readonly StageCosts[],
  mayWait: boolean,
): KnownKind {
  const key = `${name}/${stages.map(stage => stage.model).join('>')}/${mayWait}`
  for (const kind of known.kinds.values()) kind.share *= 1 - KIND_STEP
  const kind = known.kinds.get(key)
  if (!kind) {
    const created = { name, mayWait, share: KIND_STEP, stages: [...stages], plannedAt: -Infinity }
    known.kinds.set(key, created)
    return created
  }
  kind.share += KIND_STEP
  kind.stages = kind.stages.map((stage, index) => smooth(stage, stages[index]!))
  return kind
}

const COST_STEP = 1 / 100

function smooth(known: StageCosts, seen: StageCosts): StageCosts {
  const mix = (left: number, right: number) => left + COST_STEP * (right - left)
  return {
    model: known.model,
    cost: mix(known.cost, seen.cost),
    wholeAnswerMilliseconds: mix(known.wholeAnswerMilliseconds, seen.wholeAnswerMilliseconds),
  }
}
