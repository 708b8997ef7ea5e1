/** What is learned from answers: how long a request holds its place, and how many tokens come. */
import type { Milliseconds } from '../types/clock.js'

/** Moving averages over the answers of one kind, such as those of a route and model. */
interface AnswerMeans {
  holdingTime: Milliseconds
  tokens: number
  /** The longest answer so far. */
  mostTokens: number
}

export type AnswerEstimates = Map<string, AnswerMeans>

/** Averages over roughly twenty answers. */
const SAMPLE_WEIGHT = 0.05
/** Before the first answer: an answer of some length. */
const DEFAULT_HOLDING_TIME: Milliseconds = 1_000
const DEFAULT_TOKENS = 256
/** A caller's hint counts up to this multiple of the longest answer seen. */
const MAX_HINT_FACTOR = 4
/** Until answers show more, hints count up to this. */
const MIN_HINT_LIMIT = 4_096
/** Answers that take no time would make room appear at once. */
const MIN_HOLDING_TIME: Milliseconds = 5

export function createAnswerEstimates(): AnswerEstimates {
  return new Map()
}

/** Records an answer that ended well. */
export function recordAnswerSize(
  estimates: AnswerEstimates,
  kind: string,
  holdingTime: Milliseconds,
  tokens: number,
): void {
  const time = Math.max(MIN_HOLDING_TIME, holdingTime)
  const known = estimates.get(kind)
  if (!known) {
    estimates.set(kind, { holdingTime: time, tokens, mostTokens: tokens })
    return
  }
  known.holdingTime += SAMPLE_WEIGHT * (time - known.holdingTime)
  known.tokens += SAMPLE_WEIGHT * (tokens - known.tokens)
  known.mostTokens = Math.max(known.mostTokens, tokens)
}

/** Mean time for which a request of this kind holds its place. */
export function holdingTimeOf(estimates: AnswerEstimates, kind: string): Milliseconds {
  return estimates.get(kind)?.holdingTime ?? DEFAULT_HOLDING_TIME
}

/** Expected tokens of an answer: the caller's hint within what is plausible, else the mean. */
export function expectedTokensOf(
  estimates: AnswerEstimates,
  kind: string,
  hint: number | undefined,
): number {
  const known = estimates.get(kind)
  if (hint === undefined || !(hint > 0)) return known?.tokens ?? DEFAULT_TOKENS
  return Math.min(hint, Math.max(MIN_HINT_LIMIT, MAX_HINT_FACTOR * (known?.mostTokens ?? 0)))
}
