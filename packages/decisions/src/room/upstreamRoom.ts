/**
 * What one upstream can still take, as a box believes it: its places and memory, less what the
 * boxes know to be in flight there and what the upstream itself said of its load.
 */
import type { Milliseconds } from '../types/clock.js'
import type { RoomOutlook } from './serviceRoom.js'

/** Requests in flight at an upstream, and the memory that they hold or will hold. */
export interface KnownLoad {
  /** Requests of this box. */
  own: number
  /** Requests of other boxes, as they tell. */
  others: number
  /** Tokens of all of them. */
  tokens: number
}

/** Load that an upstream said it had, with what the box knew at that moment. */
export interface LoadSample {
  /** Requests running and waiting; for one that rejected a request as full, at least its places. */
  load: number
  own: number
  others: number
  at: Milliseconds
  /** Time until those unknown here have ended, or are told by other boxes. */
  unknownFor: Milliseconds
}

/** Everything that the room of an upstream follows from. */
export interface UpstreamRoom {
  /** Requests that it works on at once. */
  slots: number
  /** Undefined where it is not listed. */
  memoryTokens: number | undefined
  known: KnownLoad
  sample: LoadSample | undefined
  /** Mean time for which a request holds its place. */
  holdingTime: Milliseconds
  /** Urgency of the least urgent request of this box there; undefined without any. */
  leastUrgent: number | undefined
  /** Tokens that the request in hand adds to its memory. */
  addedTokens: number
}

/** The room that a request asks for. */
export interface PlaceRequest {
  /** Tokens of its whole prompt and answer. */
  wholeTokens: number
  /** 0 to 9; 0 is the most urgent. */
  urgency: number
}

/** After so many sharing lags the other boxes' reports have come, late ones too. */
const LAGS_UNTIL_KNOWN = 2
/** Rounding residue of expected values: so little of a place counts as none. */
const PLACE_ROUNDING = 1e-6

/**
 * Places that are taken, with requests that wait there. Requests that the upstream told of beyond the
 * known ones count ever less until none is left.
 */
export function heldPlaces({ known, sample }: UpstreamRoom, now: Milliseconds): number {
  const counted = known.own + known.others
  if (!sample) return counted
  const knownThen = sample.own + sample.others
  const unknownThen = Math.max(0, sample.load - knownThen)
  const remaining = Math.max(0, 1 - (now - sample.at) / sample.unknownFor)
  const ended = Math.min(0, known.others - sample.others)
  const told = knownThen + (known.own - sample.own) + ended + unknownThen * remaining
  return Math.max(counted, told)
}

/** Places believed to be free. */
export function freePlaces(room: UpstreamRoom, now: Milliseconds): number {
  return Math.max(0, Math.floor(room.slots - heldPlaces(room, now) + PLACE_ROUNDING))
}

/** A sample of the load that an upstream told. Other boxes tell of theirs after `sharingLag`. */
export function toldSample(
  { known: { own, others }, holdingTime }: Pick<UpstreamRoom, 'known' | 'holdingTime'>,
  load: number,
  sharingLag: Milliseconds,
  now: Milliseconds,
): LoadSample {
  const unknownFor =
    sharingLag > 0 ? Math.min(holdingTime, LAGS_UNTIL_KNOWN * sharingLag) : holdingTime
  return { load, own, others, at: now, unknownFor }
}

/**
 * A sample of an upstream that rejected a request because it is full: places come free evenly over
 * the mean holding time.
 */
export function fullSample(
  { slots, known: { own, others }, holdingTime }: Omit<UpstreamRoom, 'sample'>,
  toldLoad: number | undefined,
  now: Milliseconds,
): LoadSample {
  return {
    load: Math.max(slots, own + others, toldLoad ?? 0),
    own,
    others,
    at: now,
    unknownFor: holdingTime,
  }
}

const BEGINS: RoomOutlook = { kind: 'begins' }

/** What becomes of a request that is sent now. */
export function roomOutlook(
  room: UpstreamRoom,
  { wholeTokens, urgency }: PlaceRequest,
  now: Milliseconds,
): RoomOutlook {
  const { memoryTokens, leastUrgent } = room
  if (memoryTokens !== undefined && wholeTokens > memoryTokens) return { kind: 'never-fits' }
  const lacking = lackingRoom(room, 0, now)
  if (lacking === 0) return BEGINS
  if (leastUrgent !== undefined && urgency < leastUrgent) return { kind: 'preempts' }
  return { kind: 'waits', time: waitForRoom(room, lacking, now) }
}

/** How many more requests like the one in hand fit in; negative where some wait. */
export function spareRoom(room: UpstreamRoom, now: Milliseconds): number {
  return Math.min(room.slots - heldPlaces(room, now), spareMemory(room))
}

/** How many more requests like the one in hand the memory holds. */
function spareMemory({ memoryTokens, known, addedTokens }: UpstreamRoom): number {
  if (memoryTokens === undefined || addedTokens === 0) return Infinity
  return (memoryTokens - known.tokens) / addedTokens
}

/** Requests that have to end before one more begins, if `arriving` others come before it. */
export function lackingRoom(room: UpstreamRoom, arriving: number, now: Milliseconds): number {
  const lacking = arriving + 1 - spareRoom(room, now)
  return lacking < PLACE_ROUNDING ? 0 : lacking
}

/** Time until that many of the requests there have ended. */
export function waitForRoom(room: UpstreamRoom, lacking: number, now: Milliseconds): Milliseconds {
  const running = Math.max(1, Math.min(room.slots, heldPlaces(room, now)))
  return (lacking * room.holdingTime) / running
}

/** Whether memory runs out before places do, so that requests begin that do not all fit. */
export function isTokenMemoryShort(room: UpstreamRoom, now: Milliseconds): boolean {
  return spareMemory(room) < room.slots - heldPlaces(room, now)
}
