import { hashText } from '../utils/rendezvousHash.js'
import type { Random } from '../types/random.js'
import type { ListedUpstream } from './upstreamList.js'

/** An upstream that may be sent a request, and what is known of its load. */
export interface UpstreamCandidate {
  listed: ListedUpstream
  /** Requests under way there: this box's own, and what the upstream told of others'. */
  load: number
  /** Ejected upstreams are taken only when there is no other. */
  isEjected: boolean
}

export interface PickOptions {
  /** Requests that share it are sent to the same upstream while that one is not too busy. */
  affinityKey?: string
  dataCentre: string
  random: Random
}

/** An upstream keeps its shared prompts until its load is this far above the mean of its service. */
const HOME_FACTOR = 1.35
const HOME_SLACK = 3
/** Share of its slots that a nearer upstream may be busier by: what a hop between data centres costs. */
const NEAR_BONUS = 0.12

/** Picks an upstream by the home of the shared prompt, or by the lesser load of two drawn at random. */
export function pickUpstream<T extends UpstreamCandidate>(
  candidates: readonly T[],
  options: PickOptions,
): T | undefined {
  const healthy = candidates.filter(candidate => !candidate.isEjected)
  const usable = healthy.length > 0 ? healthy : candidates
  if (usable.length <= 1) return usable[0]
  const home = options.affinityKey !== undefined && pickHome(usable, options.affinityKey)
  return home || pickLessLoaded(usable, options)
}

/** The first or second home of a key, if either has room. */
function pickHome<T extends UpstreamCandidate>(
  candidates: readonly T[],
  key: string,
): T | undefined {
  const seed = hashText(key)
  const ranked = candidates
    .map(candidate => ({ candidate, score: hashText(candidate.listed.id, seed) }))
    .sort((left, right) => right.score - left.score)
  const total = candidates.reduce((sum, candidate) => sum + candidate.load, 0)
  const limit = HOME_FACTOR * (total / candidates.length) + HOME_SLACK
  return ranked.slice(0, 2).find(({ candidate }) => candidate.load <= limit)?.candidate
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
