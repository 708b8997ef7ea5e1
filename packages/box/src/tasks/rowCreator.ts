import type { Clock, Milliseconds, TableService } from '@yewkeel/decisions'
import { sleep } from '@yewkeel/decisions'

/** A row to create unless its key exists. */
export interface NewRow {
  key: string
  value: string
}

/**
 * Outcome of a creation. `created`: the row is stored with this value. `exists`: the key already
 * has another value. `absent`: the row was not written. `unknown`: the row may have been written.
 */
export type RowOutcome =
  | { outcome: 'created' }
  | { outcome: 'exists'; value: string; version: number }
  | { outcome: 'absent' }
  | { outcome: 'unknown' }

interface QueuedRow extends NewRow {
  resolve(outcome: RowOutcome): void
}

/** Rows per transaction. */
const BATCH_SIZE = 100
const MAX_READ_ATTEMPTS = 3
const READ_RETRY_DELAY: Milliseconds = 100

/**
 * Creates rows in batches: rows queued during a transaction share the next one. Each row succeeds
 * or fails on its own; after a lost reply its outcome is determined by reading.
 */
export class RowCreator {
  readonly #queue: QueuedRow[] = []
  #isWriting = false

  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
  ) {}

  create(row: NewRow): Promise<RowOutcome> {
    return new Promise(resolve => {
      this.#queue.push({ ...row, resolve })
      if (!this.#isWriting) void this.#writeQueue()
    })
  }

  async #writeQueue(): Promise<void> {
    this.#isWriting = true
    while (this.#queue.length > 0) await this.#writeBatch(this.#queue.splice(0, BATCH_SIZE))
    this.#isWriting = false
  }

  async #writeBatch(batch: QueuedRow[]): Promise<void> {
    const rows = batch.filter(
      (row, index) => batch.findIndex(other => other.key === row.key) === index,
    )
    // Duplicate keys: the first row is written; the others join the next batch and find it stored.
    const duplicates = batch.filter(row => !rows.includes(row))
    const outcome = await this.table.commit({
      conditions: rows.map(({ key }) => ({ key, version: 0 })),
      writes: rows.map(({ key, value }) => ({ key, value })),
    })
    if (outcome === 'committed') rows.forEach(row => row.resolve({ outcome: 'created' }))
    else if (outcome === 'unavailable') rows.forEach(row => row.resolve({ outcome: 'absent' }))
    else await this.#resolveByReading(rows, outcome === 'conflict')
    this.#queue.unshift(...duplicates)
  }

  /** `mayRetry`: no row of the batch was written, so absent rows are queued again. */
  async #resolveByReading(rows: QueuedRow[], mayRetry: boolean): Promise<void> {
    const stored = await this.#read(rows.map(row => row.key))
    for (const row of rows) {
      const existing = stored?.get(row.key)
      if (existing) row.resolve(existing.value === row.value ? { outcome: 'created' } : existing)
      else if (stored && mayRetry) this.#queue.push(row)
      else row.resolve({ outcome: 'unknown' })
    }
  }

  async #read(keys: string[]) {
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
      const answer = await this.table.read(keys)
      if (answer.outcome === 'read') {
        return new Map(
          answer.rows.map(row => [
            row.key,
            { outcome: 'exists', value: row.value, version: row.version } as const,
          ]),
        )
      }
      await sleep(this.clock, READ_RETRY_DELAY)
    }
    return undefined
  }
}
