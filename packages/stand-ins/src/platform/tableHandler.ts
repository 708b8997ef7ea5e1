import type { StoreRow, StoreTransaction } from '@yewkeel/decisions'
import { withFaults } from '../types/faults.js'
import { jsonResponse, type StandInHandler } from '../types/handler.js'
import type { MemoryTable } from './memoryTable.js'

interface RangeBody {
  key: string
  range_end?: string
  limit?: number
}

interface TransactionStep {
  request_put?: { key: string; value: string }
  request_delete_range?: { key: string }
  request_range?: RangeBody
}

interface TransactionBody {
  compare?: { key: string; mod_revision?: string; create_revision?: string }[]
  success?: TransactionStep[]
}

/**
 * Serves a table over the JSON gateway of the etcd v3 API: `range` and `txn`, with base64 keys and
 * values, and compares by modification revision.
 */
export function createTableHandler(table: MemoryTable): StandInHandler {
  return request =>
    withFaults(table.faults, table.options, () => {
      const handle = ROUTES[request.path]
      if (!handle || request.method !== 'POST')
        return jsonResponse(404, { message: 'unknown path' })
      return jsonResponse(200, handle(table, JSON.parse(request.body)))
    })
}

const ROUTES: Record<string, (table: MemoryTable, body: RangeBody & TransactionBody) => unknown> = {
  '/v3/kv/range': (table, body) => {
    table.counts.reads++
    const key = decode(body.key)
    const rows = body.range_end
      ? listRange(table, key, decode(body.range_end), body.limit)
      : readOne(table, key)
    return { kvs: rows.map(encodeRow), count: String(rows.length) }
  },
  '/v3/kv/txn': (table, body) => {
    const reads = (body.success ?? []).flatMap(step => step.request_range ?? [])
    if (reads.length > 0) return { succeeded: true, responses: readAll(table, reads) }
    table.counts.writes++
    return { succeeded: table.apply(decodeTransaction(body)) }
  },
}

/** Serves the ranges of a read-only transaction, counted as one read. */
function readAll(table: MemoryTable, ranges: readonly RangeBody[]) {
  table.counts.reads++
  return ranges.map(({ key }) => ({
    response_range: { kvs: readOne(table, decode(key)).map(encodeRow) },
  }))
}

function readOne(table: MemoryTable, key: string): StoreRow[] {
  const row = table.rowOf(key)
  return row ? [row] : []
}

/** Lists `[from, end)`, scanning only the common prefix of both keys. */
function listRange(table: MemoryTable, from: string, end: string, limit = Infinity): StoreRow[] {
  const prefix = commonPrefix(from, end)
  return table
    .listRows(prefix)
    .filter(row => row.key >= from && row.key < end)
    .slice(0, limit || Infinity)
}

function commonPrefix(left: string, right: string): string {
  let length = 0
  while (length < left.length && left[length] === right[length]) length++
  return left.slice(0, length)
}

function decodeTransaction(body: TransactionBody): StoreTransaction {
  return {
    conditions: (body.compare ?? []).map(compare => ({
      key: decode(compare.key),
      version: Number(compare.mod_revision ?? compare.create_revision ?? 0),
    })),
    writes: (body.success ?? []).map(({ request_put: put, request_delete_range: deletion }) =>
      put ? { key: decode(put.key), value: decode(put.value) } : { key: decode(deletion!.key) },
    ),
  }
}

function encodeRow(row: StoreRow) {
  return { key: encode(row.key), value: encode(row.value), mod_revision: String(row.version) }
}

function decode(text: string): string {
  return Buffer.from(text, 'base64').toString()
}

function encode(text: string): string {
  return Buffer.from(text).toString('base64')
}
