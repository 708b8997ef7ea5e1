/**
 * Where a request starts in its cascade and when it goes on to the next model. The plan is the least of
 * expected cost plus what a bad answer is held to cost, worked backwards from the last stage. The price of a
 * bad answer is what moves: it rises while the served quality is under the organisation's target.
 */
import { goodShare, type BucketOutlook } from './qualityEstimates.js'

/** What is known of one stage for a kind of request. */
export interface StageOutlook {
  model: string
  buckets: readonly BucketOutlook[]
  /** Expected cost of one answer, millionths of a currency unit. */
  cost: number
  /** Expected time of a whole answer: what the caller waits when the stage is judged and thrown away. */
  wholeAnswerMilliseconds: number
}

/** What a plan weighs, all in millionths of a currency unit. */
export interface PlanPrices {
  badAnswer: number
  /** For each millisecond by which the first token comes later. */
  millisecondOfDelay: number
}

export interface StageDecision {
  /** Accepted confidence buckets; undefined when the answer goes out unjudged. */
  accepts?: boolean[]
  /** Expected cost from here on, with the bad answers and delay that come with it. */
  value: number
  expectedQuality: number
  expectedCost: number
}

export interface CascadePlan {
  start: number
  stages: StageDecision[]
}

/** Plans a cascade. Takes a few hundred steps; boxes keep the plan until estimates or prices move. */
export function planCascade(stages: readonly StageOutlook[], prices: PlanPrices): CascadePlan {
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

function decideUnjudged(stage: StageOutlook, prices: PlanPrices): StageDecision {
  const quality = goodShare(stage.buckets)
  return {
    value: stage.cost + prices.badAnswer * (1 - quality),
    expectedQuality: quality,
    expectedCost: stage.cost,
  }
}

/** The first answer is held back until it is whole; buckets that promise too little go on to the next stage. */
function decideJudged(stage: StageOutlook, next: StageDecision, prices: PlanPrices): StageDecision {
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
