/** The platform's transactional table service, as decisions and boxes see it. */
export interface StoreRow {
  key: string
  /** JSON text. */
  value: string
  /** Grows with each write of the row; 0 stands for an absent row. */
  version: number
}

/** A transaction is applied only if every condition holds. `version` 0 asks for an absent row. */
export interface StoreCondition {
  key: string
  version: number
}

/** A row to write, or to remove when `value` is undefined. */
export interface StoreWrite {
  key: string
  value?: string
}

export interface StoreTransaction {
  conditions: StoreCondition[]
  writes: StoreWrite[]
}

/**
 * What a writer learns. `unavailable` is known not to be applied; `unknown` may have taken effect
 * although its answer was lost.
 */
export type CommitOutcome = 'committed' | 'conflict' | 'unavailable' | 'unknown'

export type ReadOutcome = { outcome: 'read'; rows: StoreRow[] } | { outcome: 'unavailable' }

/** Client of the table service. Neither method rejects: a fault is an outcome. */
export interface TableService {
  /** Reads single rows; absent ones are left out. */
  read(keys: readonly string[]): Promise<ReadOutcome>
  /** Reads all rows whose key starts with `prefix`, in the order of their keys, at most `limit`. */
  list(prefix: string, options?: { after?: string; limit?: number }): Promise<ReadOutcome>
  commit(transaction: StoreTransaction): Promise<CommitOutcome>
}
