import type { Clock, Milliseconds, Timer } from '../types/clock.js'
import { createBootTime, type ReadBootTime } from './bootTime.js'

/** Drift of wall time against monotonic time; more means a suspension or a clock change. */
const DRIFT_TOLERANCE: Milliseconds = 20
/** Shorter differences are read skew between the sources. */
const MIN_SUSPENSION: Milliseconds = 20
/** Bounds the detection of a suspension that a simultaneous change of the wall time masks. */
const BOOT_TIME_CHECK_INTERVAL: Milliseconds = 250

/** Time sources that the clock combines. */
export interface ClockSources {
  /** Monotonic time, which stops while the machine is suspended. */
  steady(): Milliseconds
  /** Wall time, which may be changed at any moment. */
  timeOfDay(): Milliseconds
  bootTime: ReadBootTime
}

interface PendingTimer {
  at: Milliseconds
  callback: () => void
  handle: NodeJS.Timeout | undefined
}

/**
 * The clock of the machine, and the only code that reads it.
 *
 * Adds the time suspended to the runtime's monotonic clock, which stops during a suspension;
 * leases, deadlines and revoked keys would otherwise stay valid for too long. Reading the boot time
 * on every call would be too slow, so it is read when the wall time has moved against the monotonic
 * time, and at a fixed interval.
 * @default sources: those of the machine
 */
export function createSystemClock(sources: ClockSources = systemSources()): Clock {
  const { steady, timeOfDay, bootTime } = sources
  const timers = new Set<PendingTimer>()
  let checkedAt = steady()
  let drift = timeOfDay() - checkedAt
  const offset = bootTime() - checkedAt
  let suspended: Milliseconds = 0

  function now(): Milliseconds {
    const steadyNow = steady()
    const driftNow = timeOfDay() - steadyNow
    const hasDrifted = Math.abs(driftNow - drift) > DRIFT_TOLERANCE
    if (hasDrifted || steadyNow - checkedAt > BOOT_TIME_CHECK_INTERVAL) {
      drift = driftNow
      checkedAt = steadyNow
      checkBootTime(steadyNow)
    }
    return steadyNow + suspended
  }

  function checkBootTime(steadyNow: Milliseconds): void {
    const measured = bootTime() - steadyNow - offset
    if (measured < suspended + MIN_SUSPENSION) return
    suspended = measured
    rearmTimers(steadyNow + suspended)
  }

  /** Restarts all timers, since the runtime's timers don't count the time suspended. */
  function rearmTimers(from: Milliseconds): void {
    const pending = [...timers].sort((left, right) => left.at - right.at)
    for (const timer of pending) {
      clearTimeout(timer.handle)
      arm(timer, Math.max(0, timer.at - from))
    }
  }

  function arm(timer: PendingTimer, wait: Milliseconds): void {
    timer.handle = setTimeout(() => {
      timers.delete(timer)
      timer.callback()
    }, wait)
  }

  function after(delay: Milliseconds, callback: () => void): Timer {
    const wait = Math.max(0, delay)
    const timer: PendingTimer = { at: now() + wait, callback, handle: undefined }
    arm(timer, wait)
    timers.add(timer)
    return {
      cancel() {
        clearTimeout(timer.handle)
        timers.delete(timer)
      },
    }
  }

  return { now, wallTime: timeOfDay, after }
}

function systemSources(): ClockSources {
  return {
    steady: () => performance.now(),
    timeOfDay: () => Date.now(),
    bootTime: createBootTime(),
  }
}
