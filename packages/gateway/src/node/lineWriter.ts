import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'
import { write } from 'node:fs'

/** Lines that would exceed this backlog are dropped and counted. */
const MAX_BACKLOG_BYTES = 256 * 1024

/**
 * Lines of this interval are written together, since each write costs a thread switch: one for each
 * turn of the event loop took 5 % of a box's processor time. A crash loses them too.
 */
const BATCH_INTERVAL: Milliseconds = 50

/** Writes lines to a file descriptor. */
export interface LineWriter {
  write(line: string): void
  /** Calls back when all lines so far, and those written meanwhile, are written. */
  flush(callback: () => void): void
  /** Returns the number of dropped lines since the last call. */
  takeDropped(): number
}

/** Creates a writer that never blocks: one write at a time, and a bounded backlog. */
export function createLineWriter(descriptor: number, clock: Clock): LineWriter {
  let backlog: string[] = []
  let backlogSize = 0
  let dropped = 0
  let isWriting = false
  let batchTimer: Timer | undefined
  let flushCallbacks: (() => void)[] = []

  const writeAll = (bytes: Buffer, from: number): void => {
    write(descriptor, bytes, from, (error, written) => {
      const end = from + (written ?? 0)
      if (error && error.code !== 'EAGAIN') return finishWrite()
      if (end < bytes.length) return writeAll(bytes, end)
      finishWrite()
    })
  }
  const finishWrite = (): void => {
    isWriting = false
    if (flushCallbacks.length > 0) writeBacklog()
    else if (backlog.length > 0) scheduleWrite()
  }
  const scheduleWrite = (): void => {
    batchTimer ??= clock.after(BATCH_INTERVAL, writeBacklog)
  }
  const writeBacklog = (): void => {
    batchTimer?.cancel()
    batchTimer = undefined
    if (isWriting) return
    if (backlog.length === 0) {
      const callbacks = flushCallbacks
      flushCallbacks = []
      for (const callback of callbacks) callback()
      return
    }
    isWriting = true
    const bytes = Buffer.from(backlog.join(''))
    backlog = []
    backlogSize = 0
    writeAll(bytes, 0)
  }
  return {
    write(line) {
      if (backlogSize + line.length > MAX_BACKLOG_BYTES) {
        dropped++
        return
      }
      backlog.push(line)
      backlogSize += line.length
      if (!isWriting) scheduleWrite()
    },
    flush(callback) {
      flushCallbacks.push(callback)
      setImmediate(writeBacklog)
    },
    takeDropped() {
      const count = dropped
      dropped = 0
      return count
    },
  }
}
