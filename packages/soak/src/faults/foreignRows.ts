import type { Random } from '@yewkeel/decisions'
import { UPSTREAMS_TABLE, writeUpstream, type RowsStandIn } from '@yewkeel/platform/stand-ins'

const BOXES_TABLE = 'yewkeel-boxes'
/** Rows of another writer that stand in the store at a time. */
const ROW_COUNT = 42
const UNREADABLE_BYTE = 0xff
/** What no field of the rows may hold, addresses least of all. */
const FOREIGN_VALUES: readonly unknown[] = [
  undefined,
  null,
  '',
  -1,
  1e300,
  [],
  {},
  '10.0.0.300:80',
  '10.0.0.1:99999',
  '10.0.0.1',
]

const ADDRESS = '127.0.0.1:9'
const BOX_ROW = {
  box: 'foreign',
  data_centre: 'ebene',
  entry_address: ADDRESS,
  peer_address: ADDRESS,
}

/** Valid rows, and the fields that are spoilt: a row in use would count if another one were. */
const TEMPLATES: readonly { table: string; row: object; fields: readonly string[] }[] = [
  {
    table: UPSTREAMS_TABLE,
    row: writeUpstream('desk', 'v1', ADDRESS, 'ready', 1),
    fields: ['address'],
  },
  {
    table: UPSTREAMS_TABLE,
    row: writeUpstream('desk', 'v1', ADDRESS, 'draining', 1),
    fields: Object.keys(writeUpstream('desk', 'v1', ADDRESS, 'draining', 1)),
  },
  { table: BOXES_TABLE, row: BOX_ROW, fields: ['entry_address', 'peer_address'] },
]

/** Spoils a field: missing, of another type, out of range, or with a byte that is no text. */
function spoilRow(row: object, fields: readonly string[], random: Random): string {
  const pick = <T>(members: readonly T[]): T => members[Math.floor(random() * members.length)]!
  const field = pick(fields)
  if (random() < 0.5)
    return encode(Buffer.from(JSON.stringify({ ...row, [field]: pick(FOREIGN_VALUES) })))
  const bytes = Buffer.from(JSON.stringify(row))
  bytes[bytes.indexOf(`"${field}":`) + field.length + 4] = UNREADABLE_BYTE
  return encode(bytes)
}

const encode = (bytes: Buffer) => bytes.toString('base64')
const keyOf = (index: number) => `foreign-${index}`

/** Writes rows of another writer into the tables that boxes read addresses from. */
export function writeForeignRows(rows: RowsStandIn, random: Random): void {
  for (let index = 0; index < ROW_COUNT; index++) {
    const { table, row, fields } = TEMPLATES[index % TEMPLATES.length]!
    rows.putRaw(table, keyOf(index), spoilRow(row, fields, random))
  }
}

export function removeForeignRows(rows: RowsStandIn): void {
  for (let index = 0; index < ROW_COUNT; index++)
    rows.remove(TEMPLATES[index % TEMPLATES.length]!.table, keyOf(index))
}
