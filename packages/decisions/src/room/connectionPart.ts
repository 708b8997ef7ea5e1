/**
 * How many connections one box may hold to one upstream, which accepts a limited number from all
 * boxes together and resets further ones. The load it answers: many boxes that need connections at
 * the same time, after a restart or when upstreams are lost.
 */

import type { Milliseconds } from '../types/clock.js'

/**
 * Share of an upstream's limit that all boxes together use. The rest is for connections of killed
 * boxes, which the upstream still counts, and for probes.
 */
const CONNECTION_SHARE = 0.85
/** A box without any connection could not serve its callers. */
export const MIN_PART = 1

export interface ConnectionPartQuery {
  /** Connections that the upstream accepts from all boxes together. */
  maxConnections: number
  /** Boxes that share them. */
  boxes: number
  /** Hash of the box, from 0 to below 1: decides which boxes get the remainder of the division. */
  turn: number
}

/**
 * This box's part of an upstream's limit: what it may keep open. The parts of all boxes add up to
 * less than the limit.
 */
export function connectionPart({ maxConnections, boxes, turn }: ConnectionPartQuery): number {
  const part = (CONNECTION_SHARE * maxConnections) / boxes
  return Math.max(MIN_PART, Math.floor(part + turn))
}

/**
 * A box may open as many while it uses all of them, since other boxes use less than their part at the
 * time: a small part would reject callers where there is room.
 */
const MIN_IN_USE = 3
/** Connections over the box's part close after so much idle time. */
export const EXCESS_IDLE_TIME: Milliseconds = 300

/** Connections that a box may hold while it uses all of them. */
export function connectionsInUse(part: number): number {
  return Math.max(MIN_IN_USE, part)
}

/** What rejected connections told this box of an upstream's limit. */
export interface ConnectionCap {
  /** Connections that this box may hold; infinite unless the upstream rejected one of late. */
  limit: number
  /** When the upstream last rejected a connection. */
  rejectedAt: Milliseconds
  /** No connection is opened before this time. */
  openAfter: Milliseconds
  /** Rejections since a connection was last accepted. */
  rejections: number
}

/** Time without a rejection before the cap is raised, and between the steps. */
const RAISE_INTERVAL: Milliseconds = 500
/** Factor of a step: few boxes have large parts, and reach them in about two seconds. */
const RAISE_FACTOR = 2
/** Delay of the next opening after a rejection, doubled by each further one ... */
const FIRST_DELAY: Milliseconds = 20
/** ... up to this, so that an upstream with room again is found within a caller's patience. */
const MAX_DELAY: Milliseconds = 640

export function createConnectionCap(): ConnectionCap {
  return { limit: Infinity, rejectedAt: -Infinity, openAfter: -Infinity, rejections: 0 }
}

/**
 * Records a connection that was reset before it carried anything. `accepted`: connections that the
 * upstream holds from this box; `chance`, from 0 to 1, spreads the next openings of many boxes.
 */
export function recordConnectionRejected(
  cap: ConnectionCap,
  accepted: number,
  chance: number,
  now: Milliseconds,
): void {
  cap.limit = Math.max(MIN_PART, Math.min(accepted, cap.limit))
  cap.rejectedAt = now
  const delay = Math.min(MAX_DELAY, FIRST_DELAY * 2 ** cap.rejections)
  cap.rejections++
  cap.openAfter = Math.max(cap.openAfter, now + delay * (0.5 + chance))
}

/** Records a connection that the upstream accepted. */
export function recordConnectionAccepted(cap: ConnectionCap): void {
  cap.rejections = 0
}

/** Raises the cap in steps, one for each interval without a rejection, up to the box's part. */
export function raiseConnectionCap(cap: ConnectionCap, part: number, now: Milliseconds): void {
  if (!isCapped(cap)) return
  const steps = Math.floor((now - cap.rejectedAt) / RAISE_INTERVAL)
  if (steps <= 0) return
  cap.limit *= RAISE_FACTOR ** steps
  cap.rejectedAt += steps * RAISE_INTERVAL
  if (cap.limit < part) return
  Object.assign(cap, createConnectionCap())
}

/** Whether the upstream has rejected connections of late. */
export function isCapped(cap: ConnectionCap): boolean {
  return Number.isFinite(cap.limit)
}

/** Connections that this box may hold now; the open ones while no further one may be opened. */
export function connectionLimitAt(
  cap: ConnectionCap,
  part: number,
  open: number,
  now: Milliseconds,
): number {
  return now < cap.openAfter ? open : Math.min(part, cap.limit)
}
