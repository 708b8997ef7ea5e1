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

/** A replica that is more revisions behind reads the snapshot instead of the changes. */
const MAX_CHANGES_READ = 64

/**
 * Brings a replica up to revision `head`, from the changes it lacks or from the snapshot. A head
 * below the replica's revision gives an empty table at that revision. Undefined when the store
 * doesn't reply.
 */
export async function readNewerTable(
  store: TableService,
  replica: Table,
  head: number,
  onChanges: (changes: AcceptedChange[]) => void,
): Promise<Table | undefined> {
  if (head === replica.revision) return replica
  if (head < replica.revision) return { revision: head, rows: new Map() }
  if (head - replica.revision <= MAX_CHANGES_READ)
    return readChanges(store, replica, head, onChanges)
  const answer = await store.read([TABLE_KEYS.snapshot])
  if (answer.outcome !== 'read') return undefined
  const snapshot = parseRow<TableSnapshot>(answer.rows[0])
  return snapshot && createTable(snapshot.revision, snapshot.rows)
}

async function readChanges(
  store: TableService,
  replica: Table,
  head: number,
  onChanges: (changes: AcceptedChange[]) => void,
): Promise<Table | undefined> {
  const answer = await store.list(TABLE_KEYS.changePrefix, {
    after: TABLE_KEYS.change(replica.revision),
    limit: MAX_CHANGES_READ,
  })
  if (answer.outcome !== 'read') return undefined
  const changes = answer.rows.map(row => JSON.parse(row.value) as AcceptedChange)
  onChanges(changes)
  const table = changes.reduce(
    (table, change) =>
      change.revision === table.revision + 1 ? applyChange(table, change, change.revision) : table,
    replica,
  )
  return table.revision >= head ? table : undefined
}

/** Outcome of a change, from the row stored under its id. */
export function outcomeOfRow(row: StoreRow): ChangeOutcome {
  const value = JSON.parse(row.value) as { revision?: number; refused?: boolean }
  if (value.revision !== undefined) return { outcome: 'accepted', revision: value.revision }
  return { outcome: 'refused', message: 'the change was given up after its write was lost' }
}

export function byKey(rows: readonly StoreRow[]): Map<string, StoreRow> {
  return new Map(rows.map(row => [row.key, row]))
}

/** The parsed value of a row, or undefined for a missing row. */
export function parseRow<T>(row: StoreRow | undefined): T | undefined {
  return row && (JSON.parse(row.value) as T)
}
