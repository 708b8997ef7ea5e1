/** What the upstreams of a service can still take, as one box knows it, over all boxes. */
import type { Milliseconds } from '../types/clock.js'
import { freePlaces, heldPlaces, type UpstreamRoom } from './upstreamRoom.js'

/** Room over the upstreams of a service that may take a request. */
export interface ServiceRoom {
  /** Places of these upstreams. */
  places: number
  /** Of these, those believed to be free now. */
  free: number
  /** Places expected to come free per second. */
  freedPerSecond: number
}

/** What would become of a request that is sent to an upstream now. */
export type RoomOutlook =
  | { kind: 'begins' }
  | { kind: 'waits'; time: Milliseconds }
  /** It would take the place of a less urgent request that has begun. */
  | { kind: 'preempts' }
  /** It is larger than the upstream's memory. */
  | { kind: 'never-fits' }

/** Adds the room of one upstream to that of its service. */
export function addToServiceRoom(sum: ServiceRoom, room: UpstreamRoom, now: Milliseconds): void {
  const { slots, holdingTime } = room
  sum.places += slots
  sum.free += freePlaces(room, now)
  sum.freedPerSecond += (MS_PER_SECOND * Math.min(slots, heldPlaces(room, now))) / holdingTime
}

const MS_PER_SECOND = 1_000
