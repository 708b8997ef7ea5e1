import type { Clock, Milliseconds, Timer } from '../types/clock.js'
import { createBootTime, type ReadBootTime } from './bootTime.js'

/** The time of day moves against the steady clock by less than this unless somebody sets it, or the machine is suspended. */
const DRIFT_TOLERANCE: Milliseconds = 20
/** What is shorter is no suspension: the sources are read one after the other. */
const LEAST_SUSPENSION: Milliseconds = 20
/** A suspension that a change of the time of day at the same moment has hidden is found within this. */
const LOOK_EVERY: Milliseconds = 250

/** What the clock is made of. */
export interface ClockSources {
  /** Stands still while the machine is suspended. */
  steady(): Milliseconds
  /** May be set by somebody at any moment. */
  timeOfDay(): Milliseconds
  bootTime: ReadBootTime
}

interface PendingTimer {
  at: Milliseconds
  callback: () => void
  handle: NodeJS.Timeout | undefined
}

/**
 * The clock of the machine. The only place that reads it.
 *
 * It is the runtime's steady clock and the time for which the machine was suspended: the first stands still meanwhile, so that a key
 * that was taken away, a lease or a deadline would last longer by that. The boot clock, which goes on, is asked when the
 * time of day has moved against the steady clock, so that the first look after a wake sees it, and four times a second; asking it
 * at each look would cost each request some 50 µs.
 * @default sources: those of the machine
 */
export function createSystemClock(sources: ClockSources = systemSources()): Clock {
  const { steady, timeOfDay, bootTime } = sources
  const timers = new Set<PendingTimer>()
  let lookedAt = steady()
  let drift = timeOfDay() - lookedAt
  const offset = bootTime() - lookedAt
  let suspended: Milliseconds = 0

  function now(): Milliseconds {
    const steadyNow = steady()
    const driftNow = timeOfDay() - steadyNow
    const isMoved = Math.abs(driftNow - drift) > DRIFT_TOLERANCE
    if (isMoved || steadyNow - lookedAt > LOOK_EVERY) {
      drift = driftNow
      lookedAt = steadyNow
      look(steadyNow)
    }
    return steadyNow + suspended
  }

  function look(steadyNow: Milliseconds): void {
    const seen = bootTime() - steadyNow - offset
    if (seen < suspended + LEAST_SUSPENSION) return
    suspended = seen
    armAnew(steadyNow + suspended)
  }

  /** The runtime's own timers would wait for the time of the suspension once more. */
  function armAnew(from: Milliseconds): void {
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
