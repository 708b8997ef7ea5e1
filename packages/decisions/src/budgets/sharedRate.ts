/**
 * Divides a low rate limit of an upstream (while it is cold, or one that it advertises) among the
 * boxes, without coordination.
 *
 * Only a few boxes send to such an upstream: those that rank highest for it by rendezvous hashing
 * over the registered boxes. Each keeps an interval between its requests. An equal part for every
 * box would allow far larger bursts, and time slots would need synchronised clocks.
 */
import type { Milliseconds } from '../types/clock.js'
import { hashText, mixHashes } from '../utils/rendezvousHash.js'

/** Rate limit of a cold upstream, over all boxes. */
export interface ColdLimit {
  /** Sustained requests a second. */
  perSecond: number
  /** Largest number of requests in any one second. */
  most: number
}

/** How the boxes divide a rate. */
export interface RateShare {
  /** Number of boxes that send to the upstream. */
  senders: number
  /** Largest number of requests of one sender ... */
  burst: number
  /** ... within `burst` times this interval. */
  interval: Milliseconds
}

/** A box and its data centre. */
export interface BoxLocation {
  box: string
  dataCentre: string
}

/** Few, so that each sender keeps a usable rate; more than one, to survive the loss of a box. */
const MAX_COLD_SENDERS = 3
/**
 * While membership changes, boxes with different views may select this many groups of senders at
 * once.
 */
const DIVERGENT_VIEWS = 2
const SECOND: Milliseconds = 1_000
/** Lengthens the interval, so that no second holds one request too many. */
const INTERVAL_MARGIN = 1.02

/** Divides the limit of a cold upstream among the boxes; a low limit leaves a single sender. */
export function coldShareOf({ perSecond, most }: ColdLimit): RateShare {
  const senders = Math.max(1, Math.min(MAX_COLD_SENDERS, Math.floor(most / DIVERGENT_VIEWS)))
  const mostPerSender = Math.max(1, Math.floor(most / (DIVERGENT_VIEWS * senders)))
  const interval = Math.max(
    (SECOND * senders) / perSecond,
    (INTERVAL_MARGIN * SECOND) / mostPerSender,
  )
  return { senders, burst: 1, interval }
}

/**
 * Burst of all senders together: this many seconds of the rate plus `BURST_SLACK` requests. A
 * larger burst allows more senders, so that fewer callers reach a box that may not send.
 */
const BURST_SECONDS = 1.5
const BURST_SLACK = 2
/** Lowest rate: probes an upstream that advertises less, to discover when its limit rises. */
const MIN_PER_SECOND = 0.25
/** Largest burst of one box: more at once would look like no limit to an upstream in need. */
const MAX_BURST = 8

/**
 * Divides a limit that an upstream advertises among the boxes. In any span all senders together
 * send at most what the limit allows in it plus the burst: 5.5 times the limit plus 2 requests in
 * four seconds.
 */
export function limitShareOf(perSecond: number, boxes: number): RateShare {
  const rate = Math.max(MIN_PER_SECOND, perSecond)
  const totalBurst = Math.floor(BURST_SECONDS * rate + BURST_SLACK)
  const senders = Math.max(1, Math.min(boxes, totalBurst))
  const burst = Math.min(MAX_BURST, Math.floor(totalBurst / senders))
  return { senders, burst, interval: (SECOND * senders) / rate }
}

/** When a sender may send next. `sentAt`: the times of its latest requests, oldest first. */
export function nextSendAt(
  { burst, interval }: Pick<RateShare, 'burst' | 'interval'>,
  sentAt: readonly Milliseconds[],
): Milliseconds {
  const oldest = sentAt.at(-burst)
  return oldest === undefined ? -Infinity : oldest + burst * interval
}

/** Send times that `nextSendAt` needs for each upstream. */
export const SEND_HISTORY_LENGTH = MAX_BURST

/**
 * Selects the boxes that send to an upstream: in the first turn those of its own data centre,
 * unless it has too few, so that prompts stay within it. `nameHash`: hash of the upstream's id.
 * `turn`: number of earlier groups of senders that were idle; later turns select from all boxes.
 */
export function sendersOf<T extends BoxLocation>(
  { nameHash, dataCentre, turn = 0 }: { nameHash: number; dataCentre: string; turn?: number },
  boxes: readonly T[],
  { senders }: Pick<RateShare, 'senders'>,
): T[] {
  const near = boxes.filter(box => box.dataCentre === dataCentre)
  const candidates = turn === 0 && near.length >= senders ? near : boxes
  const ranked = candidates
    .map(box => ({ box, score: mixHashes(nameHash, hashText(box.box)) }))
    .sort((left, right) => right.score - left.score)
    .map(({ box }) => box)
  const first = turn * senders
  const count = Math.min(senders, ranked.length)
  return Array.from({ length: count }, (_, index) => ranked[(first + index) % ranked.length]!)
}
