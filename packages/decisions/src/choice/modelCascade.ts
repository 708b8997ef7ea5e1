import type { Milliseconds } from '../types/clock.js'

/**
 * One step of a model cascade, in order of cost. An answer is kept when the model reports enough
 * confidence in it; otherwise it is discarded, before any of it reaches the caller, and the
 * smallest model whose expected confidence suffices is tried. The differences in confidence between
 * models are learned.
 */
export interface CascadeStep {
  /** Models from the smallest to the largest. */
  models: readonly string[]
  /** The model of the current answer. */
  model: string
  /** That model's confidence in its answer, 0 to 100; undefined where it reports none. */
  confidence: number | undefined
  /** Confidence below which an answer is doubtful. */
  threshold: number
  gains: ConfidenceGains
  /** Predicted time until a model's answer begins. */
  beginsWithin(model: string): Milliseconds
  /** Time left until the first token is late. */
  timeLeft: Milliseconds
  /** What the place of a larger model costs others, in ms of their waiting; 0 when omitted. */
  roomPrice?(model: string): Milliseconds
}

/**
 * Confidence, 0 to 100, at which about nine in ten answers are right; at 50 as many are right as
 * wrong. It is the middle of a band of equal worth: a middle model's answer costs less there than
 * the one in ten is worth.
 */
export const DEFAULT_CONFIDENCE_THRESHOLD = 62
/**
 * Confidence at which an answer is as likely right as wrong: below it, another answer is worth a
 * place however scarce places are.
 */
const EVEN_CONFIDENCE = 50
/** Share of the threshold at which an answer is kept after an escalation, as a second opinion. */
const SECOND_OPINION_FACTOR = 0.65
/**
 * Expected confidence from which a smaller model replaces the largest one when that would be late.
 */
const MIN_EXPECTED_CONFIDENCE = 45
/** Fraction of the time left that a model may be predicted to need. */
const USABLE_TIME_FRACTION = 0.9

/**
 * Differences in confidence between two models on the same request, in points, as moving averages.
 */
export interface ConfidenceGains {
  /** Keyed by `smaller larger`, two model names with a space between. */
  means: Map<string, number>
}

/**
 * Difference in points that is assumed for two models without observations: that between the
 * smallest model and the middle one in logged requests.
 */
const INITIAL_GAIN = 13
/** Weight of the latest observation in the moving average: a memory of about 50 observations. */
const GAIN_WEIGHT = 0.04
/** Top of the scale. Confidences at either end are censored: the true difference may be larger. */
const MAX_CONFIDENCE = 100

export function createConfidenceGains(): ConfidenceGains {
  return { means: new Map() }
}

/** Records the confidences of two models in their answers to one request. */
export function recordConfidences(
  gains: ConfidenceGains,
  from: { model: string; confidence: number },
  to: { model: string; confidence: number },
): void {
  if (from.confidence <= 0 || to.confidence >= MAX_CONFIDENCE) return
  const pair = `${from.model} ${to.model}`
  const known = gainOf(gains, from.model, to.model)
  gains.means.set(pair, known + GAIN_WEIGHT * (to.confidence - from.confidence - known))
}

function gainOf(gains: ConfidenceGains, from: string, to: string): number {
  return gains.means.get(`${from} ${to}`) ?? INITIAL_GAIN
}

/** Returns the model to escalate to, or undefined to keep the current answer. */
export function nextModel(step: CascadeStep): string | undefined {
  const { models, model, confidence, gains, threshold } = step
  const larger = models.slice(models.indexOf(model) + 1)
  if (confidence === undefined || larger.length === 0) return undefined
  const factor = model === models[0] ? 1 : SECOND_OPINION_FACTOR
  if (confidence >= factor * threshold) return undefined
  const thresholds = new Map(larger.map(name => [name, pricedThreshold(step, name)]))
  const isWorthIt = (name: string) => confidence < factor * thresholds.get(name)!
  const inTime = (name: string) => step.beginsWithin(name) <= USABLE_TIME_FRACTION * step.timeLeft
  const expected = (name: string) => confidence + gainOf(gains, model, name)
  const largest = larger.at(-1)!
  const middle = larger.slice(0, -1).filter(isWorthIt)
  const sufficient = middle.find(name => expected(name) >= thresholds.get(name)! && inTime(name))
  if (sufficient !== undefined) return sufficient
  if (isWorthIt(largest) && inTime(largest)) return largest
  return middle.findLast(name => expected(name) >= MIN_EXPECTED_CONFIDENCE && inTime(name))
}

/**
 * The threshold less what a model's place costs: answers that most likely will do are kept while
 * others wait for the place that a second opinion would take.
 */
function pricedThreshold({ threshold, roomPrice, timeLeft }: CascadeStep, model: string): number {
  const price = roomPrice?.(model) ?? 0
  if (price <= 0 || threshold <= EVEN_CONFIDENCE) return threshold
  const paid = timeLeft > 0 ? Math.min(1, price / timeLeft) : 1
  return threshold - paid * (threshold - EVEN_CONFIDENCE)
}
