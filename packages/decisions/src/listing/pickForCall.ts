import type { Milliseconds } from '../types/clock.js'
import type { Random } from '../types/random.js'
import type { UpstreamCandidate } from './upstreamCandidate.js'

export interface PickForCallOptions<T> {
  /** Expected time until an upstream has answered one more call. */
  expectedTimeOf(candidate: T): Milliseconds
  dataCentre: string
  random: Random
  /** Time of a call at an upstream of usual speed that is idle. */
  usualTime: Milliseconds
  /** The call was sent before. There are few of these, and little time: all upstreams are compared. */
  isRepeat: boolean
}

/**
 * Upstreams compared for one call, and one of this data centre besides. What is known of them is
 * some tens of milliseconds old and known to many boxes at once; a sample bounds the multiple of an
 * equal part that an upstream can get.
 */
const SAMPLE_SIZE = 2
/** What an upstream in another data centre costs, as a share of the usual time of the call ... */
const REMOTE_SHARE = 0.12
/** ... and at least the round trip there. */
const MIN_REMOTE_COST: Milliseconds = 4
/** Random share of the expected time, so that boxes spread over near-equal upstreams. */
const TIME_JITTER = 0.05

/**
 * Picks an upstream for a call: the one of a random sample that is expected to answer first.
 * Ejected upstreams are used only when all are. Undefined without candidates.
 */
export function pickForCall<T extends UpstreamCandidate>(
  candidates: readonly T[],
  options: PickForCallOptions<T>,
): T | undefined {
  const healthy = candidates.filter(candidate => !candidate.isEjected)
  const usable = healthy.length > 0 ? healthy : candidates
  const sample = options.isRepeat ? usable : sampleOf(usable, options)
  let best: T | undefined
  let least = Infinity
  for (const candidate of sample) {
    const cost = costOf(candidate, options)
    if (cost >= least) continue
    best = candidate
    least = cost
  }
  return best
}

function costOf<T extends UpstreamCandidate>(
  candidate: T,
  { dataCentre, random, usualTime, expectedTimeOf }: PickForCallOptions<T>,
): Milliseconds {
  const time = expectedTimeOf(candidate) * (1 + TIME_JITTER * random())
  if (candidate.listed.dataCentre === dataCentre) return time
  return time + Math.max(MIN_REMOTE_COST, REMOTE_SHARE * usualTime)
}

/** Different candidates, drawn at random, and a local one. */
function sampleOf<T extends UpstreamCandidate>(
  candidates: readonly T[],
  { dataCentre, random }: PickForCallOptions<T>,
): Iterable<T> {
  if (candidates.length <= SAMPLE_SIZE) return candidates
  const draw = (from: readonly T[]) => from[Math.floor(random() * from.length)]!
  const sample = new Set<T>()
  while (sample.size < SAMPLE_SIZE) sample.add(draw(candidates))
  const local = candidates.filter(({ listed }) => listed.dataCentre === dataCentre)
  if (local.length > 0) sample.add(draw(local))
  return sample
}
