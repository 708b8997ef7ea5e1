import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'
import { write } from 'node:fs'

/** Lines beyond this wait for nobody: they are left out and counted. Bytes. */
const LARGEST_BACKLOG = 256 * 1024

/**
 * Lines of this time go out together: each write wakes a thread of the runtime, and one for each turn of the event loop was 5 %
 * of a box's processor time (profile of a box under mixed load). As much is lost of the lines of a box that loses power.
 */
const GATHERED_FOR: Milliseconds = 50

/** Writes lines to a file descriptor. */
export interface LineWriter {
  write(line: string): void
  /** Calls back once what was written so far is out. */
  flush(callback: () => void): void
  /** Lines left out since the last call. */
  takeLeftOut(): number
}

/** A writer that never makes its caller wait: one write is under way at a time, and the rest is bounded. */
export function createLineWriter(descriptor: number, clock: Clock): LineWriter {
  let waiting: string[] = []
  let size = 0
  let leftOut = 0
  let isWriting = false
  let gathering: Timer | undefined
  let onEmpty: (() => void)[] = []

  const writeAll = (bytes: Buffer, from: number): void => {
    write(descriptor, bytes, from, (error, written) => {
      const next = from + (written ?? 0)
      if (error && error.code !== 'EAGAIN') return finishWrite()
      if (next < bytes.length) return writeAll(bytes, next)
      finishWrite()
    })
  }
  const finishWrite = (): void => {
    isWriting = false
    if (onEmpty.length > 0) next()
    else if (waiting.length > 0) gather()
  }
  const gather = (): void => {
    gathering ??= clock.after(GATHERED_FOR, next)
  }
  const next = (): void => {
    gathering?.cancel()
    gathering = undefined
    if (isWriting) return
    if (waiting.length === 0) {
      const callbacks = onEmpty
      onEmpty = []
      for (const callback of callbacks) callback()
      return
    }
    isWriting = true
    const bytes = Buffer.from(waiting.join(''))
    waiting = []
    size = 0
    writeAll(bytes, 0)
  }
  return {
    write(line) {
      if (size + line.length > LARGEST_BACKLOG) {
        leftOut++
        return
      }
      waiting.push(line)
      size += line.length
      if (!isWriting) gather()
    },
    flush(callback) {
      onEmpty.push(callback)
      setImmediate(next)
    },
    takeLeftOut() {
      const count = leftOut
      leftOut = 0
      return count
    },
  }
}
