import type { Milliseconds } from '../types/clock.js'

/**
 * This box's part of a retry budget that holds for all boxes together: a share of its own requests, and an
 * equal part of the fixed slack. The parts of all boxes add up to the budget however requests are spread.
 */
export interface RetryShareLimits {
  /** Requests sent once more for each request, within the window. */
  ratio: number
  /** Requests sent once more beyond that, for all boxes together. */
  slack: number
  window: Milliseconds
}

export interface RetryShare {
  limits: RetryShareLimits
  slots: { requests: number; retries: number }[]
  /** Number of the newest slot since the clock's start. */
  newest: number
}

const SLOTS = 10
/** Part of the budget that is used: the rest covers boxes that do not know of each other yet. */
const USED_PART = 0.9

export function createRetryShare(limits: RetryShareLimits): RetryShare {
  const slots = Array.from({ length: SLOTS }, () => ({ requests: 0, retries: 0 }))
  return { limits, slots, newest: 0 }
}

function slotAt(share: RetryShare, now: Milliseconds): { requests: number; retries: number } {
  const number = Math.floor(now / (share.limits.window / SLOTS))
  const steps = Math.min(SLOTS, number - share.newest)
  for (let step = 1; step <= steps; step++) {
    share.slots[(number - steps + step) % SLOTS] = { requests: 0, retries: 0 }
  }
  share.newest = Math.max(share.newest, number)
  return share.slots[share.newest % SLOTS]!
}

export function noteRequest(share: RetryShare, now: Milliseconds): void {
  slotAt(share, now).requests++
}

/** Whether a request may be sent once more. `boxes`: how many share the slack. */
export function hasRetry(share: RetryShare, boxes: number, now: Milliseconds): boolean {
  slotAt(share, now)
  const requests = share.slots.reduce((sum, slot) => sum + slot.requests, 0)
  const retries = share.slots.reduce((sum, slot) => sum + slot.retries, 0)
  const { ratio, slack } = share.limits
  return retries + 1 <= USED_PART * (ratio * requests + slack / Math.max(1, boxes))
}

/** Takes the right to send a request once more. */
export function takeRetry(share: RetryShare, boxes: number, now: Milliseconds): boolean {
  if (!hasRetry(share, boxes, now)) return false
  slotAt(share, now).retries++
  return true
}
