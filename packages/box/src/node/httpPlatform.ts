import type {
  CommitOutcome,
  Milliseconds,
  ReadOutcome,
  StoreRow,
  StoreTransaction,
  TableService,
} from '@yewkeel/decisions'
import {
  UpstreamFailure,
  type ListedMachine,
  type Platform,
  type Rating,
  type UpstreamClient,
} from '../types/ports.js'
import { readText } from '../tasks/upstreamTask.js'

const REQUEST_TIMEOUT: Milliseconds = 3_000

interface EncodedRow {
  key: string
  value: string
  mod_revision: string
}

interface TransactionResponse {
  responses?: { response_range?: { kvs?: EncodedRow[] } }[]
}

/** Addresses (`host:port`) of the platform's services. Reads without an address give undefined. */
export interface PlatformAddresses {
  table: string
  boxList?: string | undefined
  ratings?: string | undefined
}

/** Creates a client of the platform's HTTP services. */
export function createHttpPlatform(client: UpstreamClient, addresses: PlatformAddresses): Platform {
  return {
    table: createHttpTable(client, addresses.table),
    async listMachines() {
      if (!addresses.boxList) return undefined
      const answer = await getJson<{ boxes: ListedMachine[] }>(client, addresses.boxList, '/boxes')
      return answer?.boxes
    },
    async readRatings(cursor, router) {
      if (!addresses.ratings) return undefined
      const path = `/ratings?after=${cursor}&router=${encodeURIComponent(router)}`
      return getJson<{ ratings: Rating[]; cursor: number }>(client, addresses.ratings, path)
    },
  }
}

/**
 * Creates a client of the table service, over the JSON gateway of the etcd v3 API. The version of a
 * row is its `mod_revision`, which is 0 for an absent row.
 */
export function createHttpTable(client: UpstreamClient, address: string): TableService {
  const post = (path: string, body: object) => postJson(client, address, path, body)
  const range = async (body: object): Promise<ReadOutcome> => {
    try {
      const { kvs = [] } = (await post('/v3/kv/range', body)) as { kvs?: EncodedRow[] }
      return { outcome: 'read', rows: kvs.map(decodeRow) }
    } catch {
      return { outcome: 'unavailable' }
    }
  }
  return {
    /** Reads all keys in one transaction: the rows share a revision and count as one read. */
    async read(keys): Promise<ReadOutcome> {
      const ranges = keys.map(key => ({ request_range: { key: encodeBase64(key) } }))
      try {
        const answer = (await post('/v3/kv/txn', { success: ranges })) as TransactionResponse
        const rows = (answer.responses ?? []).flatMap(each => each.response_range?.kvs ?? [])
        return { outcome: 'read', rows: rows.map(decodeRow) }
      } catch {
        return { outcome: 'unavailable' }
      }
    },
    list(prefix, { after, limit } = {}) {
      return range({
        key: encodeBase64(after !== undefined ? `${after}\0` : prefix),
        range_end: encodeBase64(endOfPrefix(prefix)),
        ...(limit !== undefined && { limit }),
      })
    },
    async commit(transaction): Promise<CommitOutcome> {
      try {
        const answer = await post('/v3/kv/txn', encodeTransaction(transaction))
        return (answer as { succeeded?: boolean }).succeeded ? 'committed' : 'conflict'
      } catch (error) {
        return error instanceof UpstreamFailure && error.sent === 'no' ? 'unavailable' : 'unknown'
      }
    },
  }
}

async function postJson(
  client: UpstreamClient,
  address: string,
  path: string,
  body: object,
): Promise<unknown> {
  const answer = await client.send(
    address,
    {
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    },
    { signal: AbortSignal.timeout(REQUEST_TIMEOUT) },
  )
  const text = await readText(answer.body)
  // An error status doesn't show whether the write was applied.
  if (answer.status !== 200) throw new UpstreamFailure('maybe', `status ${answer.status}`)
  return JSON.parse(text)
}

async function getJson<T>(
  client: UpstreamClient,
  address: string,
  path: string,
): Promise<T | undefined> {
  try {
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT)
    const answer = await client.send(address, { method: 'GET', path, headers: {} }, { signal })
    const text = await readText(answer.body)
    return answer.status === 200 ? (JSON.parse(text) as T) : undefined
  } catch {
    return undefined
  }
}

function encodeTransaction({ conditions, writes }: StoreTransaction): object {
  return {
    compare: conditions.map(({ key, version }) => ({
      key: encodeBase64(key),
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(version),
    })),
    success: writes.map(({ key, value }) =>
      value === undefined
        ? { request_delete_range: { key: encodeBase64(key) } }
        : { request_put: { key: encodeBase64(key), value: encodeBase64(value) } },
    ),
  }
}

function decodeRow(row: EncodedRow): StoreRow {
  return {
    key: decodeBase64(row.key),
    value: decodeBase64(row.value),
    version: Number(row.mod_revision),
  }
}

/** Exclusive end of the key range of a prefix. */
function endOfPrefix(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1)
  return prefix.slice(0, -1) + String.fromCharCode(last + 1)
}

function encodeBase64(text: string): string {
  return Buffer.from(text).toString('base64')
}

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString()
}
