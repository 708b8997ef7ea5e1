import type { Clock, Milliseconds, Timer } from '../types/clock.js'

interface PendingTimer {
  at: Milliseconds
  order: number
  callback: () => void
  cancelled: boolean
}

/** A clock that its owner moves. Timers fire in order, each only after all that the last one set off has run. */
export class ManualClock implements Clock {
  #now = 0
  #order = 0
  /** A heap by time, then by order. */
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

  /** Moves time on by `span`, firing what falls due. */
  async advance(span: Milliseconds): Promise<void> {
    const end = this.#now + span
    await settled()
    for (;;) {
      const next = this.#heap[0]
      if (!next || next.at > end) break
      this.#pop()
      if (next.cancelled) continue
      this.#now = Math.max(this.#now, next.at)
      next.callback()
      await settled()
    }
    this.#now = end
  }

  /**
   * Time goes on by `span` and nothing runs, as for a machine that is suspended. What fell due meanwhile fires late, with the next
   * move: whatever is called before that comes first.
   */
  suspend(span: Milliseconds): void {
    this.#now += span
  }

  /** Moves time on without awaiting, for code that uses timers alone. */
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

/** All promises that can go on without time or input have done so. */
function settled(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
