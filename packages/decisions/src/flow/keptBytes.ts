/**
 * What a box keeps in its memory for callers and upstreams that read or write slowly: how much one
 * connection may keep, when the box takes no new request, and whose connection is ended first.
 *
 * The load: many callers at once stop reading large answers, or send large bodies slowly, beside
 * others that read at once.
 */
import type { Milliseconds } from '../types/clock.js'

/** What bytes are kept for. */
export type KeptKind =
  /** Written for a caller, who has not read them. */
  | 'unread'
  /** Parts of an answer that has not begun to be passed on. */
  | 'gathered'
  /** Parts of a request that has not arrived whole. */
  | 'arriving'
  /** Bodies of requests at upstreams, kept for a retry. */
  | 'sending'

/** All kinds, in the order in which they are shown. */
export const KEPT_KINDS: readonly KeptKind[] = ['unread', 'gathered', 'arriving', 'sending']

/** Bounds on the bytes that a box keeps. */
export interface KeptLimits {
  /** Bound on the sum over all connections. */
  total: number
  /** Below this sum a connection may keep more than its share rather than hold its upstream. */
  grantBelow: number
  /** Below this sum nobody is ended for memory. */
  endDownTo: number
  /** From this sum on the slowest are ended, and large bodies are not read on. */
  endFrom: number
  /** From this sum on new requests are rejected. */
  rejectFrom: number
  /** At this sum new requests are taken again. */
  acceptBelow: number
}

const MEGABYTE = 1024 * 1024
/** Memory of a machine whose settings do not tell it. */
export const DEFAULT_MEMORY_BYTES = 200 * MEGABYTE
/**
 * Share of the machine's memory. The program takes a third of a small one, and buffers that have
 * been passed on stay until they are collected.
 */
const KEPT_SHARE = 0.2
const REJECT_FROM_SHARE = 0.92
const ACCEPT_BELOW_SHARE = 0.75
/** Those who do not read are ended before others are rejected. */
const END_FROM_SHARE = 0.75
const END_DOWN_TO_SHARE = 0.6
const GRANT_BELOW_SHARE = 0.4

/** Bounds for a machine; `memoryBytes` is undefined where its settings do not tell it. */
export function createKeptLimits(memoryBytes: number | undefined): KeptLimits {
  const total = KEPT_SHARE * (memoryBytes ?? DEFAULT_MEMORY_BYTES)
  return {
    total,
    grantBelow: GRANT_BELOW_SHARE * total,
    endDownTo: END_DOWN_TO_SHARE * total,
    endFrom: END_FROM_SHARE * total,
    rejectFrom: REJECT_FROM_SHARE * total,
    acceptBelow: ACCEPT_BELOW_SHARE * total,
  }
}

/** One connection may keep this part of what is free: 60 such connections leave a fifth to others. */
const SHARE_OF_FREE = 1 / 64
/** A connection may always keep this, which small answers and bodies never exceed. */
export const MIN_ALLOWANCE_BYTES = 64 * 1024

/**
 * What one connection may keep while `kept` bytes are kept in all. Few slow connections may keep
 * much, so that their upstreams are soon free; many of them never fill the memory.
 */
export function allowanceOf({ total }: KeptLimits, kept: number): number {
  return Math.max(MIN_ALLOWANCE_BYTES, SHARE_OF_FREE * (total - kept))
}

/**
 * Whether a body that is arriving may be read on, of which `bytes` are kept. Unlike an answer it has
 * to be kept whole, so that few large ones may fill what is free.
 */
export function mayReadOn({ endFrom }: KeptLimits, kept: number, bytes: number): boolean {
  return bytes <= MIN_ALLOWANCE_BYTES || kept < endFrom
}

/**
 * Whether bodies that arrive are given up at once, small ones too: together they may come to more
 * than all may keep.
 */
export function mustGiveUp({ rejectFrom }: KeptLimits, kept: number): boolean {
  return kept >= rejectFrom
}

/** Whether a body of `length` bytes can be kept at all now. */
export function fitsBody({ total }: KeptLimits, kept: number, length: number): boolean {
  return length <= MIN_ALLOWANCE_BYTES || kept + length <= total
}

/** Whether new requests are rejected for lack of memory. */
export function isMemoryShort(limits: KeptLimits, kept: number, wasShort: boolean): boolean {
  return kept >= (wasShort ? limits.acceptBelow : limits.rejectFrom)
}

/** A caller's connection that keeps bytes. */
export interface KeptConnection {
  /** More than 0. */
  bytes: number
  /** Last time at which the caller read or sent bytes, or began to keep the box waiting. */
  progressAt: Milliseconds
  /** The upstream of its answer is paused until the caller reads. */
  holdsUpstream: boolean
}

/** Why a connection is ended. */
export type EndReason =
  /** Its upstream was paused for too long. */
  | 'upstream-held'
  /** The memory is needed for others. */
  | 'memory'
  /** The caller neither reads nor sends any more. */
  | 'abandoned'

/**
 * A caller whose network drops packets reads again within three seconds; an upstream whose answer
 * stays unread for longer has a place that others need, and cuts the answer itself soon.
 */
export const MAX_HELD_UPSTREAM: Milliseconds = 3_000
/** A caller that reads at all makes progress within this. */
const MIN_STALL_FOR_MEMORY: Milliseconds = 500
/** Longer than any usual interruption of a network. */
const MAX_STALL: Milliseconds = 30_000

/** Some time before the connection would be ended, and the upstream cut the answer. */
const MIN_STALL_FOR_GRANT: Milliseconds = 1_000
/** What a connection may keep in addition at a time. */
export const GRANT_BYTES = MEGABYTE

/**
 * The connections that may keep `GRANT_BYTES` more: those that hold an upstream while memory is
 * free. A caller that reads slowly, or again after a while, thus gets its answer whole.
 */
export function chooseGranted<T extends KeptConnection>(
  { grantBelow }: KeptLimits,
  connections: Iterable<T>,
  kept: number,
  now: Milliseconds,
): T[] {
  const granted: T[] = []
  for (const connection of connections) {
    if (kept + (granted.length + 1) * GRANT_BYTES > grantBelow) break
    if (connection.holdsUpstream && now - connection.progressAt >= MIN_STALL_FOR_GRANT)
      granted.push(connection)
  }
  return granted
}

/** A connection to end. */
export interface EndedConnection<T extends KeptConnection> {
  connection: T
  reason: EndReason
}

/**
 * The connections to end now: those that hold an upstream or stand still for too long and, if memory
 * is short, those without progress for longest until it is not, then those that keep most.
 */
export function chooseEnded<T extends KeptConnection>(
  limits: KeptLimits,
  connections: Iterable<T>,
  kept: number,
  now: Milliseconds,
): EndedConnection<T>[] {
  const ended: EndedConnection<T>[] = []
  const stalled: T[] = []
  let left = kept
  for (const connection of connections) {
    const reason = reasonToEnd(connection, now)
    if (reason) {
      ended.push({ connection, reason })
      left -= connection.bytes
    } else if (now - connection.progressAt >= MIN_STALL_FOR_MEMORY) stalled.push(connection)
  }
  if (left < limits.endFrom) return ended
  stalled.sort(bySlowness)
  for (const connection of stalled) {
    if (left <= limits.endDownTo) break
    ended.push({ connection, reason: 'memory' })
    left -= connection.bytes
  }
  return ended
}

function reasonToEnd(connection: KeptConnection, now: Milliseconds): EndReason | undefined {
  const stall = now - connection.progressAt
  if (stall >= MAX_STALL) return 'abandoned'
  if (connection.holdsUpstream && stall >= MAX_HELD_UPSTREAM) return 'upstream-held'
  return undefined
}

/** Longest without progress first, then those that keep most. */
function bySlowness(left: KeptConnection, right: KeptConnection): number {
  return left.progressAt - right.progressAt || right.bytes - left.bytes
}
