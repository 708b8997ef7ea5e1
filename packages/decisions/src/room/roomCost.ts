/**
 * The price of an upstream's room for one request, in ms of waiting, the unit of all costs by which
 * an upstream is picked. It answers a load that many boxes place at once: each of them knows what
 * the others have sent only after a while, so that a place that looks free may be taken.
 */
import type { Milliseconds } from '../types/clock.js'
import type { RoomOutlook } from './serviceRoom.js'
import {
  heldPlaces,
  isTokenMemoryShort,
  lackingRoom,
  waitForRoom,
  type UpstreamRoom,
} from './upstreamRoom.js'

/** Requests that go to a service, and how late a box learns of those of other boxes. */
export interface Arrivals {
  /** Requests per millisecond to all upstreams of the service, over all boxes. */
  rate: number
  /** Time until what another box sends is known here; 0 without other boxes. */
  sharingLag: Milliseconds
}

/**
 * A request that an upstream rejects as full is sent again, paid from the retry budget, and may find
 * no upstream in time: worth more than a cache hit on the longest prompts.
 */
const REJECTION_COST: Milliseconds = 1_500
/** Requests that an upstream surely queues beyond its places. */
const SURE_QUEUE_LENGTH = 3
/** A preempted request has its prompt read again, and its caller sees a pause. */
const PREEMPTION_COST: Milliseconds = 2_000

/**
 * Cost of waiting for room at an upstream, or of being rejected there. `aimedShare`: the share of
 * the service's requests that are expected to prefer this upstream, 0 to 1.
 */
export function roomCost(
  room: UpstreamRoom,
  outlook: RoomOutlook,
  arrivals: Arrivals,
  aimedShare: number,
  now: Milliseconds,
): Milliseconds {
  if (outlook.kind === 'preempts') return PREEMPTION_COST
  const lacking = lackingRoom(room, unseenArrivals(room, arrivals, aimedShare, now), now)
  if (lacking === 0) return 0
  const risk = Math.min(1, lacking / SURE_QUEUE_LENGTH)
  const price = isTokenMemoryShort(room, now) ? PREEMPTION_COST : REJECTION_COST
  return waitForRoom(room, lacking, now) + price * risk
}

/** Requests of other boxes that are there already, or on their way, and not yet known here. */
function unseenArrivals(
  room: UpstreamRoom,
  { rate, sharingLag }: Arrivals,
  aimedShare: number,
  now: Milliseconds,
): number {
  const usualRate = heldPlaces(room, now) / room.holdingTime
  return sharingLag * Math.max(usualRate, rate * aimedShare)
}
