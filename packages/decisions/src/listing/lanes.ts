import { hashText } from '../utils/rendezvousHash.js'
import type { Milliseconds } from '../types/clock.js'

/**
 * Engines are dealt to two lanes, so that short work does not wait beside long prompts: `light` and `heavy`
 * requests. All boxes deal alike without a word, but for an engine at the border while their shares differ.
 */
export type Lane = 'light' | 'heavy'

export interface LaneShares {
  /** Work sent a second, as a moving mean. */
  light: number
  heavy: number
}

/** A prompt that is read for longer than this is heavy: a few events of a stream beside it come late. */
export const HEAVY_WORK: Milliseconds = 150
/** Weight of one request in the moving means. */
const SHARE_WEIGHT = 0.01
/** Before anything is learned. */
const FIRST_SHARES: LaneShares = { light: 0.3, heavy: 0.7 }
/** Light requests are many and their engines also make most of the tokens: they get more than their work. */
const LIGHT_FACTOR = 1
const LEAST_SHARE = 0.15
/** Fewer engines than this are not worth dealing. */
const LEAST_ENGINES = 4

export function createLaneShares(): LaneShares {
  return { ...FIRST_SHARES }
}

export function laneOf(work: Milliseconds): Lane {
  return work > HEAVY_WORK ? 'heavy' : 'light'
}

export function noteWork(shares: LaneShares, work: Milliseconds): void {
  const lane = laneOf(work)
  const other = lane === 'light' ? 'heavy' : 'light'
  const scaled = work / HEAVY_WORK
  shares[lane] += SHARE_WEIGHT * (scaled - shares[lane])
  shares[other] -= SHARE_WEIGHT * shares[other]
}

/** The engines of a lane. Both lanes have some wherever there are enough. */
export function dealLane<T>(
  members: readonly T[],
  idOf: (member: T) => string,
  lane: Lane,
  shares: LaneShares,
): readonly T[] {
  if (members.length < LEAST_ENGINES) return members
  const light = LIGHT_FACTOR * shares.light
  const share = Math.min(1 - LEAST_SHARE, Math.max(LEAST_SHARE, light / (light + shares.heavy)))
  const border = Math.min(members.length - 1, Math.max(1, Math.round(share * members.length)))
  const ranked = members
    .map(member => ({ member, rank: hashText(idOf(member), LANE_SEED) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ member }) => member)
  return lane === 'light' ? ranked.slice(0, border) : ranked.slice(border)
}

const LANE_SEED = 7
