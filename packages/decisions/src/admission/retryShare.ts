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
 * This box's part of a shared retry budget, for every window of the same length, whenever it
 * begins: the retries in it are at most the ratio of the box's own requests, taken as the mean of
 * that window and the one before, and an equal part of the slack. All boxes count by the same rule
 * for the same window, so that their parts add up to no more than the budget of that window,
 * wherever callers go meanwhile.
 *
 * A retry counts from when it is taken until one window after the upstream is known to have it.
 */
export interface RetryShare extends RetryShareOptions {
  /** Ring buffer of counts over time slots, from two windows ago to one window ahead. */
  slots: RetrySlot[]
  /** Number of the slot of the latest time, counted from clock time 0. */
  newest: number
  /** Retries that were taken and may arrive at any time. */
  underWay: number
}

interface RetrySlot {
  requests: number
  /** Retries by the latest time at which they can have arrived, which may lie ahead. */
  retries: number
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
const SLOTS = 100
/** The window before that of a retry, that window, and the one in which it may still arrive. */
const KEPT_SLOTS = 3 * SLOTS
/**
 * Fraction of the budget that is used; the remainder covers requests and retries that are on their
 * way while a window begins or ends.
 */
const USABLE_FRACTION = 0.9

export function createRetryShare({ limits, slackFrom }: RetryShareOptions): RetryShare {
  const slots = Array.from({ length: KEPT_SLOTS }, () => ({ requests: 0, retries: 0 }))
  return { limits, slackFrom, slots, newest: 0, underWay: 0 }
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

function slotNumbered(share: RetryShare, number: number): RetrySlot {
  return share.slots[(number + KEPT_SLOTS) % KEPT_SLOTS]!
}

/** Reuses the slots that are too old for the time ahead, and returns the slot of `now`. */
function advance(share: RetryShare, now: Milliseconds): RetrySlot {
  const number = Math.floor(now / (share.limits.window / SLOTS))
  const steps = Math.min(KEPT_SLOTS, number - share.newest)
  for (let step = 1; step <= steps; step++)
    Object.assign(slotNumbered(share, number + SLOTS - steps + step), { requests: 0, retries: 0 })
  share.newest = Math.max(share.newest, number)
  return slotNumbered(share, share.newest)
}

export function recordRequest(share: RetryShare, now: Milliseconds): void {
  advance(share, now).requests++
}

/**
 * The window that would be closest to its budget after one more retry, of all that hold this
 * moment. `boxes`: how many share the slack, `Infinity` when unknown.
 */
export function tightestWindow(
  share: RetryShare,
  boxes: number,
  now: Milliseconds,
): TightestWindow {
  advance(share, now)
  const { newest, limits, slackFrom } = share
  const slackPart = now < slackFrom ? 0 : limits.slack / Math.max(1, boxes)
  let retries = 1 + share.underWay
  for (let ahead = 1; ahead <= SLOTS; ahead++)
    retries += slotNumbered(share, newest + ahead).retries
  let requests = 0
  for (let age = 0; age < SLOTS - 1; age++) requests += slotNumbered(share, newest - age).requests
  let tightest: TightestWindow | undefined
  // A window that begins within a slot holds at most all retries of that slot.
  for (let age = 0; age <= SLOTS; age++) {
    retries += slotNumbered(share, newest - age).retries
    requests += slotNumbered(share, newest - age - SLOTS + 1).requests
    const allowed = USABLE_FRACTION * ((limits.ratio * requests) / 2 + slackPart)
    if (!tightest || allowed - retries < tightest.allowed - tightest.retries)
      tightest = { age: (age * limits.window) / SLOTS, retries, allowed }
  }
  return tightest!
}

/** Whether the budget allows so many more retries. */
export function canRetry(share: RetryShare, boxes: number, now: Milliseconds, count = 1): boolean {
  const { retries, allowed } = tightestWindow(share, boxes, now)
  return retries + count - 1 <= allowed
}

/**
 * Takes one retry from the budget, to be settled or returned. Returns false when the budget is
 * exhausted.
 */
export function takeRetry(share: RetryShare, boxes: number, now: Milliseconds): boolean {
  if (!canRetry(share, boxes, now)) return false
  share.underWay++
  return true
}

/** A retry that was taken has arrived by `at`, or arrives until then: at most one window after `now`. */
export function settleRetry(share: RetryShare, at: Milliseconds, now: Milliseconds): void {
  advance(share, now)
  share.underWay--
  const number = Math.floor(at / (share.limits.window / SLOTS))
  slotNumbered(share, Math.min(number, share.newest + SLOTS)).retries++
}

/** A retry that was taken is not sent. */
export function returnRetry(share: RetryShare): void {
  share.underWay--
}
