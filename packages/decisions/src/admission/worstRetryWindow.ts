import type { Milliseconds } from '../types/clock.js'
import type { RetryShareLimits } from './retryShare.js'

/** A window with what all boxes together retried in it, and what the budget allows. */
export interface RetryWindow {
  from: Milliseconds
  retries: number
  allowed: number
}

/** Times in ascending order, counted by window. */
class SortedTimes {
  readonly #times: readonly Milliseconds[]

  constructor(times: readonly Milliseconds[]) {
    this.#times = times.toSorted((one, other) => one - other)
  }

  /** How many lie in `[from, until)`. */
  count(from: Milliseconds, until: Milliseconds): number {
    return this.#firstFrom(until) - this.#firstFrom(from)
  }

  #firstFrom(time: Milliseconds): number {
    let low = 0
    let high = this.#times.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#times[middle]! < time) low = middle + 1
      else high = middle
    }
    return low
  }
}

/** Windows before the one that is judged whose requests count for it; whichever has most applies. */
const EARLIER_WINDOWS = [0, 0.5, 1]
/** Counts change where a window begins at, or just after, an event or a fraction of a window beside one. */
const EVENT_OFFSETS = [-1, -0.5, 0, 0.5, 1]
const JUST_AFTER: Milliseconds = 1e-6

/**
 * The window in which retries exceed their budget by most, or come closest to it, of all that begin
 * at any moment; undefined without retries. The definition that measurements and checks share:
 * arrivals beyond the first of each request, against the requests in the same window, in the one
 * before or half a window before.
 */
export function worstRetryWindow(
  requestTimes: readonly Milliseconds[],
  retryTimes: readonly Milliseconds[],
  { ratio, slack, window }: RetryShareLimits,
): RetryWindow | undefined {
  const requests = new SortedTimes(requestTimes)
  const retries = new SortedTimes(retryTimes)
  let worst: RetryWindow | undefined
  for (const event of [...requestTimes, ...retryTimes])
    for (const offset of EVENT_OFFSETS)
      for (const from of [event + offset * window, event + offset * window + JUST_AFTER]) {
        const count = retries.count(from, from + window)
        if (count === 0) continue
        const earned = EARLIER_WINDOWS.map(earlier => from - earlier * window).map(begin =>
          requests.count(begin, begin + window),
        )
        const judged = { from, retries: count, allowed: ratio * Math.max(...earned) + slack }
        if (!worst || excessOf(judged) > excessOf(worst)) worst = judged
      }
  return worst
}

/** How far a window exceeds its budget; negative within it. */
export function excessOf({ retries, allowed }: RetryWindow): number {
  return retries - allowed
}
