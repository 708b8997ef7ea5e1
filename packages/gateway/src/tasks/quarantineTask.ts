import { every, type TaskFailureHandler } from '@yewkeel/box'
import { sleep, type Clock, type Milliseconds, type Timer } from '@yewkeel/decisions'
import type { EventLog, Store } from '../types/ports.js'
import type { OwnRows } from './lostRowsTask.js'
import type { QuarantineEntry } from '@yewkeel/box'
import type { CrashSuspects } from '@yewkeel/box'

export interface QuarantineTaskOptions {
  clock: Clock
  log: EventLog
  store: Store
  suspects: CrashSuspects
  /**
   * All boxes of the deployment start for the first time, so that no request is quarantined yet.
   */
  isFirstStart: boolean
  /** Whether this box reads the store and removes expired entries for all others. */
  isReader(): boolean
}

/** How often a starting box checks whether it is a reader. */
const FAST_POLL_INTERVAL: Milliseconds = 50
/**
 * After this a running reader has sent its entries to the others, and polling only covers its loss.
 */
const FAST_POLL_PERIOD: Milliseconds = 3_000
const SLOW_POLL_INTERVAL: Milliseconds = 1_000
const RETRY_DELAY: Milliseconds = 1_500
const EXPIRY_INTERVAL: Milliseconds = 30_000
const MAX_WRITE_ATTEMPTS = 3

/**
 * Stores quarantined requests, which are rejected because they crash upstreams. The store preserves
 * them when all boxes restart at once. A starting box receives them from its neighbours; only if
 * none has them do the readers read the store.
 */
export class QuarantineTask implements OwnRows {
  /** Whether this box has all entries from before it started. */
  isComplete: boolean
  /** Entries that this box has written or read, with what only they state. */
  readonly #entries = new Map<string, QuarantineEntry>()
  #expiryTimer: Timer | undefined
  #isStopped = false

  constructor(private readonly options: QuarantineTaskOptions) {
    this.isComplete = options.isFirstStart
  }

  start(onFailure: TaskFailureHandler): void {
    const { clock } = this.options
    void this.#read()
    this.#expiryTimer = every(clock, EXPIRY_INTERVAL, () => this.#removeExpired(), onFailure)
  }

  stop(): void {
    this.#isStopped = true
    this.#expiryTimer?.cancel()
  }

  async #read(): Promise<void> {
    const { clock, log, store, suspects, isReader } = this.options
    const startedAt = clock.now()
    while (!this.isComplete && !this.#isStopped) {
      const isStarting = clock.now() - startedAt < FAST_POLL_PERIOD
      await sleep(clock, isStarting ? FAST_POLL_INTERVAL : SLOW_POLL_INTERVAL)
      if (this.isComplete || !isReader()) continue
      try {
        const entries = await store.readQuarantined()
        suspects.addQuarantined(entries)
        for (const entry of entries) this.#entries.set(entry.request, entry)
        if (entries.length > 0) log.event('condemned-read', { requests: entries.length })
        this.isComplete = true
      } catch (error) {
        log.event('condemned-read-failed', { error: String(error) })
        await sleep(clock, RETRY_DELAY)
      }
    }
  }

  /**
   * Writes an entry with retries. A final failure is only logged: other boxes also have the entry.
   */
  async write(entry: QuarantineEntry): Promise<void> {
    const { clock, log, store } = this.options
    this.#entries.set(entry.request, entry)
    for (let tried = 1; tried <= MAX_WRITE_ATTEMPTS; tried++) {
      try {
        await store.writeQuarantined(entry)
        if (!this.#entries.has(entry.request)) await this.#remove([entry.request])
        return
      } catch (error) {
        log.event('condemned-write-failed', { request: entry.request, tried, error: String(error) })
        await sleep(clock, RETRY_DELAY * tried)
      }
    }
  }

  /**
   * Removes a request that was cleared. `isOwnAnswer`: by an answer of this box. Of the others those
   * remove it that have written or read its entry, since a write may still be under way.
   */
  async clear(request: string, isOwnAnswer: boolean): Promise<void> {
    const isKnown = this.#entries.delete(request)
    if (isOwnAnswer || isKnown) await this.#remove([request])
  }

  /** Writes the entries again that a restored store lacks. Returns their number. */
  async writeLost(): Promise<number> {
    const { store, suspects } = this.options
    const known = suspects.quarantined()
    if (known.length === 0) return 0
    const stored = new Set((await store.readQuarantined()).map(({ request }) => request))
    const lost = known.filter(({ request }) => !stored.has(request))
    for (const entry of lost)
      await store.writeQuarantined(this.#entries.get(entry.request) ?? { ...entry, route: '' })
    return lost.length
  }

  async #removeExpired(): Promise<void> {
    const { log, suspects, isReader } = this.options
    const expired = suspects.removeExpired()
    for (const request of this.#entries.keys())
      if (!suspects.find(request).isCondemned) this.#entries.delete(request)
    if (expired.length === 0) return
    log.event('condemned-lapsed', { requests: expired })
    if (isReader()) await this.#remove(expired)
  }

  async #remove(requests: readonly string[]): Promise<void> {
    const { log, store } = this.options
    try {
      await store.removeQuarantined(requests)
    } catch (error) {
      log.event('condemned-remove-failed', { requests, error: String(error) })
    }
  }
}
