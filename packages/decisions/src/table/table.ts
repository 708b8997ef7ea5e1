import { resolveRowKey, type TableRow } from './tableRow.js'

/** The operators' configuration table at one revision, with rows by key. */
export interface Table {
  revision: number
  rows: ReadonlyMap<string, TableRow>
}

/** A change submitted by an operator: rows to write and keys of rows to remove. */
export interface TableChange {
  /** Idempotency key, chosen by the submitting program. */
  changeId: string
  author: string
  /** The revision that the change was made against. */
  baseRevision: number
  upserts: TableRow[]
  removals: string[]
}

/** A change with the revision that accepted it. */
export interface AcceptedChange extends TableChange {
  revision: number
  /** Milliseconds since the Unix epoch on the clock of the writing box; informational only. */
  acceptedAt: number
}

export const EMPTY_TABLE: Table = { revision: 0, rows: new Map() }

/** Creates a table; of rows with the same key the last wins. */
export function createTable(revision: number, rows: readonly TableRow[]): Table {
  return { revision, rows: new Map(rows.map(row => [resolveRowKey(row), row])) }
}

/** Returns the table after a change; removals are applied before upserts. */
export function applyChange(table: Table, change: TableChange, revision: number): Table {
  const rows = new Map(table.rows)
  for (const key of change.removals) rows.delete(key)
  for (const row of change.upserts) rows.set(resolveRowKey(row), row)
  return { revision, rows }
}

/** Keys of the rows that a change removes or writes. */
export function touchedKeys(change: TableChange): string[] {
  return [...change.removals, ...change.upserts.map(resolveRowKey)]
}

/** Keys that both `change` and any of the later accepted changes touch. */
export function findOverlap(change: TableChange, later: readonly AcceptedChange[]): string[] {
  const touchedLater = new Set(later.flatMap(touchedKeys))
  return touchedKeys(change).filter(key => touchedLater.has(key))
}

/** The upserts and removals that turn `current` into `wanted`. */
export function diffTables(
  current: Table,
  wanted: readonly TableRow[],
): Pick<TableChange, 'upserts' | 'removals'> {
  const wantedTable = createTable(current.revision, wanted)
  const upserts = [...wantedTable.rows.entries()]
    .filter(([key, row]) => !sameRow(current.rows.get(key), row))
    .map(([, row]) => row)
  const removals = [...current.rows.keys()].filter(key => !wantedTable.rows.has(key))
  return { upserts, removals }
}

function sameRow(left: TableRow | undefined, right: TableRow): boolean {
  if (!left) return false
  const leftFields = left as Record<string, unknown>
  const rightFields = right as Record<string, unknown>
  const names = new Set([...Object.keys(leftFields), ...Object.keys(rightFields)])
  return [...names].every(name => leftFields[name] === rightFields[name])
}
