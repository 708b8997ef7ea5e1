/** Cost of model cascades at a quality target, learned from delayed and partial ratings. */
import { QualityTask, type ServedAnswer, type StageCosts } from '@yewkeel/box'
import {
  createSeededRandom,
  limitRowSchema,
  ManualClock,
  type LimitRow,
  type Random,
} from '@yewkeel/decisions'
import type { RowCollector } from './measureRow.js'
import {
  drawTokenCount,
  drawInterarrivalTime,
  drawKind,
  drawOrganisation,
  type Workload,
  type WorkloadKind,
} from './workload.js'

/** A request and the answer that each model would give. Only the oracle chooses by `good`. */
interface CostRequest {
  organisation: string
  kind: WorkloadKind
  /** Whether the answer is good, by model. */
  good: Record<string, boolean>
  /** Confidence score of the answer, by model. */
  confidence: Record<string, number>
  /** Cost of each cascade stage, the cheapest first. */
  costs: StageCosts[]
}

interface Outcome {
  cost: number
  good: boolean
}

type CostPolicy = (request: CostRequest, simulation: CostSimulation) => Outcome

interface CostSimulation {
  workload: Workload
  clock: ManualClock
  random: Random
  quality: QualityTask
  limit: LimitRow
}

const REQUESTS_PER_SECOND = 20
const REQUEST_COUNT = 24_000
/** Requests excluded from the figures while policies learn. */
const WARM_UP_REQUESTS = 6_000
const RATING_DELAY_MILLISECONDS = 30_000
const RATED_FRACTION = 0.3
const MILLISECONDS_PER_TOKEN = 20
const STATIC_LARGE_FRACTION = 0.5

const POLICIES: Record<string, CostPolicy> = {
  yewkeel: serveByCascade,
  'always-costliest': request => serve(request, request.costs.length - 1),
  'always-cheapest': request => serve(request, 0),
  'static-weights': (request, { random }) =>
    serve(request, random() < STATIC_LARGE_FRACTION ? 1 : 0),
  oracle: request => serve(request, cheapestGoodStage(request)),
}

/** Runs every policy over the same sequence of requests. */
export function measureCost(workload: Workload, seed: number, rows: RowCollector): void {
  const outcomes = new Map(
    Object.entries(POLICIES).map(([name, policy]) => [name, runPolicy(workload, seed, policy)]),
  )
  const costliest = outcomes.get('always-costliest')!.cost
  const oracle = outcomes.get('oracle')!.cost
  for (const [policy, { cost, quality }] of outcomes) {
    const labels = { workload: workload.name, case: `target ${workload.qualityTarget}`, policy }
    rows.add({ ...labels, metric: 'costAtTarget', unit: 'of always-costliest' }, cost / costliest)
    rows.add({ ...labels, metric: 'costAgainstOracle', unit: 'of oracle' }, cost / oracle)
    rows.add({ ...labels, metric: 'qualityAtTarget', unit: 'share good' }, quality)
  }
}

function runPolicy(
  workload: Workload,
  seed: number,
  policy: CostPolicy,
): { cost: number; quality: number } {
  const clock = new ManualClock()
  // A separate generator, so that all policies receive the same requests.
  const requests = createSeededRandom(seed)
  const random = createSeededRandom(seed + 1_000_003)
  const simulation: CostSimulation = {
    workload,
    clock,
    random,
    quality: new QualityTask({ clock, random }),
    limit: limitRowSchema.parse({
      row: 'limit',
      qualityTarget: workload.qualityTarget,
      // Responses are not streamed here: judging a stage delays the whole answer, not its first token.
      weighs: workload.weighs === 'latency' ? 'cost' : workload.weighs,
    }),
  }
  let cost = 0
  let good = 0
  for (let count = 0; count < REQUEST_COUNT; count++) {
    clock.advanceSync(drawInterarrivalTime(REQUESTS_PER_SECOND, requests))
    const outcome = policy(drawRequest(workload, requests), simulation)
    if (count < WARM_UP_REQUESTS) continue
    cost += outcome.cost
    good += outcome.good ? 1 : 0
  }
  return { cost, quality: good / (REQUEST_COUNT - WARM_UP_REQUESTS) }
}

function drawRequest(workload: Workload, random: Random): CostRequest {
  const kind = drawKind(workload, random)
  const promptTokens = kind.sharedPromptTokens + drawTokenCount(kind.promptTokens, random)
  const completionTokens = drawTokenCount(kind.completionTokens, random)
  // Shared by all models: one that answers a request well also answers every easier one well.
  const difficulty = random()
  const good: Record<string, boolean> = {}
  const confidence: Record<string, number> = {}
  const costs = workload.models.map(model => {
    good[model.name] = difficulty < kind.good[model.name]!
    confidence[model.name] = drawConfidence(good[model.name]!, random)
    return {
      model: model.name,
      cost: promptTokens * model.promptPrice + completionTokens * model.completionPrice,
      wholeAnswerMilliseconds: completionTokens * MILLISECONDS_PER_TOKEN,
    }
  })
  return { organisation: drawOrganisation(workload, random), kind, good, confidence, costs }
}

/** Overlapping distributions: high for most good answers, low for most bad ones. */
function drawConfidence(good: boolean, random: Random): number {
  return good ? 1 - 0.45 * random() ** 1.5 : 0.25 + 0.55 * random()
}

function serve({ good, costs }: CostRequest, stage: number): Outcome {
  const { model, cost } = costs[stage]!
  return { cost, good: good[model]! }
}

/** Stage of the cheapest model whose answer is good; 0 when there is none. */
function cheapestGoodStage({ good, costs }: CostRequest): number {
  const stage = costs.findIndex(({ model }) => good[model])
  return stage === -1 ? 0 : stage
}

/** Runs the cascade that `QualityTask` chooses, escalating on low confidence. */
function serveByCascade(request: CostRequest, simulation: CostSimulation): Outcome {
  const { quality, limit } = simulation
  const { organisation, kind, costs, confidence } = request
  const choice = quality.choose(limit, organisation, kind.name, costs, true)
  let spent = 0
  for (let stage = choice.start; stage < costs.length; stage++) {
    const { model, cost } = costs[stage]!
    spent += cost
    const isLast = stage === costs.length - 1
    if (isLast || !choice.isJudged(stage)) {
      scheduleRating(request, model, { predictedQuality: choice.predictedQuality }, simulation)
      return { cost: spent, good: request.good[model]! }
    }
    const bucket = quality.recordAnswer(kind.name, model, confidence[model]!)
    if (!choice.accepts(stage, confidence[model]!)) continue
    scheduleRating(
      request,
      model,
      { bucket, predictedQuality: choice.predictedQuality },
      simulation,
    )
    return { cost: spent, good: request.good[model]! }
  }
  throw new Error('the cascade has no stage')
}

function scheduleRating(
  request: CostRequest,
  model: string,
  observation: { bucket?: number; predictedQuality: number | undefined },
  simulation: CostSimulation,
): void {
  const { clock, random, quality } = simulation
  if (random() >= RATED_FRACTION) return
  const { organisation, kind, good } = request
  const { bucket, predictedQuality } = observation
  const answer: ServedAnswer = {
    organisation,
    kind: kind.name,
    model,
    version: '1',
    ...(bucket !== undefined && { bucket }),
    ...(predictedQuality !== undefined && { predictedQuality }),
  }
  clock.after(RATING_DELAY_MILLISECONDS, () => quality.recordRating(answer, good[model]!))
}
