import type { PeerIdentity } from '@yewkeel/box'
import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'
import type { OwnRows } from './lostRowsTask.js'
import type { BoxEntry, EventLog, Store } from '../types/ports.js'

export interface EntryTaskOptions {
  self: PeerIdentity
  clock: Clock
  log: EventLog
  store: Store
  /** All boxes of the deployment start for the first time, so that none is registered yet. */
  isFirstStart: boolean
  /** Whether this box is the one that removes the entries of silent boxes. */
  removesSilentEntries(): boolean
  /** Names of registered boxes that have been silent for long. */
  silentEntries(): string[]
  onEntries(entries: readonly BoxEntry[]): void
  /** Entries of the other boxes that are alive. */
  liveEntries(): readonly BoxEntry[]
}

/** How often the first box removes the entries of silent boxes. */
const REMOVAL_INTERVAL: Milliseconds = 12_000
/** How often a box checks that others have not removed its entry. Store calls are billed. */
const CHECK_INTERVAL: Milliseconds = 60_000
/** Exponential back-off while the box is not registered. */
const INITIAL_BACKOFF: Milliseconds = 700
const MAX_BACKOFF: Milliseconds = 3_000

/** Registers the box in the store and reads the entries of the others. */
export class EntryTask implements OwnRows {
  #hasEntry = false
  #delay = INITIAL_BACKOFF
  #readAt = -Infinity
  #timer: Timer | undefined
  readonly #startedAt: Milliseconds

  constructor(private readonly options: EntryTaskOptions) {
    this.#startedAt = options.clock.now()
  }

  start(): void {
    void this.#run()
  }

  stop(): void {
    this.#timer?.cancel()
  }

  async #run(): Promise<void> {
    const { clock, log } = this.options
    try {
      if (!this.#hasEntry) await this.#register()
      else if (this.#isDue()) await this.#readEntries()
      this.#delay = REMOVAL_INTERVAL
    } catch (error) {
      this.#delay = this.#hasEntry ? REMOVAL_INTERVAL : Math.min(MAX_BACKOFF, 2 * this.#delay)
      log.event('entry-failed', { error: String(error), pause: this.#delay })
    }
    this.#timer = clock.after(this.#delay, () => void this.#run())
  }

  #isDue(): boolean {
    const isOld = this.options.clock.now() - this.#readAt >= CHECK_INTERVAL
    return isOld || this.options.removesSilentEntries()
  }

  /**
   * Reads before it writes, since the entry of a restarted box usually still exists. A box that
   * finds no other reads again after its write: of two that register concurrently, at least one
   * sees the other.
   */
  async #register(): Promise<void> {
    const { isFirstStart } = this.options
    if (isFirstStart) await this.#writeEntry()
    const others = await this.#readEntries()
    if (others === 0 && !isFirstStart) await this.#readEntries()
    this.#hasEntry = true
  }

  /** Reads the entries, and writes its own if it is missing. Returns the number of other boxes. */
  async #readEntries(): Promise<number> {
    const { clock, store, self, onEntries } = this.options
    const entries = await store.readBoxes()
    this.#readAt = clock.now()
    onEntries(entries)
    const others = entries.filter(({ box }) => box !== self.box)
    const isRegistered = entries.some(entry => isSameBox(self, entry))
    if (!isRegistered) await this.#writeEntry()
    await this.#removeSilentEntries(entries)
    return others.length
  }

  async #writeEntry(): Promise<void> {
    await this.options.store.writeBox(entryOf(this.options.self))
  }

  /**
   * Writes the entries of all live boxes that a restored store lacks, and removes those of silent
   * boxes that it has again. Returns the number of entries written.
   */
  async writeLost(): Promise<number> {
    const { store, self, liveEntries, onEntries } = this.options
    const entries = await store.readBoxes()
    const live = [entryOf(self), ...liveEntries().map(entryOf)]
    const lost = live.filter(known => !entries.some(entry => isSameBox(known, entry)))
    const names = new Set(lost.map(({ box }) => box))
    onEntries([...entries.filter(({ box }) => !names.has(box)), ...lost])
    if (lost.length > 0) await store.writeBoxes(lost)
    await this.#removeSilentEntries(entries)
    return lost.length
  }

  async #removeSilentEntries(entries: readonly BoxEntry[]): Promise<void> {
    const { clock, store, log, removesSilentEntries, silentEntries } = this.options
    if (!removesSilentEntries() || clock.now() - this.#startedAt < REMOVAL_INTERVAL) return
    const silent = new Set(silentEntries())
    const removed = entries.filter(entry => silent.has(entry.box)).map(entry => entry.box)
    if (removed.length === 0) return
    await store.removeBoxes(removed)
    log.event('entries-removed', { boxes: removed })
  }
}

/** Whether both entries are of the same run of a box. */
function isSameBox(left: BoxEntry, right: BoxEntry): boolean {
  return left.box === right.box && left.peerAddress === right.peerAddress
}

function entryOf({ box, dataCentre, entryAddress, peerAddress }: BoxEntry): BoxEntry {
  return { box, dataCentre, entryAddress, peerAddress }
}
