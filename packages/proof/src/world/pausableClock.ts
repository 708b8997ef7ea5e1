import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'

/**
 * Clock of one box. While it is paused, time advances but callbacks are deferred, as for a stopped
 * process; `resume` runs the deferred callbacks at once, in order.
 */
export class PausableClock implements Clock {
  #isPaused = false
  #deferred: (() => void)[] = []

  constructor(private readonly source: Clock) {}

  now(): Milliseconds {
    return this.source.now()
  }

  wallTime(): Milliseconds {
    return this.source.wallTime()
  }

  after(delay: Milliseconds, callback: () => void): Timer {
    let isCancelled = false
    const timer = this.source.after(delay, () => {
      this.runOrDefer(() => {
        if (!isCancelled) callback()
      })
    })
    return {
      cancel() {
        isCancelled = true
        timer.cancel()
      },
    }
  }

  /** Runs the callback at once, or on `resume` if the clock is paused. */
  runOrDefer(callback: () => void): void {
    if (this.#isPaused) this.#deferred.push(callback)
    else callback()
  }

  /** Resolves at once, or on `resume` if the clock is paused. */
  whenResumed(): Promise<void> {
    return new Promise(resolve => this.runOrDefer(resolve))
  }

  pause(): void {
    this.#isPaused = true
  }

  resume(): void {
    this.#isPaused = false
    const deferred = this.#deferred
    this.#deferred = []
    deferred.forEach(callback => callback())
  }
}
