/** Cost at the quality target: which model answers, learned from late and partial ratings. */
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
  drawCount,
  drawGap,
  drawKind,
  drawOrganisation,
  type Workload,
  type WorkloadKind,
} from './workload.js'

/** What a request is truly worth with each model; known to the oracle alone. */
interface CostRequest {
  organisation: string
  kind: WorkloadKind
  good: Record<string, boolean>
  confidence: Record<string, number>
  costs: StageCosts[]
}

interface Outcome {
  cost: number
  good: boolean
}

type CostPolicy = (request: CostRequest, world: CostWorld) => Outcome

interface CostWorld {
  workload: Workload
  clock: ManualClock
  random: Random
  quality: QualityTask
  limit: LimitRow
}

const PER_SECOND = 20
const REQUESTS = 24_000
/** Requests at the start that count for nothing: all policies begin knowing nothing. */
const WARM_UP = 6_000
const RATING_DELAY = 30_000
const RATING_COVERAGE = 0.3
const TOKEN_MILLISECONDS = 20
const STATIC_LARGE_SHARE = 0.5

const POLICIES: Record<string, CostPolicy> = {
  yewkeel: chooseByPlan,
  'always-costliest': request => serve(request, request.costs.length - 1),
  'always-cheapest': request => serve(request, 0),
  'static-weights': (request, { random }) => serve(request, random() < STATIC_LARGE_SHARE ? 1 : 0),
  oracle: request => serve(request, firstGood(request)),
}

/** Runs every policy over the same requests. */
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
  // Requests are drawn from a source of their own, so that all policies meet the same ones.
  const requests = createSeededRandom(seed)
  const random = createSeededRandom(seed + 1_000_003)
  const world: CostWorld = {
    workload,
    clock,
    random,
    quality: new QualityTask({ clock, random }),
    limit: limitRowSchema.parse({
      row: 'limit',
      qualityTarget: workload.qualityTarget,
      // Answers are not streamed here, so a judged stage delays the whole answer alone.
      weighs: workload.weighs === 'latency' ? 'cost' : workload.weighs,
    }),
  }
  let cost = 0
  let good = 0
  for (let count = 0; count < REQUESTS; count++) {
    clock.advanceSync(drawGap(PER_SECOND, requests))
    const outcome = policy(drawRequest(workload, requests), world)
    if (count < WARM_UP) continue
    cost += outcome.cost
    good += outcome.good ? 1 : 0
  }
  return { cost, quality: good / (REQUESTS - WARM_UP) }
}

function drawRequest(workload: Workload, random: Random): CostRequest {
  const kind = drawKind(workload, random)
  const promptTokens = kind.sharedPromptTokens + drawCount(kind.promptTokens, random)
  const completionTokens = drawCount(kind.completionTokens, random)
  // How hard the request is; a model that does well on harder ones does well on easier ones.
  const hardness = random()
  const good: Record<string, boolean> = {}
  const confidence: Record<string, number> = {}
  const costs = workload.models.map(model => {
    good[model.name] = hardness < kind.good[model.name]!
    confidence[model.name] = drawConfidence(good[model.name]!, random)
    return {
      model: model.name,
      cost: promptTokens * model.promptPrice + completionTokens * model.completionPrice,
      wholeAnswerMilliseconds: completionTokens * TOKEN_MILLISECONDS,
    }
  })
  return { organisation: drawOrganisation(workload, random), kind, good, confidence, costs }
}

/** Good answers are mostly sure of themselves, bad ones mostly not; both overlap. */
function drawConfidence(good: boolean, random: Random): number {
  return good ? 1 - 0.45 * random() ** 1.5 : 0.25 + 0.55 * random()
}

function serve({ good, costs }: CostRequest, stage: number): Outcome {
  const { model, cost } = costs[stage]!
  return { cost, good: good[model]! }
}

/** The cheapest model whose answer is good; the cheapest of all when none is. */
function firstGood({ good, costs }: CostRequest): number {
  const stage = costs.findIndex(({ model }) => good[model])
  return stage === -1 ? 0 : stage
}

/** The product's own choice. */
function chooseByPlan(request: CostRequest, world: CostWorld): Outcome {
  const { quality, limit } = world
  const { organisation, kind, costs, confidence } = request
  const choice = quality.choose(limit, organisation, kind.name, costs, true)
  let spent = 0
  for (let stage = choice.start; stage < costs.length; stage++) {
    const { model, cost } = costs[stage]!
    spent += cost
    const isLast = stage === costs.length - 1
    if (isLast || !choice.isJudged(stage)) {
      rateLater(request, model, { promised: choice.promised }, world)
      return { cost: spent, good: request.good[model]! }
    }
    const bucket = quality.noteAnswer(kind.name, model, confidence[model]!)
    if (!choice.accepts(stage, confidence[model]!)) continue
    rateLater(request, model, { bucket, promised: choice.promised }, world)
    return { cost: spent, good: request.good[model]! }
  }
  throw new Error('the cascade has no stage')
}

function rateLater(
  request: CostRequest,
  model: string,
  known: { bucket?: number; promised: number | undefined },
  world: CostWorld,
): void {
  const { clock, random, quality } = world
  if (random() >= RATING_COVERAGE) return
  const { organisation, kind, good } = request
  const { bucket, promised } = known
  const answer: ServedAnswer = {
    organisation,
    kind: kind.name,
    model,
    version: '1',
    ...(bucket !== undefined && { bucket }),
    ...(promised !== undefined && { promised }),
  }
  clock.after(RATING_DELAY, () => quality.noteRating(answer, good[model]!))
}
