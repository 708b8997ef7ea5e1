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
  /** Milliseconds for 1,000 tokens of a short prompt when nothing waits before it. */
  rate: Milliseconds
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

/**
 * A token of a prompt is compared with all before it, so that long prompts take longer a token: twice as long at this
 * many tokens by the engines' figures of all four sites (61 to 68 tokens a ms, 0.32 ms a million pairs).
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
      estimates.models.set(model, { rate: SMALLEST_RATE * RATE_STEP ** place })
}

/** How long the engine reads so many tokens. */
export function workOf(estimates: WorkEstimates, model: string, tokens: number): Milliseconds {
  const rate = estimates.models.get(model)?.rate ?? FIRST_RATE
  return (rate * readingSize(tokens)) / 1_000
}

/** An answer to a prompt of so many unread tokens began after `took`. */
export function noteFirstEvent(
  estimates: WorkEstimates,
  model: string,
  tokens: number,
  took: Milliseconds,
): void {
  if (tokens < LEAST_TOKENS) return
  const sample = (took * 1_000) / readingSize(tokens)
  const known = estimates.models.get(model)
  if (!known) {
    estimates.models.set(model, { rate: Math.min(sample, 4 * FIRST_RATE) })
    return
  }
  const weight = sample < known.rate ? DOWNWARD_WEIGHT : UPWARD_WEIGHT
  known.rate += weight * (Math.min(sample, 4 * known.rate) - known.rate)
}
