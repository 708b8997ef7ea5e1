import type { Milliseconds } from '../types/clock.js'

/**
 * Estimates prefill times for each model from the time to first token. Engines prefill prompts one
 * at a time and stall running streams meanwhile, so pending prefill time measures load better than
 * requests.
 */
export interface PrefillEstimates {
  models: Map<string, ModelRate>
}

interface ModelRate {
  /**
   * Prefill time of 1,000 tokens of a short prompt without queueing, at the usual prefix cache hit
   * rate.
   */
  rate: Milliseconds
  /** The same without prefix cache hits. */
  uncachedRate: Milliseconds
}

/** Prefill time of 1,000 tokens for a model without samples or a known rank: a medium model. */
const DEFAULT_RATE: Milliseconds = 16
/**
 * Initial prefill time of 1,000 tokens for the smallest model of a route. Starting all models alike
 * would queue short prompts behind long-running prefills of the largest until samples arrive.
 */
const MIN_MODEL_RATE: Milliseconds = 6
/** Factor from each model of a route to the next larger one. */
const RATE_STEP = 3.2
/** For shorter prompts, network latency dominates the sample. */
const MIN_SAMPLED_TOKENS = 600
/** Weights of faster and slower samples: slower ones include queueing, so they count less. */
const DOWNWARD_WEIGHT = 0.25
const UPWARD_WEIGHT = 0.03
/** Prompts with a larger shared fraction are not sampled for the uncached rate. */
const MAX_SHARED_FRACTION = 0.4

/**
 * Prompt length at which attention, quadratic in the length, doubles the prefill time per token.
 */
const COST_DOUBLES_AT_TOKENS = 100_000

/** The number of tokens of a short prompt with the same prefill time. */
function effectiveTokens(tokens: number): number {
  return tokens * (1 + tokens / COST_DOUBLES_AT_TOKENS)
}

export function createPrefillEstimates(): PrefillEstimates {
  return { models: new Map() }
}

/** Initialises the rates of a route's models, ordered from the smallest; known rates stay. */
export function initialiseModelRates(estimates: PrefillEstimates, models: readonly string[]): void {
  for (const [rank, model] of models.entries())
    if (!estimates.models.has(model))
      estimates.models.set(model, createModelRate(MIN_MODEL_RATE * RATE_STEP ** rank))
}

function createModelRate(rate: Milliseconds): ModelRate {
  return { rate, uncachedRate: rate }
}

/** Estimated prefill time of a prompt without prefix cache hits. */
export function uncachedPrefillTimeOf(
  estimates: PrefillEstimates,
  model: string,
  tokens: number,
): Milliseconds {
  const rate = estimates.models.get(model)?.uncachedRate ?? DEFAULT_RATE
  return (rate * effectiveTokens(tokens)) / 1_000
}

/** Estimated prefill time of a prompt at the usual prefix cache hit rate. */
export function prefillTimeOf(
  estimates: PrefillEstimates,
  model: string,
  tokens: number,
): Milliseconds {
  const rate = estimates.models.get(model)?.rate ?? DEFAULT_RATE
  return (rate * effectiveTokens(tokens)) / 1_000
}

/** Length of a prompt, and of its prefix shared with other requests. */
export interface PromptSize {
  tokens: number
  sharedTokens: number
}

/** Samples the time to first token of a prompt. */
export function sampleFirstToken(
  estimates: PrefillEstimates,
  model: string,
  { tokens, sharedTokens }: PromptSize,
  timeToFirstToken: Milliseconds,
): void {
  if (tokens < MIN_SAMPLED_TOKENS) return
  const sample = (timeToFirstToken * 1_000) / effectiveTokens(tokens)
  const known = estimates.models.get(model)
  if (!known) {
    estimates.models.set(model, createModelRate(Math.min(sample, 4 * DEFAULT_RATE)))
    return
  }
  known.rate = updateRate(known.rate, sample)
  if (sharedTokens <= MAX_SHARED_FRACTION * tokens)
    known.uncachedRate = updateRate(known.uncachedRate, sample)
}

function updateRate(rate: Milliseconds, sample: Milliseconds): Milliseconds {
  const weight = sample < rate ? DOWNWARD_WEIGHT : UPWARD_WEIGHT
  return rate + weight * (Math.min(sample, 4 * rate) - rate)
}
