import type { Milliseconds } from '../types/clock.js'

/**
 * Models asked in order of cost: an answer is kept when the model itself is confident enough of it, and is otherwise
 * dropped for that of a larger one before the caller has received any of it. The next model is the smallest one that
 * can be expected to do: how much more confident each is on the same request is learned.
 */
export interface LadderStep {
  /** The smallest first. */
  models: readonly string[]
  /** The model that gave the present answer, and its opinion of it, 0 to 100. */
  model: string
  confidence: number | undefined
  /** Answers below it are doubtful. */
  threshold: number
  gains: ConfidenceGains
  /** How long it would take until an answer of a model begins. */
  beginsWithin(model: string): Milliseconds
  /** Time until an answer that begins is late. */
  timeLeft: Milliseconds
}

/**
 * The middle of a band of equal worth. Opinions spread by 10 to 12 points around 50, where as many answers are right as wrong
 * (8,134 answers, log lines of requests): at 62 some nine in ten are right, and a middle model's answer costs less than
 * the one in ten is worth.
 */
export const DEFAULT_CONFIDENCE_THRESHOLD = 62
/** An answer that was asked for because of a doubt is kept from this share of the threshold on: two agree by then. */
const SECOND_OPINION_SHARE = 0.65
/** A model below the largest one is asked in its place, when that one would be late, from this expected confidence on. */
const LEAST_EXPECTED = 45
/** Part of the time left that the answer may be expected to take. */
const TIME_USED = 0.9

/** How many points more confident one model is than another on the same request, as moving means. */
export interface ConfidenceGains {
  means: Map<string, number>
}

/** Before anything is learned: points between the smallest model and the middle one, log lines of requests. */
const FIRST_GAIN = 13
/** Weight of the newest pair: about the last fifty count. */
const GAIN_WEIGHT = 0.04
/** Opinions at the ends of the scale do not say how far beyond they would be. */
const SCALE_END = 100

export function createConfidenceGains(): ConfidenceGains {
  return { means: new Map() }
}

/** Takes the opinions that two models gave of their answers to one request. */
export function noteConfidences(
  gains: ConfidenceGains,
  from: { model: string; confidence: number },
  to: { model: string; confidence: number },
): void {
  if (from.confidence <= 0 || to.confidence >= SCALE_END) return
  const pair = `${from.model} ${to.model}`
  const known = gainOf(gains, from.model, to.model)
  gains.means.set(pair, known + GAIN_WEIGHT * (to.confidence - from.confidence - known))
}

function gainOf(gains: ConfidenceGains, from: string, to: string): number {
  return gains.means.get(`${from} ${to}`) ?? FIRST_GAIN
}

/** The model to ask after this answer; undefined to keep it. */
export function nextModel(step: LadderStep): string | undefined {
  const { models, model, confidence, gains, threshold } = step
  const larger = models.slice(models.indexOf(model) + 1)
  const largest = larger.at(-1)
  if (confidence === undefined || largest === undefined) return undefined
  const needed = model === models[0] ? threshold : SECOND_OPINION_SHARE * threshold
  if (confidence >= needed) return undefined
  const inTime = (name: string) => step.beginsWithin(name) <= TIME_USED * step.timeLeft
  const expected = (name: string) => confidence + gainOf(gains, model, name)
  const middle = larger.slice(0, -1)
  const enough = middle.find(name => expected(name) >= threshold && inTime(name))
  if (enough !== undefined) return enough
  if (inTime(largest)) return largest
  return middle.findLast(name => expected(name) >= LEAST_EXPECTED && inTime(name))
}
