/** A duration or an instant in milliseconds. */
export type Milliseconds = number

/** Handle of a scheduled callback. */
export interface Timer {
  cancel(): void
}

/**
 * The only source of time. Decisions take `now` as an argument and all waiting uses `after`, so
 * that tests can run a whole box on a manual clock.
 */
export interface Clock {
  /**
   * Monotonic time, including pauses of the process and suspensions of the machine, so that leases
   * expire.
   */
  now(): Milliseconds
  /** Time since the Unix epoch, for records that people read. Not comparable between boxes. */
  wallTime(): Milliseconds
  /** Runs `callback` once after `delay`. */
  after(delay: Milliseconds, callback: () => void): Timer
}

/** Resolves after `delay` on `clock`. */
export function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
  return new Promise(resolve => clock.after(delay, resolve))
}
