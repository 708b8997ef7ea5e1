/** A span or an instant in milliseconds. */
export type Milliseconds = number

/** A timer that may be stopped before it fires. */
export interface Timer {
  cancel(): void
}

/**
 * The only source of time. Decisions get `now` passed in; everything that waits goes through `after`,
 * so that a test can run a whole box on a clock that it moves itself.
 */
export interface Clock {
  /** Monotonic time. Goes on while the process is paused or its machine is suspended, so that a holder sees its lease lapse. */
  now(): Milliseconds
  /** Time since the Unix epoch, for records that people read. Never compared between boxes. */
  wallTime(): Milliseconds
  /** Runs `callback` once after `delay`. */
  after(delay: Milliseconds, callback: () => void): Timer
}

/** Resolves after `delay` on the given clock. */
export function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
  return new Promise(resolve => clock.after(delay, resolve))
}
