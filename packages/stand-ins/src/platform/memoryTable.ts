import type {
  Clock,
  CommitOutcome,
  Milliseconds,
  Random,
  ReadOutcome,
  StoreRow,
  StoreTransaction,
  TableService,
} from '@yewkeel/decisions'
import { sleep } from '@yewkeel/decisions'
import { createFaults, withFaults } from '../types/faults.js'
import { DroppedConnection } from '../types/handler.js'

export interface MemoryTableOptions {
  clock: Clock
  random: Random
  /**
   * Simulated round-trip time.
   * @default 2
   */
  latency?: Milliseconds
  /**
   * Rate limit; writes beyond it wait.
   * @default 100
   */
  writesPerSecond?: number
  /**
   * Rate limit; reads beyond it wait.
   * @default 2000
   */
  readsPerSecond?: number
}

/** In-memory table service of the platform: versioned rows and conditional transactions. */
export class MemoryTable {
  readonly faults = createFaults()
  readonly counts = { reads: 0, writes: 0 }
  #rows = new Map<string, { value: string; version: number }>()
  /** Sorted keys for listing by prefix; rebuilt on the first listing after a write. */
  #sortedKeys: string[] | undefined
  #nextWriteAt = 0
  #nextReadAt = 0
  #nextVersion = 1

  constructor(readonly options: MemoryTableOptions) {}

  /** Returns a client; setting `link.cut` disconnects that client only. */
  connect(link: { cut: boolean } = { cut: false }): TableService {
    const readRows = (read: () => StoreRow[]) => this.#read(link, read)
    return {
      read: keys => readRows(() => keys.flatMap(key => this.rowOf(key) ?? [])),
      list: (prefix, options) => readRows(() => this.listRows(prefix, options)),
      commit: transaction => this.#commit(link, transaction),
    }
  }

  rowOf(key: string): StoreRow | undefined {
    const row = this.#rows.get(key)
    return row && { key, ...row }
  }

  listRows(prefix: string, { after = '', limit = Infinity } = {}): StoreRow[] {
    this.#sortedKeys ??= [...this.#rows.keys()].sort()
    const keys = this.#sortedKeys
    const found: StoreRow[] = []
    for (let index = lowerBound(keys, prefix); index < keys.length; index++) {
      const key = keys[index]!
      if (!key.startsWith(prefix) || found.length >= limit) break
      if (key > after) found.push(this.rowOf(key)!)
    }
    return found
  }

  /**
   * Applies a transaction atomically, without latency, rate limit or faults.
   * Returns false and writes nothing if the version of a row differs from its condition.
   */
  apply(transaction: StoreTransaction): boolean {
    const isUnchanged = transaction.conditions.every(
      ({ key, version }) => (this.#rows.get(key)?.version ?? 0) === version,
    )
    if (!isUnchanged) return false
    const version = this.#nextVersion++
    for (const { key, value } of transaction.writes) {
      if (value === undefined) this.#rows.delete(key)
      else this.#rows.set(key, { value, version })
    }
    this.#sortedKeys = undefined
    return true
  }

  /** Returns a snapshot of all rows, for `restore`. */
  backup(): Map<string, { value: string; version: number }> {
    return new Map(this.#rows)
  }

  restore(rows: Map<string, { value: string; version: number }>): void {
    this.#rows = new Map(rows)
    this.#sortedKeys = undefined
  }

  async #read(link: { cut: boolean }, read: () => StoreRow[]): Promise<ReadOutcome> {
    try {
      const rows = await this.#roundTrip(link, () => {
        this.counts.reads++
        return this.#rateLimited('read', read)
      })
      return { outcome: 'read', rows }
    } catch {
      return { outcome: 'unavailable' }
    }
  }

  async #commit(link: { cut: boolean }, transaction: StoreTransaction): Promise<CommitOutcome> {
    try {
      const applied = await this.#roundTrip(link, () => {
        this.counts.writes++
        return this.#rateLimited('write', () => this.apply(transaction))
      })
      return applied ? 'committed' : 'conflict'
    } catch (error) {
      return error instanceof DroppedConnection && !error.sent ? 'unavailable' : 'unknown'
    }
  }

  async #roundTrip<T>(link: { cut: boolean }, run: () => Promise<T>): Promise<T> {
    const { clock, latency = 2 } = this.options
    if (link.cut) throw new DroppedConnection(false)
    await sleep(clock, latency / 2)
    const answer = await withFaults(this.faults, this.options, run)
    await sleep(clock, latency / 2)
    if (link.cut) throw new DroppedConnection(true)
    return answer
  }

  async #rateLimited<T>(kind: 'read' | 'write', run: () => T): Promise<T> {
    const { clock, writesPerSecond = 100, readsPerSecond = 2_000 } = this.options
    const now = clock.now()
    const nextAt = kind === 'read' ? this.#nextReadAt : this.#nextWriteAt
    const startAt = Math.max(now, nextAt)
    const interval = 1_000 / (kind === 'read' ? readsPerSecond : writesPerSecond)
    if (kind === 'read') this.#nextReadAt = startAt + interval
    else this.#nextWriteAt = startAt + interval
    if (startAt > now) await sleep(clock, startAt - now)
    return run()
  }
}

function lowerBound(keys: readonly string[], wanted: string): number {
  let low = 0
  let high = keys.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if (keys[middle]! < wanted) low = middle + 1
    else high = middle
  }
  return low
}
