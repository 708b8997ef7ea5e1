/** A row of the platform's transactional table service. */
export interface StoreRow {
  key: string
  /** JSON text. */
  value: string
  /** Increases with each write of the row; 0 for an absent row. */
  version: number
}

/** Requires that a row has this version; `version` 0 requires that it is absent. */
export interface StoreCondition {
  key: string
  version: number
}

/** A row to write, or to delete when `value` is undefined. */
export interface StoreWrite {
  key: string
  value?: string
}

/** Writes that are applied atomically, and only if all conditions hold. */
export interface StoreTransaction {
  conditions: StoreCondition[]
  writes: StoreWrite[]
}

/**
 * Outcome of a transaction. `conflict`: a condition did not hold. `unavailable`: not applied.
 * `unknown`: the answer was lost, and the transaction may have been applied.
 */
export type CommitOutcome = 'committed' | 'conflict' | 'unavailable' | 'unknown'

export type ReadOutcome = { outcome: 'read'; rows: StoreRow[] } | { outcome: 'unavailable' }

/** Client of the table service. No method rejects: errors are outcomes. */
export interface TableService {
  /** Reads rows by key; absent rows are omitted. */
  read(keys: readonly string[]): Promise<ReadOutcome>
  /**
   * Reads up to `limit` rows whose key starts with `prefix`, in key order, from the first key past
   * `after`.
   */
  list(prefix: string, options?: { after?: string; limit?: number }): Promise<ReadOutcome>
  /** Applies a transaction atomically. */
  commit(transaction: StoreTransaction): Promise<CommitOutcome>
}
