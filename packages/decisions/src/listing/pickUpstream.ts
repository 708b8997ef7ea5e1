import type { Milliseconds } from '../types/clock.js'
import type { Random } from '../types/random.js'
import { drawByRoom } from '../room/drawByRoom.js'
import { roomCost, type Arrivals } from '../room/roomCost.js'
import { spareRoom } from '../room/upstreamRoom.js'
import { prefixHomes } from './prefixHomes.js'
import type { PrefillWork, UpstreamCandidate } from './upstreamCandidate.js'

export interface PickOptions {
  dataCentre: string
  random: Random
  prompt?: PrefillWork
  /**
   * Whether every box sends its pending work to every other box directly. Otherwise only that of
   * boxes in this data centre is known, and lags by about 100 ms. Defaults to true.
   */
  knowsRemoteWork?: boolean
  /** Size of the request body, transferred when the upstream is in another data centre. */
  bodyBytes?: number
  /** Requests to the service; undefined where room does not count. */
  arrivals?: ServiceArrivals
}

/** Requests that compete for the room of a service. */
export interface ServiceArrivals extends Arrivals {
  /** Share of the requests with this prompt's shared prefix, 0 to 1. */
  prefixShare: number
  now: Milliseconds
}

/** Extra utilisation, 0 to 1, at which a local upstream is still preferred to a remote one. */
const LOCAL_LOAD_BONUS = 0.12
/** Delay of the first token per stream already running on the engine. */
const STREAM_COST: Milliseconds = 1.5
/** Running streams stall during a prefill: the share of the prefill time charged for each. */
const PREFILL_STALL_SHARE = 0.1
/** Round trip to another data centre. */
const REMOTE_COST: Milliseconds = 4
/**
 * Expected prefill queue of a remote upstream whose pending work is unknown, network included.
 * Where 63 engines serve 245 prompts a second, they prefill for a quarter of the time, some 150 ms
 * at a stretch.
 */
const UNKNOWN_QUEUE_COST: Milliseconds = 40
/**
 * Price of transferring a kilobyte of body between data centres, in equivalent waiting time. A body
 * of 17 KB then costs a quarter of a second, which makes no answer late while engines are not full;
 * when they are, the queue of a near engine soon outweighs it.
 */
const TRANSFER_COST_PER_KILOBYTE: Milliseconds = 15
const BYTES_PER_KILOBYTE = 1_000
/**
 * Engines sampled at random, besides the homes of the prefix, when load information is stale.
 * Comparing all engines would send every box to the same apparently idle one (herding).
 */
const LOCAL_SAMPLE_SIZE = 4
const REMOTE_SAMPLE_SIZE = 2
/**
 * Value of a cache hit per 1,000 shared tokens, in equivalent waiting time, beyond the prefill time
 * saved: recomputing them is billed, and a duplicate prefix takes cache memory from others.
 */
const CACHE_HIT_VALUE: Milliseconds = 20
/** Random cost added to each candidate, so that boxes spread over near-equal upstreams. */
const TIE_BREAK_JITTER: Milliseconds = 4

/**
 * Picks an upstream: for a prompt by its estimated prefill completion and transfer costs, otherwise
 * the least loaded of a random sample. Ejected upstreams are used only when all are. Undefined
 * without candidates.
 */
export function pickUpstream<T extends UpstreamCandidate>(
  candidates: readonly T[],
  options: PickOptions,
): T | undefined {
  const healthy = candidates.filter(candidate => !candidate.isEjected)
  const usable = keepFitting(healthy.length > 0 ? healthy : candidates)
  if (usable.length <= 1) return usable[0]
  const { prompt } = options
  return prompt ? pickLowestCost(usable, prompt, options) : pickLeastLoaded(usable, options)
}

/** Leaves out upstreams whose memory is smaller than the request, while others fit. */
function keepFitting<T extends UpstreamCandidate>(candidates: readonly T[]): readonly T[] {
  const fitting = candidates.filter(({ outlook }) => outlook?.kind !== 'never-fits')
  return fitting.length > 0 ? fitting : candidates
}

function pickLowestCost<T extends UpstreamCandidate>(
  candidates: readonly T[],
  prompt: PrefillWork,
  { dataCentre, random, knowsRemoteWork = true, bodyBytes = 0, arrivals }: PickOptions,
): T {
  const { prefillTime, sharedPrefillTime, sharedTokens } = prompt
  const homes = prefixHomes(prompt, candidates, dataCentre)
  const cacheHitValue = (CACHE_HIT_VALUE * sharedTokens) / 1_000
  const remoteCost =
    (knowsRemoteWork ? REMOTE_COST : UNKNOWN_QUEUE_COST) +
    (TRANSFER_COST_PER_KILOBYTE * bodyBytes) / BYTES_PER_KILOBYTE
  const costOfRoom = ({ room, outlook }: T, isHome: boolean) =>
    room && outlook && arrivals
      ? roomCost(room, outlook, arrivals, isHome ? arrivals.prefixShare : 0, arrivals.now)
      : 0
  const costWithoutRoom = (candidate: T) => {
    const cachedShare = homes.get(candidate) ?? 0
    return (
      candidate.pendingPrefill +
      (STREAM_COST + PREFILL_STALL_SHARE * prefillTime) * candidate.load +
      candidate.prefillSlowdown * (prefillTime - cachedShare * sharedPrefillTime) -
      cachedShare * cacheHitValue +
      (candidate.listed.dataCentre === dataCentre ? 0 : remoteCost) +
      TIE_BREAK_JITTER * random()
    )
  }
  let best = candidates[0]!
  let least = Infinity
  let preferred = best
  let leastWithoutRoom = Infinity
  const considered = knowsRemoteWork
    ? candidates
    : sampleCandidates(candidates, homes.keys(), dataCentre, random)
  for (const candidate of considered) {
    const partialCost = costWithoutRoom(candidate)
    if (partialCost < leastWithoutRoom) {
      preferred = candidate
      leastWithoutRoom = partialCost
    }
    // Room costs nothing or more: that of a candidate that is too dear without it is not looked at.
    if (partialCost >= least) continue
    const cost = partialCost + costOfRoom(candidate, homes.has(candidate))
    if (cost >= least) continue
    best = candidate
    least = cost
  }
  const isOverflow = costOfRoom(preferred, homes.has(preferred)) > 0
  if (!isOverflow || (homes.has(best) && costOfRoom(best, true) === 0) || !arrivals) return best
  const drawn = drawWithRoom(candidates, arrivals, dataCentre, random) ?? best
  const other = drawWithRoom(candidates, arrivals, dataCentre, random) ?? best
  return prefillEnd(other, prompt) < prefillEnd(drawn, prompt) ? other : drawn
}

/** When the prompt's prefill would end, apart from what is cached. */
function prefillEnd(
  { pendingPrefill, prefillSlowdown }: UpstreamCandidate,
  { prefillTime }: PrefillWork,
): Milliseconds {
  return pendingPrefill + prefillSlowdown * prefillTime
}

/** Draws an upstream by its free places, in this data centre while there are enough. */
function drawWithRoom<T extends UpstreamCandidate>(
  candidates: readonly T[],
  { rate, sharingLag, now }: ServiceArrivals,
  dataCentre: string,
  random: Random,
): T | undefined {
  const local = candidates.filter(({ listed }) => listed.dataCentre === dataCentre)
  const freeOf = ({ room, listed, load }: T) => (room ? spareRoom(room, now) : listed.slots - load)
  // Of the longest lag, not the mean one: boxes that correct late would overcorrect.
  const arriving = rate * sharingLag
  const freeNear = local.reduce((sum, candidate) => sum + Math.max(0, freeOf(candidate)), 0)
  const arrivingNear = (arriving * local.length) / candidates.length
  if (local.length > 0 && freeNear > arrivingNear + 1)
    return drawByRoom(local, freeOf, arrivingNear, random)
  return drawByRoom(candidates, freeOf, arriving, random)
}

/** The homes of a prefix plus a random sample of local and remote candidates. */
function sampleCandidates<T extends UpstreamCandidate>(
  candidates: readonly T[],
  homes: Iterable<T>,
  dataCentre: string,
  random: Random,
): Set<T> {
  const sampled = new Set(homes)
  const local: T[] = []
  const remote: T[] = []
  for (const candidate of candidates)
    (candidate.listed.dataCentre === dataCentre ? local : remote).push(candidate)
  const sampleFrom = (group: readonly T[], count: number) => {
    for (let index = 0; index < count && group.length > 0; index++)
      sampled.add(group[Math.floor(random() * group.length)]!)
  }
  sampleFrom(local, LOCAL_SAMPLE_SIZE)
  sampleFrom(remote, REMOTE_SAMPLE_SIZE)
  return sampled
}

function pickLeastLoaded<T extends UpstreamCandidate>(
  candidates: readonly T[],
  { random, dataCentre }: PickOptions,
): T {
  const first = candidates[Math.floor(random() * candidates.length)]!
  const second = candidates[Math.floor(random() * candidates.length)]!
  const local = candidates.filter(candidate => candidate.listed.dataCentre === dataCentre)
  const third = local.length > 0 ? local[Math.floor(random() * local.length)]! : first
  const cost = ({ load, listed }: T) =>
    load / Math.max(1, listed.slots) - (listed.dataCentre === dataCentre ? LOCAL_LOAD_BONUS : 0)
  return [first, second, third].reduce((best, next) => (cost(next) < cost(best) ? next : best))
}
