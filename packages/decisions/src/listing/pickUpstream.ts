import type { Milliseconds } from '../types/clock.js'
import type { Random } from '../types/random.js'
import { HOME_SHARES, textHomes } from './textHomes.js'
import type { ListedUpstream } from './upstreamList.js'

/** An upstream that may be sent a request, and what is known of its load. */
export interface UpstreamCandidate {
  listed: ListedUpstream
  /** Requests under way there: this box's own, and what the upstream told of others'. */
  load: number
  /** Time that it still reads prompts for, by what all boxes have sent it. */
  waiting: Milliseconds
  /** How many times slower than others it reads. */
  slowness: number
  /** Ejected upstreams are taken only when there is no other. */
  isEjected: boolean
}

/** What a prompt costs an engine. */
export interface PromptWork {
  model: string
  /** Reading all of it. */
  whole: Milliseconds
  /** Reading the parts that other requests share. */
  shared: Milliseconds
  /** Tokens of the parts that other requests share. */
  sharedTokens: number
  /** The route has a smaller one. */
  isLargerModel?: boolean
  /** Names the shared parts for the model; undefined when there are none. */
  homeKey?: string
}

export interface PickOptions {
  dataCentre: string
  random: Random
  prompt?: PromptWork
  /** Whether `waiting` of upstreams in other data centres is known. True where it is left out. */
  knowsFarWork?: boolean
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
  { dataCentre, random, knowsFarWork = true }: PickOptions,
): T {
  const { whole, shared, sharedTokens } = prompt
  const homes = textHomes(prompt, candidates)
  const keptWorth = (KEPT_WORTH * sharedTokens) / 1_000
  const farCost = knowsFarWork ? FAR_COST : UNKNOWN_COST
  let best = candidates[0]!
  let least = Infinity
  for (const candidate of candidates) {
    const kept = HOME_SHARES[homes.indexOf(candidate)] ?? 0
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
