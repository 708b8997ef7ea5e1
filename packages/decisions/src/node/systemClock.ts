import type { Clock } from '../types/clock.js'

/** The clock of the machine. The only place that reads it. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    after(delay, callback) {
      const timer = setTimeout(callback, Math.max(0, delay))
      return { cancel: () => clearTimeout(timer) }
    },
  }
}
