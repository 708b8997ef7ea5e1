import type { Milliseconds } from '../types/clock.js'
import type { Random } from '../types/random.js'
import { textHomes } from './textHomes.js'
import type { PromptWork, UpstreamCandidate } from './upstreamCandidate.js'

export interface PickOptions {
  dataCentre: string
  random: Random
  prompt?: PromptWork
  /**
   * Whether all boxes tell each other at once what they have sent. Where they do not, `waiting` is known of upstreams of
   * this data centre only, and some 100 ms late. True where it is left out.
   */
  knowsFarWork?: boolean
  /** Of the request's body, which crosses to an upstream of another data centre. */
  bodyBytes?: number
}

/** Share of its slots that a nearer upstream may be busier by: what a hop between data centres costs. */
const NEAR_BONUS = 0.12
/** What one more stream beside adds to the time until an answer begins. */
const STREAM_COST: Milliseconds = 1.5
/** A stream beside is held up while a prompt is read: the part of that time that counts as a cost. */
const HELD_UP_PART = 0.1
/** A hop between data centres and back. */
const FAR_COST: Milliseconds = 4
/**
 * What is to be expected in the queue of an upstream whose work is not known: where 63 engines serve 245 prompts a second,
 * they read for a quarter of the time, some 150 ms at a stretch.
 */
const UNKNOWN_COST: Milliseconds = 40
/**
 * What it costs that a kilobyte of a request crosses to another data centre. By the operators' prices a body of 17 KB is 5 %
 * of a long prompt's worth, as much as a quarter of a second of waiting, which makes no answer late while its objective
 * is some seconds and engines are not full; when they are, the queue before a near engine soon outweighs it.
 */
const CROSSING_COST: Milliseconds = 15
const BYTES_PER_KILOBYTE = 1_000
/**
 * Boxes that hear late of each other's prompts would all choose the engine that was free a moment ago. Beside the homes
 * of a prompt's text each draws this many engines by chance, and takes the best of these. Where texts had homes in one
 * data centre alone, 82 % began in time at 0.7 of the load that can be read in place of 17 %; with homes in all of
 * them 99.8 % in place of 99.5 % (played load).
 */
const NEAR_DRAWN = 4
const FAR_DRAWN = 2
/**
 * What it is worth, beside the time to read them, to find 1,000 shared tokens where they are kept: reading them again is
 * priced, and memory that holds one text twice holds another not at all. By its operators' prices some 5 % of
 * a long prompt's worth, which a tenth of a second of waiting costs at the most.
 */
const KEPT_WORTH: Milliseconds = 20
/** Costs this close are equal: chance decides, so that boxes do not all choose the same. */
const TIE: Milliseconds = 4

/** Picks an upstream: by the time until a prompt is read, or by the lesser load of some drawn at random. */
export function pickUpstream<T extends UpstreamCandidate>(
  candidates: readonly T[],
  options: PickOptions,
): T | undefined {
  const healthy = candidates.filter(candidate => !candidate.isEjected)
  const usable = healthy.length > 0 ? healthy : candidates
  if (usable.length <= 1) return usable[0]
  const { prompt } = options
  return prompt ? pickSoonest(usable, prompt, options) : pickLessLoaded(usable, options)
}

function pickSoonest<T extends UpstreamCandidate>(
  candidates: readonly T[],
  prompt: PromptWork,
  { dataCentre, random, knowsFarWork = true, bodyBytes = 0 }: PickOptions,
): T {
  const { whole, shared, sharedTokens } = prompt
  const homes = textHomes(prompt, candidates, dataCentre)
  const keptWorth = (KEPT_WORTH * sharedTokens) / 1_000
  const farCost =
    (knowsFarWork ? FAR_COST : UNKNOWN_COST) + (CROSSING_COST * bodyBytes) / BYTES_PER_KILOBYTE
  let best = candidates[0]!
  let least = Infinity
  const compared = knowsFarWork
    ? candidates
    : drawSome(candidates, homes.keys(), dataCentre, random)
  for (const candidate of compared) {
    const kept = homes.get(candidate) ?? 0
    const cost =
      candidate.waiting +
      (STREAM_COST + HELD_UP_PART * whole) * candidate.load +
      candidate.slowness * (whole - kept * shared) -
      kept * keptWorth +
      (candidate.listed.dataCentre === dataCentre ? 0 : farCost) +
      TIE * random()
    if (cost >= least) continue
    best = candidate
    least = cost
  }
  return best
}

/** The homes of a text and a few others drawn by chance. */
function drawSome<T extends UpstreamCandidate>(
  candidates: readonly T[],
  homes: Iterable<T>,
  dataCentre: string,
  random: Random,
): Set<T> {
  const drawn = new Set(homes)
  const near: T[] = []
  const far: T[] = []
  for (const candidate of candidates)
    (candidate.listed.dataCentre === dataCentre ? near : far).push(candidate)
  const drawFrom = (group: readonly T[], count: number) => {
    for (let at = 0; at < count && group.length > 0; at++)
      drawn.add(group[Math.floor(random() * group.length)]!)
  }
  drawFrom(near, NEAR_DRAWN)
  drawFrom(far, FAR_DRAWN)
  return drawn
}

function pickLessLoaded<T extends UpstreamCandidate>(
  candidates: readonly T[],
  { random, dataCentre }: PickOptions,
): T {
  const first = candidates[Math.floor(random() * candidates.length)]!
  const second = candidates[Math.floor(random() * candidates.length)]!
  const near = candidates.filter(candidate => candidate.listed.dataCentre === dataCentre)
  const third = near.length > 0 ? near[Math.floor(random() * near.length)]! : first
  const cost = ({ load, listed }: T) =>
    load / Math.max(1, listed.slots) - (listed.dataCentre === dataCentre ? NEAR_BONUS : 0)
  return [first, second, third].reduce((best, next) => (cost(next) < cost(best) ? next : best))
}
