import type { Milliseconds } from '../types/clock.js'

/**
 * How long an engine reads prompts, learned for each model from how soon answers begin. Engines read prompts one
 * after the other and hold up the tokens of whatever runs beside, so this time, and not the number of requests,
 * is the load that matters.
 */
export interface WorkEstimates {
  models: Map<string, ModelRate>
}

interface ModelRate {
  /** Milliseconds for 1,000 tokens of a short prompt when nothing waits before it, with what engines mostly keep of it. */
  rate: Milliseconds
  /** The same where engines keep nothing of the prompt. */
  unkeptRate: Milliseconds
}

/** Before anything is learned, where the caller names the model: some 60 tokens in a millisecond, a middle size. */
const FIRST_RATE: Milliseconds = 16
/**
 * Before anything is learned of models of which the smallest and the order are known. Engines of today read 1,000 tokens
 * in 5 to 8 ms with the smallest of three, in 44 to 79 ms with the largest; one rate for all, 16 ms, let a box that had
 * just started take the largest model's prompts for short ones and short ones wait behind them for 2 s.
 */
const SMALLEST_RATE: Milliseconds = 6
const RATE_STEP = 3.2
/** Shorter prompts say more of the network than of the engine. */
const LEAST_TOKENS = 600
/** The rate follows the faster answers, which did not wait: a slower one moves it little, a faster one at once. */
const DOWNWARD_WEIGHT = 0.25
const UPWARD_WEIGHT = 0.03
/** Prompts that others share more of than this say little of how long it takes to read a text that is not kept. */
const MOST_SHARED = 0.4

/**
 * A token of a prompt is compared with all before it, so that long prompts take longer a token: twice as long at this
 * many tokens for engines that read 61 to 68 tokens in a ms and compare a million pairs in 0.32 ms.
 */
const DOUBLED_AT_TOKENS = 100_000

/** A prompt's length in tokens of a short one that take as long to read. */
function readingSize(tokens: number): number {
  return tokens * (1 + tokens / DOUBLED_AT_TOKENS)
}

export function createWorkEstimates(): WorkEstimates {
  return { models: new Map() }
}

/** Models of a route, the smallest first: what is not known of them yet is expected from their order. */
export function expectModels(estimates: WorkEstimates, models: readonly string[]): void {
  for (const [place, model] of models.entries())
    if (!estimates.models.has(model))
      estimates.models.set(model, knownRate(SMALLEST_RATE * RATE_STEP ** place))
}

function knownRate(rate: Milliseconds): ModelRate {
  return { rate, unkeptRate: rate }
}

/** How long an engine that keeps nothing of the prompt reads so many tokens. */
export function unkeptWorkOf(
  estimates: WorkEstimates,
  model: string,
  tokens: number,
): Milliseconds {
  const rate = estimates.models.get(model)?.unkeptRate ?? FIRST_RATE
  return (rate * readingSize(tokens)) / 1_000
}

/** How long the engine reads so many tokens. */
export function workOf(estimates: WorkEstimates, model: string, tokens: number): Milliseconds {
  const rate = estimates.models.get(model)?.rate ?? FIRST_RATE
  return (rate * readingSize(tokens)) / 1_000
}

/** A prompt, and how much of it other requests share. */
export interface PromptSize {
  tokens: number
  sharedTokens: number
}

/** An answer to a prompt began after `took`. */
export function noteFirstEvent(
  estimates: WorkEstimates,
  model: string,
  { tokens, sharedTokens }: PromptSize,
  took: Milliseconds,
): void {
  if (tokens < LEAST_TOKENS) return
  const sample = (took * 1_000) / readingSize(tokens)
  const known = estimates.models.get(model)
  if (!known) {
    estimates.models.set(model, knownRate(Math.min(sample, 4 * FIRST_RATE)))
    return
  }
  known.rate = follow(known.rate, sample)
  if (sharedTokens <= MOST_SHARED * tokens) known.unkeptRate = follow(known.unkeptRate, sample)
}

function follow(rate: Milliseconds, sample: Milliseconds): Milliseconds {
  const weight = sample < rate ? DOWNWARD_WEIGHT : UPWARD_WEIGHT
  return rate + weight * (Math.min(sample, 4 * rate) - rate)
}
