import { every } from '@yewkeel/box'
import { sleep, type Clock, type Milliseconds, type Timer } from '@yewkeel/decisions'
import type { EventLog, Store } from '../types/ports.js'
import type { CondemnedEntry } from '@yewkeel/box'
import type { CrashSuspects } from '@yewkeel/box'

export interface CondemnedTaskOptions {
  clock: Clock
  log: EventLog
  store: Store
  suspects: CrashSuspects
  /** All boxes start for the first time: nothing was condemned yet. */
  isFirstStart: boolean
  /** Whether this box reads and clears for all others. */
  isReader(): boolean
}

/** A box that starts looks this often whether it is the one to read ... */
const LOOK_EVERY: Milliseconds = 50
/** ... for so long; by then those that read have told the others, and it takes over only if they are gone. */
const LOOKS_CLOSELY_FOR: Milliseconds = 3_000
const LOOK_LATER_EVERY: Milliseconds = 1_000
const AFTER_FAILURE: Milliseconds = 1_500
const FORGET_EVERY: Milliseconds = 30_000
const WRITE_TRIES = 3

/**
 * Keeps condemned requests in the store, so that they stay condemned when all boxes end at once. A box that starts learns them of its neighbours;
 * only where none knows, the first boxes read the store. One write for each condemned request, one call to take lapsed ones away.
 */
export class CondemnedTask {
  /** All that was condemned before this run of the box began is known. */
  isComplete: boolean
  #rounds: Timer | undefined
  #isStopped = false

  constructor(private readonly options: CondemnedTaskOptions) {
    this.isComplete = options.isFirstStart
  }

  start(): void {
    void this.#read()
    this.#rounds = every(this.options.clock, FORGET_EVERY, () => void this.#forget())
  }

  stop(): void {
    this.#isStopped = true
    this.#rounds?.cancel()
  }

  async #read(): Promise<void> {
    const { clock, log, store, suspects, isReader } = this.options
    const startedAt = clock.now()
    while (!this.isComplete && !this.#isStopped) {
      const isStarting = clock.now() - startedAt < LOOKS_CLOSELY_FOR
      await sleep(clock, isStarting ? LOOK_EVERY : LOOK_LATER_EVERY)
      if (this.isComplete || !isReader()) continue
      try {
        const entries = await store.readCondemned()
        suspects.takeCondemned(entries)
        if (entries.length > 0) log.note('condemned-read', { requests: entries.length })
        this.isComplete = true
      } catch (error) {
        log.note('condemned-read-failed', { error: String(error) })
        await sleep(clock, AFTER_FAILURE)
      }
    }
  }

  /** Others know of it without the store; it serves when all have ended. */
  async write(entry: CondemnedEntry): Promise<void> {
    const { clock, log, store } = this.options
    for (let tried = 1; tried <= WRITE_TRIES; tried++) {
      try {
        await store.writeCondemned(entry)
        return
      } catch (error) {
        log.note('condemned-write-failed', { request: entry.request, tried, error: String(error) })
        await sleep(clock, AFTER_FAILURE * tried)
      }
    }
  }

  async #forget(): Promise<void> {
    const { log, store, suspects, isReader } = this.options
    const lapsed = suspects.forgetLapsed()
    if (lapsed.length === 0) return
    log.note('condemned-lapsed', { requests: lapsed })
    if (!isReader()) return
    try {
      await store.removeCondemned(lapsed)
    } catch (error) {
      log.note('condemned-remove-failed', { requests: lapsed, error: String(error) })
    }
  }
}
