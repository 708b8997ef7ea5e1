import type { Milliseconds } from '../types/clock.js'

/** A retry budget that holds for all boxes together. */
export interface RetryShareLimits {
  /** Requests sent once more for each request, within the window. */
  ratio: number
  /** Requests sent once more beyond that, for all boxes together. */
  slack: number
  window: Milliseconds
}

export interface RetryShareOptions {
  limits: RetryShareLimits
  /**
   * From when the box may use its part of the slack. A run that follows another waits for a window, since the last run may
   * have spent that part: seven boxes that restarted three times in 8 s spent 168 retries of 50 (played on a moved clock).
   */
  slackFrom: Milliseconds
}

/**
 * This box's part of a retry budget that holds for all boxes together: a share of its own requests, and an
 * equal part of the fixed slack. The parts of all boxes add up to the budget however requests are spread.
 */
export interface RetryShare extends RetryShareOptions {
  slots: { requests: number; retries: number }[]
  /** Number of the newest slot since the clock's start. */
  newest: number
}

/** The budget holds for each service by itself: requests for one earn another no retries. */
export interface RetryShares extends RetryShareOptions {
  byService: Map<string, RetryShare>
}

const SLOTS = 10
/**
 * Requests count for a little less than a window, retries for a little more: with one slot fewer, retries at the end of the
 * oldest slot were forgotten 1 s early, and the budget could be spent twice in 9 s.
 */
const KEPT_SLOTS = SLOTS + 1
/** Part of the budget that is used: the rest covers boxes that do not know of each other yet. */
const USED_PART = 0.9

export function createRetryShare({ limits, slackFrom }: RetryShareOptions): RetryShare {
  const slots = Array.from({ length: KEPT_SLOTS }, () => ({ requests: 0, retries: 0 }))
  return { limits, slackFrom, slots, newest: 0 }
}

export function createRetryShares({ limits, slackFrom }: RetryShareOptions): RetryShares {
  return { limits, slackFrom, byService: new Map() }
}

/** This box's part of the budget of a service. */
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

export function noteRequest(share: RetryShare, now: Milliseconds): void {
  slotAt(share, now).requests++
}

/** Whether a request may be sent once more. `boxes`: how many share the slack; infinite where nobody can say. */
export function hasRetry(share: RetryShare, boxes: number, now: Milliseconds): boolean {
  slotAt(share, now)
  const oldest = share.slots[(share.newest + 1) % KEPT_SLOTS]!
  const requests = share.slots.reduce((sum, slot) => sum + slot.requests, 0) - oldest.requests
  const retries = share.slots.reduce((sum, slot) => sum + slot.retries, 0)
  const { ratio, slack } = share.limits
  const slackPart = now < share.slackFrom ? 0 : slack / Math.max(1, boxes)
  return retries + 1 <= USED_PART * (ratio * requests + slackPart)
}

/** Takes the right to send a request once more. */
export function takeRetry(share: RetryShare, boxes: number, now: Milliseconds): boolean {
  if (!hasRetry(share, boxes, now)) return false
  slotAt(share, now).retries++
  return true
}
