import type { DeploymentBounds } from '@yewkeel/platform/stand-ins'
import type { Evidence } from './evidence.js'
import type { Attempt, Milliseconds } from './observations.js'

/** The window of a service in which repeats exceed their budget by the most. */
export interface RetryBudgetWindow {
  service: string
  from: Milliseconds
  repeats: number
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

/** Distance by which a window begins after an event that it leaves out. */
const JUST_AFTER: Milliseconds = 1e-6

/**
 * For each service the window that is worst, of all that begin at any moment: arrivals beyond the
 * first of each request, against the requests in it, in the one before or half a window before.
 */
export function worstRetryWindows(
  evidence: Evidence,
  { retryRatio, retrySlack, retryWindow }: DeploymentBounds,
): RetryBudgetWindow[] {
  const services = [...new Set(evidence.arrivals.map(({ service }) => service))]
  return services.map(service => {
    const repeatTimes = repeatsAt(evidence, service)
    const requestTimes = [...evidence.attempts.values()]
      .filter(attempt => isFor(attempt, service))
      .map(({ sentAt }) => sentAt)
    const repeats = new SortedTimes(repeatTimes)
    const requests = new SortedTimes(requestTimes)
    const starts = [...repeatTimes, ...requestTimes].flatMap(at =>
      [0, 1, 0.5, -0.5, -1].flatMap(share => {
        const from = at - share * retryWindow
        return [from, from + JUST_AFTER]
      }),
    )
    let worst: RetryBudgetWindow = { service, from: 0, repeats: 0, allowed: Infinity }
    for (const from of starts) {
      const counted = [0, 1, 0.5].map(share => {
        const begin = from - share * retryWindow
        return requests.count(begin, begin + retryWindow)
      })
      const window = {
        service,
        from,
        repeats: repeats.count(from, from + retryWindow),
        allowed: retryRatio * Math.max(...counted) + retrySlack,
      }
      if (window.repeats > 0 && excessOf(window) > excessOf(worst)) worst = window
    }
    return worst
  })
}

/** How far a window exceeds its budget; negative within it. */
export const excessOf = ({ repeats, allowed }: RetryBudgetWindow): number => repeats - allowed

function repeatsAt({ arrivals }: Evidence, service: string): Milliseconds[] {
  const seen = new Set<string>()
  return arrivals
    .filter(arrival => arrival.service === service)
    .filter(({ id }) => seen.size === seen.add(id).size)
    .map(({ at }) => at)
}

/** Calls count for each service that takes calls, since their route moves. */
function isFor({ kind, load }: Attempt, service: string): boolean {
  return load ? load.service === service : (kind === 'streaming') === (service === 'pool')
}
