import type { Milliseconds } from '../types/clock.js'

/** Limits of a retry budget that all boxes share. */
export interface RetryShareLimits {
  /** Retries per request within the window. */
  ratio: number
  /** Retries allowed beyond the ratio within the window, over all boxes. */
  slack: number
  window: Milliseconds
}

export interface RetryShareOptions {
  limits: RetryShareLimits
  /**
   * The time from which the box may use its part of the slack. A restarted box waits for one
   * window, because its previous process may have spent that part already.
   */
  slackFrom: Milliseconds
}

/**
 * This box's part of a shared retry budget: the ratio of its own requests, and an equal part of the
 * slack. The parts of all boxes never add up to more than the budget, however requests are
 * distributed.
 */
export interface RetryShare extends RetryShareOptions {
  /** Ring buffer of counts over time slots. */
  slots: { requests: number; retries: number }[]
  /** Number of the newest slot, counted from clock time 0. */
  newest: number
}

/** Separate budgets by service: requests to one service earn no retries for another. */
export interface RetryShares extends RetryShareOptions {
  byService: Map<string, RetryShare>
}

/** The window in which this box is closest to its part of the budget, one more retry included. */
export interface TightestWindow {
  /** How long ago it began. */
  age: Milliseconds
  retries: number
  allowed: number
}

/** Slots per window. */
const SLOTS = 10
/**
 * Retries are counted for one slot longer than requests. With one slot fewer, retries at the end of
 * the oldest slot were forgotten 1 s early, and the budget could be spent twice in 9 s.
 */
const KEPT_SLOTS = SLOTS + 1
/**
 * Fraction of the budget that is used; the remainder covers boxes that have not discovered each
 * other yet.
 */
const USABLE_FRACTION = 0.9

export function createRetryShare({ limits, slackFrom }: RetryShareOptions): RetryShare {
  const slots = Array.from({ length: KEPT_SLOTS }, () => ({ requests: 0, retries: 0 }))
  return { limits, slackFrom, slots, newest: 0 }
}

export function createRetryShares({ limits, slackFrom }: RetryShareOptions): RetryShares {
  return { limits, slackFrom, byService: new Map() }
}

/**
 * Returns this box's part of a service's budget, under the current limits; creates it on first use.
 */
export function retryShareOf(shares: RetryShares, service: string): RetryShare {
  const { limits, byService } = shares
  const share = byService.get(service) ?? createRetryShare(shares)
  share.limits = limits
  byService.set(service, share)
  return share
}

function slotAt(share: RetryShare, now: Milliseconds): { requests: number; retries: number } {
  const number = Math.floor(now / (share.limits.window / SLOTS))
  const steps = Math.min(KEPT_SLOTS, number - share.newest)
  for (let step = 1; step <= steps; step++) {
    share.slots[(number - steps + step) % KEPT_SLOTS] = { requests: 0, retries: 0 }
  }
  share.newest = Math.max(share.newest, number)
  return share.slots[share.newest % KEPT_SLOTS]!
}

export function recordRequest(share: RetryShare, now: Milliseconds): void {
  slotAt(share, now).requests++
}

/**
 * The window that would be closest to its budget after one more retry. `boxes`: how many share the
 * slack, `Infinity` when unknown.
 */
export function tightestWindow(
  share: RetryShare,
  boxes: number,
  now: Milliseconds,
): TightestWindow {
  slotAt(share, now)
  const oldest = share.slots[(share.newest + 1) % KEPT_SLOTS]!
  const requests = share.slots.reduce((sum, slot) => sum + slot.requests, 0) - oldest.requests
  const retries = share.slots.reduce((sum, slot) => sum + slot.retries, 0)
  const { ratio, slack, window } = share.limits
  const slackPart = now < share.slackFrom ? 0 : slack / Math.max(1, boxes)
  const allowed = USABLE_FRACTION * (ratio * requests + slackPart)
  return { age: window, retries: retries + 1, allowed }
}

/** Whether the budget allows a retry. */
export function canRetry(share: RetryShare, boxes: number, now: Milliseconds): boolean {
  const { retries, allowed } = tightestWindow(share, boxes, now)
  return retries <= allowed
}

/** Takes one retry from the budget. Returns false when the budget is exhausted. */
export function takeRetry(share: RetryShare, boxes: number, now: Milliseconds): boolean {
  if (!canRetry(share, boxes, now)) return false
  slotAt(share, now).retries++
  return true
}
