/**
 * What an upstream takes from all boxes together, cold or by a limit of its own, is little. The boxes do not wait for
 * each other, so each must know by itself what it may send.
 *
 * A few boxes alone send to such an upstream: those that rank highest for it, by rendezvous over the boxes that are entered. Each
 * waits for a while after each request. Equal parts of all boxes would add up to far more at one moment, and turns by a common
 * clock need that clock (`coldLoad.test.ts` plays all three).
 */
import type { Milliseconds } from '../types/clock.js'
import { hashText, mixHashes } from '../utils/rendezvousHash.js'

/** What a cold upstream bears, from all boxes together. */
export interface ColdLimit {
  /** Requests a second over a longer time. */
  perSecond: number
  /** Requests in any one second. */
  most: number
}

/** How the boxes share a rate. */
export interface RateShare {
  /** Boxes that send to the upstream. */
  senders: number
  /** Each of them sends at most this many requests ... */
  burst: number
  /** ... in so many times this. */
  interval: Milliseconds
}

/** Where a box stands. */
export interface BoxPlace {
  box: string
  dataCentre: string
}

/** More boxes would each have less than two requests in a second; one alone would leave none when it ends. */
const MOST_COLD_SENDERS = 3
/** While entries of boxes come and go, boxes may disagree on who sends: as many again may count themselves in. */
const VIEWS = 2
const SECOND: Milliseconds = 1_000
/** Keeps the last request of a second's worth out of that second. */
const INTERVAL_MARGIN = 1.02

/** How the boxes share what a cold upstream bears: one box alone sends where it is too little for more. */
export function coldShareOf({ perSecond, most }: ColdLimit): RateShare {
  const senders = Math.max(1, Math.min(MOST_COLD_SENDERS, Math.floor(most / VIEWS)))
  const each = Math.max(1, Math.floor(most / (VIEWS * senders)))
  const interval = Math.max((SECOND * senders) / perSecond, (INTERVAL_MARGIN * SECOND) / each)
  return { senders, burst: 1, interval }
}

/**
 * Requests at one moment beside the rate, of all senders together: so many seconds' worth, and two more. The more boxes send, the fewer callers
 * have to be turned away for the box that they called at; who sends at one moment is in need of it at the next.
 */
const AT_ONCE_SECONDS = 1.5
const AT_ONCE_SLACK = 2
/** An upstream that takes less is asked this often, or nobody would learn that it takes more again. */
const LEAST_PER_SECOND = 0.25
/** More at once from one box would look like no limit to an upstream in need. */
const MOST_BURST = 8

/**
 * How the boxes share a limit that an upstream names. All senders together send in any time what the limit allows in it, and
 * a little at once: in four seconds at most 5.5 times the limit, and two.
 */
export function limitShareOf(perSecond: number, boxes: number): RateShare {
  const rate = Math.max(LEAST_PER_SECOND, perSecond)
  const atOnce = Math.floor(AT_ONCE_SECONDS * rate + AT_ONCE_SLACK)
  const senders = Math.max(1, Math.min(boxes, atOnce))
  const burst = Math.min(MOST_BURST, Math.floor(atOnce / senders))
  return { senders, burst, interval: (SECOND * senders) / rate }
}

/** When a box that sent last at these times may send again. `sentAt`: its newest sends, in order. */
export function nextSendAt(
  { burst, interval }: Pick<RateShare, 'burst' | 'interval'>,
  sentAt: readonly Milliseconds[],
): Milliseconds {
  const oldest = sentAt.at(-burst)
  return oldest === undefined ? -Infinity : oldest + burst * interval
}

/** How many of its newest sends a box remembers for each upstream. */
export const SENDS_REMEMBERED = MOST_BURST

/**
 * The boxes that send to an upstream: of its own data centre, so that prompts need not cross, unless too few stand there.
 * `nameHash` is that of the upstream's id. `turn`: so many groups of senders have been silent before these.
 */
export function sendersOf<T extends BoxPlace>(
  { nameHash, dataCentre, turn = 0 }: { nameHash: number; dataCentre: string; turn?: number },
  boxes: readonly T[],
  { senders }: Pick<RateShare, 'senders'>,
): T[] {
  const near = boxes.filter(box => box.dataCentre === dataCentre)
  const group = turn === 0 && near.length >= senders ? near : boxes
  const ranked = group
    .map(box => ({ box, score: mixHashes(nameHash, hashText(box.box)) }))
    .sort((left, right) => right.score - left.score)
    .map(({ box }) => box)
  const first = turn * senders
  const count = Math.min(senders, ranked.length)
  return Array.from({ length: count }, (_, at) => ranked[(first + at) % ranked.length]!)
}
