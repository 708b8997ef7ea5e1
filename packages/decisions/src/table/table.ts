import { resolveRowKey, type TableRow } from './tableRow.js'

/** The operators' intent at one revision. */
export interface Table {
  revision: number
  rows: ReadonlyMap<string, TableRow>
}

/** What an operator asks for: rows to write and keys of rows to remove. */
export interface TableChange {
  /** Chosen by the operator's program; makes a repeated submission the same change. */
  changeId: string
  author: string
  /** The revision that the operator looked at. */
  baseRevision: number
  upserts: TableRow[]
  removals: string[]
}

/** A change as it was accepted. */
export interface AcceptedChange extends TableChange {
  revision: number
  /** Milliseconds since the Unix epoch at the box that wrote it; for people only. */
  acceptedAt: number
}

export const EMPTY_TABLE: Table = { revision: 0, rows: new Map() }

/** A table of the given rows; of two rows with one key the later stands. */
export function createTable(revision: number, rows: readonly TableRow[]): Table {
  return { revision, rows: new Map(rows.map(row => [resolveRowKey(row), row])) }
}

/** The table after a change. */
export function applyChange(table: Table, change: TableChange, revision: number): Table {
  const rows = new Map(table.rows)
  for (const key of change.removals) rows.delete(key)
  for (const row of change.upserts) rows.set(resolveRowKey(row), row)
  return { revision, rows }
}

/** The keys of the rows that a change touches. */
export function touchedKeys(change: TableChange): string[] {
  return [...change.removals, ...change.upserts.map(resolveRowKey)]
}

/** The rows of `change` that a later accepted change has touched as well. */
export function findOverlap(change: TableChange, later: readonly AcceptedChange[]): string[] {
  const touchedLater = new Set(later.flatMap(touchedKeys))
  return touchedKeys(change).filter(key => touchedLater.has(key))
}

/** What turns `current` into `wanted`, row by row. */
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
