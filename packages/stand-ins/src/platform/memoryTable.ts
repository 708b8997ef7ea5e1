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
   * Time of one round trip.
   * @default 2
   */
  latency?: Milliseconds
  /**
   * Writes that are taken each second; more wait their turn.
   * @default 100
   */
  writesPerSecond?: number
  /** @default 2000 */
  readsPerSecond?: number
}

/** The platform's transactional table service: rows with versions, transactions, a rate limit and faults. */
export class MemoryTable {
  readonly faults = createFaults()
  readonly counts = { reads: 0, writes: 0 }
  #rows = new Map<string, { value: string; version: number }>()
  /** Sorted keys, for listing by prefix; made anew after a write of a new key. */
  #sortedKeys: string[] | undefined
  #writeFreeAt = 0
  #readFreeAt = 0
  #nextVersion = 1

  constructor(readonly options: MemoryTableOptions) {}

  /** A client on a link of its own, which a test may cut. */
  connect(link: { cut: boolean } = { cut: false }): TableService {
    const reading = (read: () => StoreRow[]) => this.#read(link, read)
    return {
      read: keys => reading(() => keys.flatMap(key => this.rowOf(key) ?? [])),
      list: (prefix, options) => reading(() => this.listRows(prefix, options)),
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

  /** Applies a transaction at once. False when a condition does not hold. */
  apply(transaction: StoreTransaction): boolean {
    const holds = transaction.conditions.every(
      ({ key, version }) => (this.#rows.get(key)?.version ?? 0) === version,
    )
    if (!holds) return false
    const version = this.#nextVersion++
    for (const { key, value } of transaction.writes) {
      if (value === undefined) this.#rows.delete(key)
      else this.#rows.set(key, { value, version })
    }
    this.#sortedKeys = undefined
    return true
  }

  /** A copy of all rows, as a backup would hold it. */
  backup(): Map<string, { value: string; version: number }> {
    return new Map(this.#rows)
  }

  restore(rows: Map<string, { value: string; version: number }>): void {
    this.#rows = new Map(rows)
    this.#sortedKeys = undefined
  }

  async #read(link: { cut: boolean }, read: () => StoreRow[]): Promise<ReadOutcome> {
    try {
      const rows = await this.#reach(link, () => {
        this.counts.reads++
        return this.#paced('read', read)
      })
      return { outcome: 'read', rows }
    } catch {
      return { outcome: 'unavailable' }
    }
  }

  async #commit(link: { cut: boolean }, transaction: StoreTransaction): Promise<CommitOutcome> {
    try {
      const applied = await this.#reach(link, () => {
        this.counts.writes++
        return this.#paced('write', () => this.apply(transaction))
      })
      return applied ? 'committed' : 'conflict'
    } catch (error) {
      return error instanceof DroppedConnection && !error.sent ? 'unavailable' : 'unknown'
    }
  }

  async #reach<T>(link: { cut: boolean }, run: () => Promise<T>): Promise<T> {
    const { clock, latency = 2 } = this.options
    if (link.cut) throw new DroppedConnection(false)
    await sleep(clock, latency / 2)
    const answer = await withFaults(this.faults, this.options, run)
    await sleep(clock, latency / 2)
    if (link.cut) throw new DroppedConnection(true)
    return answer
  }

  async #paced<T>(kind: 'read' | 'write', run: () => T): Promise<T> {
    const { clock, writesPerSecond = 100, readsPerSecond = 2_000 } = this.options
    const now = clock.now()
    const free = kind === 'read' ? this.#readFreeAt : this.#writeFreeAt
    const turn = Math.max(now, free)
    const gap = 1_000 / (kind === 'read' ? readsPerSecond : writesPerSecond)
    if (kind === 'read') this.#readFreeAt = turn + gap
    else this.#writeFreeAt = turn + gap
    if (turn > now) await sleep(clock, turn - now)
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
