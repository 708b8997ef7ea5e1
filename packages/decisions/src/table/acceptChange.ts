import type { StoreTransaction } from '../types/store.js'
import {
  applyChange,
  findOverlap,
  touchedKeys,
  type AcceptedChange,
  type Table,
  type TableChange,
} from './table.js'
import type { TableRow } from './tableRow.js'

/** Store keys of the table. */
export const TABLE_KEYS = {
  /** The current revision: `{ revision }`. Small, since every poll reads it. */
  head: 'table/head',
  /** The whole table at the head's revision, read by boxes at startup. */
  snapshot: 'table/snapshot',
  changePrefix: 'table/change/',
  change: (revision: number) => `table/change/${String(revision).padStart(12, '0')}`,
  /** The revision at which a change was accepted, for writers that got no response. */
  changeId: (changeId: string) => `table/change-id/${changeId}`,
}

export interface TableHead {
  revision: number
}

export interface TableSnapshot {
  revision: number
  rows: TableRow[]
}

/**
 * Result of a submitted change. `conflict`: rows in `overlap` changed after the base revision.
 * `pending`: not known yet; ask again with the same change id.
 */
export type ChangeOutcome =
  | { outcome: 'accepted'; revision: number }
  | { outcome: 'conflict'; revision: number; overlap: string[] }
  | { outcome: 'refused'; message: string }
  | { outcome: 'pending'; message: string }

/** The stored state that acceptance is computed from: one read of head, snapshot and change id. */
export interface AcceptanceBasis {
  table: Table
  /** Store version of the head row, 0 when there is none. */
  headVersion: number
  /** Changes accepted after the operator's base revision. */
  laterChanges: readonly AcceptedChange[]
}

/**
 * Builds the compare-and-swap transaction that accepts a change; its commit puts the change in
 * force. A change whose rows are untouched since its base revision is rebased on the current one;
 * otherwise the plan stops with a conflict. `wallTime` is in milliseconds since the Unix epoch.
 */
export function planAcceptance(
  change: TableChange,
  basis: AcceptanceBasis,
  wallTime: number,
):
  | { plan: 'write'; transaction: StoreTransaction; accepted: AcceptedChange }
  | { plan: 'stop'; result: ChangeOutcome } {
  const { table, headVersion, laterChanges } = basis
  if (change.baseRevision > table.revision) {
    const message = `the base revision ${change.baseRevision} is newer than the table's ${table.revision}; read the table again`
    return { plan: 'stop', result: { outcome: 'refused', message } }
  }
  const overlap = findOverlap(change, laterChanges)
  if (overlap.length > 0) {
    return { plan: 'stop', result: { outcome: 'conflict', revision: table.revision, overlap } }
  }
  if (touchedKeys(change).length === 0) {
    return {
      plan: 'stop',
      result: { outcome: 'refused', message: 'the change holds no row; nothing to do' },
    }
  }
  const revision = table.revision + 1
  const accepted: AcceptedChange = { ...change, revision, acceptedAt: wallTime }
  const next = applyChange(table, change, revision)
  const snapshot: TableSnapshot = { revision, rows: [...next.rows.values()] }
  const transaction: StoreTransaction = {
    conditions: [
      { key: TABLE_KEYS.head, version: headVersion },
      { key: TABLE_KEYS.changeId(change.changeId), version: 0 },
    ],
    writes: [
      { key: TABLE_KEYS.head, value: JSON.stringify({ revision } satisfies TableHead) },
      { key: TABLE_KEYS.snapshot, value: JSON.stringify(snapshot) },
      { key: TABLE_KEYS.change(revision), value: JSON.stringify(accepted) },
      { key: TABLE_KEYS.changeId(change.changeId), value: JSON.stringify({ revision }) },
    ],
  }
  return { plan: 'write', transaction, accepted }
}
