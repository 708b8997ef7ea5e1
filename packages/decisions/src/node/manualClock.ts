import type { Clock, Milliseconds, Timer } from '../types/clock.js'

interface PendingTimer {
  at: Milliseconds
  order: number
  callback: () => void
  cancelled: boolean
}

/**
 * A clock for tests that is advanced by hand. Timers fire in order, each after the promises of the
 * last have settled.
 */
export class ManualClock implements Clock {
  #now = 0
  #order = 0
  /** Binary heap by time, then by creation order. */
  readonly #heap: PendingTimer[] = []

  constructor(readonly epoch: Milliseconds = Date.UTC(2026, 0, 1)) {}

  now(): Milliseconds {
    return this.#now
  }

  wallTime(): Milliseconds {
    return this.epoch + this.#now
  }

  after(delay: Milliseconds, callback: () => void): Timer {
    const timer: PendingTimer = {
      at: this.#now + Math.max(0, delay),
      order: this.#order++,
      callback,
      cancelled: false,
    }
    this.#push(timer)
    return { cancel: () => (timer.cancelled = true) }
  }

  /** Advances time by `span`, fires due timers and lets promises settle between them. */
  async advance(span: Milliseconds): Promise<void> {
    const end = this.#now + span
    await flushPromises()
    for (;;) {
      const next = this.#heap[0]
      if (!next || next.at > end) break
      this.#pop()
      if (next.cancelled) continue
      this.#now = Math.max(this.#now, next.at)
      next.callback()
      await flushPromises()
    }
    this.#now = end
  }

  /**
   * Advances time by `span` without firing timers, like a suspended machine. Due timers fire with
   * the next advance.
   */
  suspend(span: Milliseconds): void {
    this.#now += span
  }

  /** Advances time synchronously: fires due timers without letting promises settle. */
  advanceSync(span: Milliseconds): void {
    const end = this.#now + span
    for (let next = this.#heap[0]; next && next.at <= end; next = this.#heap[0]) {
      this.#pop()
      if (next.cancelled) continue
      this.#now = Math.max(this.#now, next.at)
      next.callback()
    }
    this.#now = end
  }

  #push(timer: PendingTimer): void {
    const heap = this.#heap
    let index = heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(heap[index]!, heap[parent]!)) return
      swap(heap, index, parent)
      index = parent
    }
  }

  #pop(): void {
    const heap = this.#heap
    const last = heap.pop()!
    if (heap.length === 0) return
    heap[0] = last
    let index = 0
    for (;;) {
      const left = index * 2 + 1
      const right = left + 1
      let least = index
      if (left < heap.length && isBefore(heap[left]!, heap[least]!)) least = left
      if (right < heap.length && isBefore(heap[right]!, heap[least]!)) least = right
      if (least === index) return
      swap(heap, index, least)
      index = least
    }
  }
}

function isBefore(left: PendingTimer, right: PendingTimer): boolean {
  return left.at !== right.at ? left.at < right.at : left.order < right.order
}

function swap(heap: PendingTimer[], left: number, right: number): void {
  const kept = heap[left]!
  heap[left] = heap[right]!
  heap[right] = kept
}

/** Resolves after all pending microtasks have run. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
