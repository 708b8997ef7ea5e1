import { every } from '@yewkeel/box'
import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'

const LOOK_EVERY: Milliseconds = 100
/** A busy box is late by some 100 ms. */
const PAUSED_FROM: Milliseconds = 500

/**
 * Sees that the box itself stood still: frozen, or suspended with its machine. It then finds connections dead that broke long ago, all at once, and
 * cannot say of what.
 */
export class PauseWatch {
  #lookedAt: Milliseconds
  #wokeAt: Milliseconds = -Infinity

  constructor(private readonly clock: Clock) {
    this.#lookedAt = clock.now()
  }

  start(): Timer {
    return every(this.clock, LOOK_EVERY, () => this.#look())
  }

  /** Whether the box stood still at some time after `since`. Also right before the first timer after the wake. */
  hasPausedSince(since: Milliseconds): boolean {
    this.#look()
    return this.#wokeAt > since
  }

  #look(): void {
    const now = this.clock.now()
    if (now - this.#lookedAt > PAUSED_FROM) this.#wokeAt = now
    this.#lookedAt = now
  }
}
