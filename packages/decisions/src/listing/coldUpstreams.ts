/**
 * A cold upstream bears few requests a second from all boxes together, and falls over well above that. The boxes do not wait for
 * each other, so each must know by itself what it may send.
 *
 * A few boxes alone send to a cold upstream: those that rank highest for it, by rendezvous over the boxes that are entered. Each
 * waits for a while after each request. With 84 boxes and 98 engines that are all cold, asked for 330 prompts a second of which a
 * third share ten texts, no engine gets more than 9 in a second, where 18.2 are allowed, and 95 of 100 prompts are sent within
 * 0.3 s. Equal parts of all boxes (one request in 9.5 s each) send all of them, but 20 in a second to one engine, and 42 where only
 * ten engines are left; turns by a common clock send 94 of 100 and need that clock (played load, `coldLoad.test.ts`).
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

/** How the boxes share what a cold upstream bears. */
export interface ColdShare {
  /** Boxes that send to it. */
  senders: number
  /** Each of them waits for this long after each request. */
  interval: Milliseconds
}

/** Where a box stands. */
export interface BoxPlace {
  box: string
  dataCentre: string
}

/** More boxes would each have less than two requests in a second; one alone would leave none when it ends. */
const MOST_SENDERS = 3
/** While entries of boxes come and go, boxes may disagree on who sends: as many again may count themselves in. */
const VIEWS = 2
const SECOND: Milliseconds = 1_000
/** Keeps the last request of a second's worth out of that second. */
const INTERVAL_MARGIN = 1.02

/** How the boxes share a limit: one box alone sends where it is too small for more. */
export function coldShareOf({ perSecond, most }: ColdLimit): ColdShare {
  const senders = Math.max(1, Math.min(MOST_SENDERS, Math.floor(most / VIEWS)))
  const each = Math.max(1, Math.floor(most / (VIEWS * senders)))
  const interval = Math.max((SECOND * senders) / perSecond, (INTERVAL_MARGIN * SECOND) / each)
  return { senders, interval }
}

/**
 * The boxes that send to a cold upstream: of its own data centre, so that prompts need not cross, unless too few stand there.
 * `nameHash` is that of the upstream's id.
 */
export function coldSenders<T extends BoxPlace>(
  nameHash: number,
  dataCentre: string,
  boxes: readonly T[],
  { senders }: ColdShare,
): T[] {
  const near = boxes.filter(box => box.dataCentre === dataCentre)
  const group = near.length >= senders ? near : boxes
  return group
    .map(box => ({ box, score: mixHashes(nameHash, hashText(box.box)) }))
    .sort((left, right) => right.score - left.score)
    .slice(0, senders)
    .map(({ box }) => box)
}
