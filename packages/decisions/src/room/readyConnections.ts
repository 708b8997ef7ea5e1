/**
 * How many connections to keep ready for calls that may not be repeated, and which connections may
 * carry one. The load it answers: such calls at upstreams that reject, close or disturb connections,
 * where a call that is sent on a failing connection cannot be tried again.
 */

import type { Milliseconds } from '../types/clock.js'

/** Time in which a ready connection is replaced: its handshake and the wait for acceptance. */
const REPLACEMENT_TIME: Milliseconds = 50
/** Calls count this long, so that the callers' pauses between calls do not close connections. */
const USE_MEMORY: Milliseconds = 6_000
/** Calls that are remembered; more than any box sends to one upstream in the replacement time. */
const MAX_REMEMBERED = 64
/** Share of a box's part that may be kept ready; the rest is for requests that open their own. */
const READY_SHARE = 0.5

/** Times of recent calls to one upstream, newest last. */
export type RecentCalls = Milliseconds[]

/** Records a call that needs a ready connection. */
export function recordCall(calls: RecentCalls, now: Milliseconds): void {
  calls.push(now)
  if (calls.length > MAX_REMEMBERED) calls.shift()
}

/**
 * Number of connections to keep ready: as many as calls came within the time of a replacement, none
 * without recent calls. `part`: the connections that this box may hold.
 */
export function wantedReadyConnections(
  calls: RecentCalls,
  part: number,
  now: Milliseconds,
): number {
  const recent = calls.filter(at => now - at <= USE_MEMORY)
  let peak = 0
  let first = 0
  recent.forEach((at, index) => {
    while (at - recent[first]! > REPLACEMENT_TIME) first++
    peak = Math.max(peak, index - first + 1)
  })
  return Math.min(peak, Math.max(1, Math.floor(READY_SHARE * part)))
}

/**
 * An upstream that lost its power keeps its connections open and silent. A call that is sent there
 * is lost, a handshake before it costs a round trip; so unless the upstream was heard of within this
 * time, a handshake comes first.
 */
const HEARD_WITHIN: Milliseconds = 250

/** Whether an upstream that was last heard of at `heardAt` may be gone without a sign. */
export function needsHandshake(heardAt: Milliseconds, now: Milliseconds): boolean {
  return now - heardAt > HEARD_WITHIN
}

/** What this box knows of how an upstream treats connections. */
export interface ConnectionHabits {
  /** The idle time that the upstream announces; infinite unless it does. */
  announced: Milliseconds
  /** The shortest idle time after which it closed connections of late. */
  shortestClosed: Milliseconds
  /** The idle time of the connection that it closed last. */
  lastClosed: Milliseconds
  closedAt: Milliseconds
  /** When bytes last arrived that belong to no request. */
  surplusAt: Milliseconds
  /** The longest time after which it rejected a connection of late. */
  slowestRejection: Milliseconds
  rejectedAt: Milliseconds
}

/**
 * An upstream over its limit accepts the handshake and resets the connection at once. This allows for
 * some dozen connections that it handles before, and a caller can still wait.
 */
const ACCEPT_TIME: Milliseconds = 30
/** An upstream that rejects later than this is not waited for. */
const MAX_ACCEPT_TIME: Milliseconds = 200
/** Times of rejections vary with what the upstream does meanwhile. */
const REJECTION_MARGIN = 2

/** Connections are not kept idle for longer, whatever the upstream announces. */
const MAX_IDLE: Milliseconds = 8_000
/** Connections close this much before the time that the upstream announces in whole seconds. */
const IDLE_MARGIN: Milliseconds = 1_200
/** Share of the shortest seen idle time that is still used. */
const SEEN_IDLE_SHARE = 0.75
/** Closes after idle times that differ by more have another cause, such as a broken link. */
const SAME_IDLE_SHARE = 0.8
/** Early closes do not make ready connections useless. */
const MIN_IDLE: Milliseconds = 200
/** Closes and surplus bytes are remembered this long. */
const HABIT_MEMORY: Milliseconds = 60_000
/** A late surplus answer has arrived by then. */
export const REST_TIME: Milliseconds = 100

export function createConnectionHabits(): ConnectionHabits {
  return {
    announced: Infinity,
    shortestClosed: Infinity,
    lastClosed: Infinity,
    closedAt: -Infinity,
    surplusAt: -Infinity,
    slowestRejection: 0,
    rejectedAt: -Infinity,
  }
}

/** Records that the upstream rejected a connection that had been open for `openFor`. */
export function recordRejectionTime(
  habits: ConnectionHabits,
  openFor: Milliseconds,
  now: Milliseconds,
): void {
  const isRecent = now - habits.rejectedAt <= HABIT_MEMORY
  habits.slowestRejection = Math.max(isRecent ? habits.slowestRejection : 0, openFor)
  habits.rejectedAt = now
}

/** Time after which a connection that is still open is known to be accepted. */
export function acceptTime(habits: ConnectionHabits, now: Milliseconds): Milliseconds {
  const isRecent = now - habits.rejectedAt <= HABIT_MEMORY
  const seen = isRecent ? REJECTION_MARGIN * habits.slowestRejection : 0
  return Math.min(MAX_ACCEPT_TIME, Math.max(ACCEPT_TIME, seen))
}

/** Records that the upstream closed a connection that had been idle for `idleFor`. */
export function recordIdleClosed(
  habits: ConnectionHabits,
  idleFor: Milliseconds,
  now: Milliseconds,
): void {
  const isRecent = now - habits.closedAt <= HABIT_MEMORY
  const last = isRecent ? habits.lastClosed : Infinity
  const isHabit = Math.min(last, idleFor) >= SAME_IDLE_SHARE * Math.max(last, idleFor)
  habits.shortestClosed = Math.min(
    isRecent ? habits.shortestClosed : Infinity,
    isHabit ? Math.min(last, idleFor) : Infinity,
  )
  habits.lastClosed = idleFor
  habits.closedAt = now
}

/** Idle time up to which a connection of the upstream is used. */
export function trustedIdleTime(habits: ConnectionHabits, now: Milliseconds): Milliseconds {
  const isRecent = now - habits.closedAt <= HABIT_MEMORY
  const seen = isRecent ? SEEN_IDLE_SHARE * habits.shortestClosed : Infinity
  return Math.max(MIN_IDLE, Math.min(MAX_IDLE, habits.announced - IDLE_MARGIN, seen))
}

/** A connection that the upstream has accepted. */
export interface AcceptedConnection {
  /** It has carried a request and its whole answer. */
  hasAnswered: boolean
  /** When it opened, or its last answer ended. */
  quietSince: Milliseconds
}

/** Whether a late surplus answer may still arrive. */
export function isResting(
  { hasAnswered, quietSince }: AcceptedConnection,
  now: Milliseconds,
): boolean {
  return hasAnswered && now - quietSince < REST_TIME
}

/**
 * Whether a connection may carry a call that may not be repeated: the upstream is not about to close
 * it, and no late bytes of an earlier exchange can take the place of the call's answer.
 */
export function isClean(
  connection: AcceptedConnection,
  habits: ConnectionHabits,
  now: Milliseconds,
): boolean {
  if (now - connection.quietSince > trustedIdleTime(habits, now)) return false
  if (!connection.hasAnswered) return true
  return !isResting(connection, now) && now - habits.surplusAt > HABIT_MEMORY
}
