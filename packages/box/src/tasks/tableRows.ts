import {
  applyChange,
  createTable,
  TABLE_KEYS,
  type AcceptedChange,
  type ChangeOutcome,
  type StoreRow,
  type Table,
  type TableService,
  type TableSnapshot,
} from '@yewkeel/decisions'

/** Beyond this many missing revisions the snapshot is read instead of the changes. */
const LARGEST_CATCH_UP = 64

/**
 * The table at the store's head: by the changes that the copy lacks, or by the snapshot when it lacks many.
 * Undefined when the store does not answer.
 */
export async function readNewerTable(
  store: TableService,
  copy: Table,
  head: number,
  onChanges: (changes: AcceptedChange[]) => void,
): Promise<Table | undefined> {
  if (head === copy.revision) return copy
  if (head < copy.revision) return { revision: head, rows: new Map() }
  if (head - copy.revision <= LARGEST_CATCH_UP) return readChanges(store, copy, head, onChanges)
  const answer = await store.read([TABLE_KEYS.snapshot])
  if (answer.outcome !== 'read') return undefined
  const snapshot = parseRow<TableSnapshot>(answer.rows[0])
  return snapshot && createTable(snapshot.revision, snapshot.rows)
}

async function readChanges(
  store: TableService,
  copy: Table,
  head: number,
  onChanges: (changes: AcceptedChange[]) => void,
): Promise<Table | undefined> {
  const answer = await store.list(TABLE_KEYS.changePrefix, {
    after: TABLE_KEYS.change(copy.revision),
    limit: LARGEST_CATCH_UP,
  })
  if (answer.outcome !== 'read') return undefined
  const changes = answer.rows.map(row => JSON.parse(row.value) as AcceptedChange)
  onChanges(changes)
  const table = changes.reduce(
    (table, change) =>
      change.revision === table.revision + 1 ? applyChange(table, change, change.revision) : table,
    copy,
  )
  return table.revision >= head ? table : undefined
}

/** What the row under a change's id says of the change. */
export function outcomeOfRow(row: StoreRow): ChangeOutcome {
  const value = JSON.parse(row.value) as { revision?: number; refused?: boolean }
  if (value.revision !== undefined) return { outcome: 'accepted', revision: value.revision }
  return { outcome: 'refused', message: 'the change was given up after its write was lost' }
}

export function byKey(rows: readonly StoreRow[]): Map<string, StoreRow> {
  return new Map(rows.map(row => [row.key, row]))
}

/** The value of a row, undefined for an absent one. */
export function parseRow<T>(row: StoreRow | undefined): T | undefined {
  return row && (JSON.parse(row.value) as T)
}
