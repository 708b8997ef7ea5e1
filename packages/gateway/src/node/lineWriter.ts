import { write } from 'node:fs'

/** Lines beyond this wait for nobody: they are left out and counted. Bytes. */
const LARGEST_BACKLOG = 256 * 1024

/** Writes lines to a file descriptor. */
export interface LineWriter {
  write(line: string): void
  /** Calls back once what was written so far is out. */
  flush(callback: () => void): void
  /** Lines left out since the last call. */
  takeLeftOut(): number
}

/** A writer that never makes its caller wait: one write is under way at a time, and the rest is bounded. */
export function createLineWriter(descriptor: number): LineWriter {
  let waiting: string[] = []
  let size = 0
  let leftOut = 0
  let isWriting = false
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
    next()
  }
  const next = (): void => {
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
      // Lines of one turn of the event loop go out together.
      if (!isWriting && waiting.length === 1) setImmediate(next)
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
