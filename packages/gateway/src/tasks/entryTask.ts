import type { PeerIdentity } from '@yewkeel/box'
import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'
import type { BoxEntry, EventLog, Store } from '../types/ports.js'

export interface EntryTaskOptions {
  self: PeerIdentity
  clock: Clock
  log: EventLog
  store: Store
  /** All boxes start for the first time, so that none has an entry yet. */
  isFirstStart: boolean
  /** Whether this box clears away the entries of boxes that are gone. */
  clearsAway(): boolean
  /** Entries of boxes that nothing was heard of for long. */
  silentEntries(): string[]
  onEntries(entries: readonly BoxEntry[]): void
}

/** The first box clears away the entries of boxes that are gone this often ... */
const CLEAR_EVERY: Milliseconds = 12_000
/** ... and each looks whether its own entry still stands: it may have been cut off for long. Calls are priced. */
const LOOK_EVERY: Milliseconds = 60_000
/** While the box has no entry it tries again after this, and after twice as long each time. */
const FIRST_PAUSE: Milliseconds = 700
const LONGEST_PAUSE: Milliseconds = 3_000

/** Enters the box in the store, so that others find it, and learns of the others. */
export class EntryTask {
  #hasEntry = false
  #pause = FIRST_PAUSE
  #lookedAt = -Infinity
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
      if (!this.#hasEntry) await this.#enter()
      else if (this.#isDue()) await this.#look()
      this.#pause = CLEAR_EVERY
    } catch (error) {
      this.#pause = this.#hasEntry ? CLEAR_EVERY : Math.min(LONGEST_PAUSE, 2 * this.#pause)
      log.note('entry-failed', { error: String(error), pause: this.#pause })
    }
    this.#timer = clock.after(this.#pause, () => void this.#run())
  }

  #isDue(): boolean {
    const isOld = this.options.clock.now() - this.#lookedAt >= LOOK_EVERY
    return isOld || this.options.clearsAway()
  }

  /**
   * The entry of a box that returns mostly still stands: 390 starts a day in a deployment of 195 boxes then take one call
   * each in place of two. A box that finds no other looks again once it has written: of two that enter at the same moment,
   * one at least sees the other.
   */
  async #enter(): Promise<void> {
    const { isFirstStart } = this.options
    if (isFirstStart) await this.#write()
    const others = await this.#look()
    if (others === 0 && !isFirstStart) await this.#look()
    this.#hasEntry = true
  }

  /** Reads the entries, and writes its own where it is missing. Gives how many there are of others. */
  async #look(): Promise<number> {
    const { clock, store, self, onEntries } = this.options
    const entries = await store.readBoxes()
    this.#lookedAt = clock.now()
    onEntries(entries)
    const others = entries.filter(({ box }) => box !== self.box)
    const isEntered = entries.some(({ box, peerAddress }) => isSelf(self, box, peerAddress))
    if (!isEntered) await this.#write()
    await this.#clearAway(entries)
    return others.length
  }

  async #write(): Promise<void> {
    const { box, dataCentre, entryAddress, peerAddress } = this.options.self
    await this.options.store.writeBox({ box, dataCentre, entryAddress, peerAddress })
  }

  async #clearAway(entries: readonly BoxEntry[]): Promise<void> {
    const { clock, store, log, clearsAway, silentEntries } = this.options
    if (!clearsAway() || clock.now() - this.#startedAt < CLEAR_EVERY) return
    const silent = new Set(silentEntries())
    const gone = entries.filter(entry => silent.has(entry.box)).map(entry => entry.box)
    if (gone.length === 0) return
    await store.removeBoxes(gone)
    log.note('entries-removed', { boxes: gone })
  }
}

function isSelf(self: PeerIdentity, box: string, peerAddress: string): boolean {
  return box === self.box && peerAddress === self.peerAddress
}
