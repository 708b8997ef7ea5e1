import os from 'node:os'
import koffi from 'koffi'
import type { Milliseconds } from '../types/clock.js'

/** Returns the time since the system booted, including time suspended. */
export type ReadBootTime = () => Milliseconds

/** Clock id of Linux, which Node.js does not expose. */
const CLOCK_BOOTTIME = 7
/** Size of a `timespec`: seconds and nanoseconds, 64 bits each. */
const TIMESPEC_BYTES = 16
const NANOSECONDS_OFFSET = 8
const MILLISECONDS_PER_SECOND = 1_000
const NANOSECONDS_PER_MILLISECOND = 1_000_000

/**
 * Reads CLOCK_BOOTTIME through glibc. Falls back to `os.uptime()`, which is slower, has a
 * resolution of 10 ms and ignores the time namespace of a container.
 */
export function createBootTime(): ReadBootTime {
  const clockGetTime = loadClockGetTime()
  if (!clockGetTime) return () => os.uptime() * MILLISECONDS_PER_SECOND
  const time = Buffer.alloc(TIMESPEC_BYTES)
  return () => {
    clockGetTime(CLOCK_BOOTTIME, time)
    const seconds = Number(time.readBigInt64LE(0))
    const nanoseconds = Number(time.readBigInt64LE(NANOSECONDS_OFFSET))
    return seconds * MILLISECONDS_PER_SECOND + nanoseconds / NANOSECONDS_PER_MILLISECOND
  }
}

/** Undefined if glibc cannot be loaded. */
function loadClockGetTime(): ((clock: number, time: Buffer) => number) | undefined {
  if (process.platform !== 'linux') return undefined
  try {
    return koffi.load('libc.so.6').func('int clock_gettime(int clock, _Out_ uint8_t *time)')
  } catch (error) {
    process.emitWarning(
      `could not load clock_gettime from libc.so.6; using os.uptime() instead: ${String(error)}`,
    )
    return undefined
  }
}
