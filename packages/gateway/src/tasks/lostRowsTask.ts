import { sleep, type Clock, type Milliseconds } from '@yewkeel/decisions'
import type { EventLog } from '../types/ports.js'

/** Rows that boxes wrote to the store themselves. */
export interface OwnRows {
  /** Reads the rows, and writes those again that should be there. Returns how many. */
  writeLost(): Promise<number>
}

export interface LostRowsTaskOptions {
  clock: Clock
  log: EventLog
  /** Whether this box writes for all others; a box that reaches the store. */
  isLeader(): boolean
  rows: Record<string, OwnRows>
}

/** Boxes agree again by then on who leads, after the store has answered some before others. */
const SETTLE_DELAY: Milliseconds = 1_000
/** For this long another box takes over from a leader that is lost or cut off. */
const TAKEOVER_PERIOD: Milliseconds = 10_000
const CHECK_INTERVAL: Milliseconds = 500

/**
 * Writes the boxes' own rows again after a restore of the store. The leader alone does it, since
 * calls are billed.
 */
export class LostRowsTask {
  #restores = 0

  constructor(private readonly options: LostRowsTaskOptions) {}

  /** The store was restored from an older copy. */
  onStoreRestored(): void {
    const restore = ++this.#restores
    for (const name of Object.keys(this.options.rows)) void this.#write(name, restore)
  }

  stop(): void {
    this.#restores++
  }

  async #write(name: string, restore: number): Promise<void> {
    const { clock, isLeader } = this.options
    const until = clock.now() + TAKEOVER_PERIOD
    await sleep(clock, SETTLE_DELAY)
    while (clock.now() < until && restore === this.#restores) {
      if (isLeader() && (await this.#tryWrite(name))) return
      await sleep(clock, CHECK_INTERVAL)
    }
  }

  async #tryWrite(name: string): Promise<boolean> {
    const { log, rows } = this.options
    try {
      const written = await rows[name]!.writeLost()
      log.event('lost-rows-written', { rows: name, written })
      return true
    } catch (error) {
      log.event('lost-rows-failed', { rows: name, error: String(error) })
      return false
    }
  }
}
