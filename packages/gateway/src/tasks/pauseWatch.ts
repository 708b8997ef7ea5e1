import { every, type TaskFailureHandler } from '@yewkeel/box'
import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'

const CHECK_INTERVAL: Milliseconds = 100
/** Well above the timer delay of a busy box. */
const PAUSE_THRESHOLD: Milliseconds = 500

/**
 * Detects that the process was paused, for example suspended with its machine. Connections that
 * broke during the pause fail together afterwards, which says nothing about the upstreams.
 */
export class PauseWatch {
  #checkedAt: Milliseconds
  #resumedAt: Milliseconds = -Infinity

  constructor(private readonly clock: Clock) {
    this.#checkedAt = clock.now()
  }

  start(onFailure: TaskFailureHandler): Timer {
    return every(this.clock, CHECK_INTERVAL, () => this.#check(), onFailure)
  }

  /**
   * Whether the process was paused after `since`. Correct even before the first timer after the
   * pause.
   */
  hasPausedSince(since: Milliseconds): boolean {
    this.#check()
    return this.#resumedAt > since
  }

  #check(): void {
    const now = this.clock.now()
    if (now - this.#checkedAt > PAUSE_THRESHOLD) this.#resumedAt = now
    this.#checkedAt = now
  }
}
