import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'

/**
 * A box's own view of the clock. While it is paused its timers do not fire and nothing reaches it, but time
 * goes on, as for a stopped process; when it wakes everything that was due happens at once.
 */
export class PausableClock implements Clock {
  #isPaused = false
  #due: (() => void)[] = []

  constructor(private readonly world: Clock) {}

  now(): Milliseconds {
    return this.world.now()
  }

  wallTime(): Milliseconds {
    return this.world.wallTime()
  }

  after(delay: Milliseconds, callback: () => void): Timer {
    let isCancelled = false
    const timer = this.world.after(delay, () => {
      this.run(() => {
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

  /** Runs at once, or when the box wakes. */
  run(callback: () => void): void {
    if (this.#isPaused) this.#due.push(callback)
    else callback()
  }

  /** Resolves at once, or when the box wakes. */
  gate(): Promise<void> {
    return new Promise(resolve => this.run(resolve))
  }

  pause(): void {
    this.#isPaused = true
  }

  resume(): void {
    this.#isPaused = false
    const due = this.#due
    this.#due = []
    due.forEach(callback => callback())
  }
}
