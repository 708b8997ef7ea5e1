import type { Clock, Milliseconds, TableService } from '@yewkeel/decisions'
import { sleep } from '@yewkeel/decisions'

/** A row to be created if absent. */
export interface NewRow {
  key: string
  value: string
}

/**
 * What became of a row. `created`: it stands with this value, by this write. `exists`: another value stood
 * before. `absent`: known not to be written. `unknown`: nobody can say yet.
 */
export type RowOutcome =
  | { outcome: 'created' }
  | { outcome: 'exists'; value: string; version: number }
  | { outcome: 'absent' }
  | { outcome: 'unknown' }

interface WaitingRow extends NewRow {
  resolve(outcome: RowOutcome): void
}

/** Rows in one transaction. */
const BATCH_SIZE = 100
const READ_TRIES = 3
const READ_PAUSE: Milliseconds = 100

/**
 * Creates rows in groups: those that come while a transaction is under way share the next one. Each row is
 * created or not on its own, and a lost answer is cleared up by reading.
 */
export class RowCreator {
  readonly #waiting: WaitingRow[] = []
  #isWriting = false

  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
  ) {}

  create(row: NewRow): Promise<RowOutcome> {
    return new Promise(resolve => {
      this.#waiting.push({ ...row, resolve })
      if (!this.#isWriting) void this.#writeAll()
    })
  }

  async #writeAll(): Promise<void> {
    this.#isWriting = true
    while (this.#waiting.length > 0) await this.#writeGroup(this.#waiting.splice(0, BATCH_SIZE))
    this.#isWriting = false
  }

  async #writeGroup(group: WaitingRow[]): Promise<void> {
    const rows = group.filter(
      (row, index) => group.findIndex(other => other.key === row.key) === index,
    )
    // Two attempts on one key in one group: the first decides, the others see what stands afterwards.
    const repeated = group.filter(row => !rows.includes(row))
    const outcome = await this.table.commit({
      conditions: rows.map(({ key }) => ({ key, version: 0 })),
      writes: rows.map(({ key, value }) => ({ key, value })),
    })
    if (outcome === 'committed') rows.forEach(row => row.resolve({ outcome: 'created' }))
    else if (outcome === 'unavailable') rows.forEach(row => row.resolve({ outcome: 'absent' }))
    else await this.#resolveByReading(rows, outcome === 'conflict')
    this.#waiting.unshift(...repeated)
  }

  /** After a conflict no row of the group was written: what is absent goes into the next group. */
  async #resolveByReading(rows: WaitingRow[], mayRetry: boolean): Promise<void> {
    const standing = await this.#read(rows.map(row => row.key))
    for (const row of rows) {
      const stands = standing?.get(row.key)
      if (stands) row.resolve(stands.value === row.value ? { outcome: 'created' } : stands)
      else if (standing && mayRetry) this.#waiting.push(row)
      else row.resolve({ outcome: 'unknown' })
    }
  }

  async #read(keys: string[]) {
    for (let tries = 0; tries < READ_TRIES; tries++) {
      const answer = await this.table.read(keys)
      if (answer.outcome === 'read') {
        return new Map(
          answer.rows.map(row => [
            row.key,
            { outcome: 'exists', value: row.value, version: row.version } as const,
          ]),
        )
      }
      await sleep(this.clock, READ_PAUSE)
    }
    return undefined
  }
}
