/**
 * Plans a model cascade: the stage to start with, and which answers escalate to the next model.
 * Minimises the expected cost plus a penalty for bad answers and delay, by backward induction from
 * the last stage. The penalty is adjusted to meet the organisation's quality target.
 */
import { goodShare, type BucketEstimate } from './qualityEstimates.js'

/** Estimates of one cascade stage for a kind of request. */
export interface StageEstimate {
  model: string
  buckets: readonly BucketEstimate[]
  /** Expected cost of one answer, millionths of a currency unit. */
  cost: number
  /** Expected time to the complete answer: the delay added when the answer is judged first. */
  wholeAnswerMilliseconds: number
}

/** Penalties that a plan minimises with cost, in millionths of a currency unit. */
export interface PlanPrices {
  badAnswer: number
  /** For each millisecond of delay of the first token. */
  millisecondOfDelay: number
}

export interface StageDecision {
  /** Whether each confidence bucket is accepted; undefined when the answer is streamed unjudged. */
  accepts?: boolean[]
  /** Expected cost from this stage on, including penalties. */
  value: number
  expectedQuality: number
  expectedCost: number
}

export interface CascadePlan {
  /** Index of the first stage. */
  start: number
  stages: StageDecision[]
}

/** Plans a cascade. The result holds until estimates or prices change. */
export function planCascade(stages: readonly StageEstimate[], prices: PlanPrices): CascadePlan {
  const decisions = new Array<StageDecision>(stages.length)
  for (let index = stages.length - 1; index >= 0; index--) {
    const stage = stages[index]!
    const unjudged = decideUnjudged(stage, prices)
    const next = decisions[index + 1]
    const judged = next ? decideJudged(stage, next, prices) : undefined
    decisions[index] = judged && judged.value < unjudged.value ? judged : unjudged
  }
  const start = decisions.reduce(
    (best, decision, index) => (decision.value < decisions[best]!.value ? index : best),
    0,
  )
  return { start, stages: decisions }
}

function decideUnjudged(stage: StageEstimate, prices: PlanPrices): StageDecision {
  const quality = goodShare(stage.buckets)
  return {
    value: stage.cost + prices.badAnswer * (1 - quality),
    expectedQuality: quality,
    expectedCost: stage.cost,
  }
}

/**
 * The answer is buffered until it is complete; buckets of low expected quality escalate to the next
 * stage.
 */
function decideJudged(
  stage: StageEstimate,
  next: StageDecision,
  prices: PlanPrices,
): StageDecision {
  const accepts: boolean[] = []
  const delay = prices.millisecondOfDelay * stage.wholeAnswerMilliseconds
  let value = stage.cost + delay
  let expectedQuality = 0
  let expectedCost = stage.cost
  for (const { share, good } of stage.buckets) {
    const acceptValue = prices.badAnswer * (1 - good)
    const accept = acceptValue <= next.value
    accepts.push(accept)
    value += share * Math.min(acceptValue, next.value)
    expectedQuality += share * (accept ? good : next.expectedQuality)
    expectedCost += accept ? 0 : share * next.expectedCost
  }
  return { accepts, value, expectedQuality, expectedCost }
}
