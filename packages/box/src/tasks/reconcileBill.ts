import {
  billKey,
  costOf,
  parseVersion,
  type Bill,
  type Rights,
  type TableService,
} from '@yewkeel/decisions'
import { readUsage } from '../requests/eventStream.js'
import type { UpstreamClient } from '../types/ports.js'
import { readText, type UpstreamTask } from './upstreamTask.js'

export interface ReconcileOptions {
  store: TableService
  client: UpstreamClient
  upstreams: Pick<UpstreamTask, 'views'>
  rights(): Rights
}

/**
 * Asks the engine how a request ended whose box is gone. Gives the closed bill, `void` when there is nothing to
 * bill or it stands already, and undefined to ask again later.
 */
export async function reconcileBill(
  bill: Bill,
  options: ReconcileOptions,
): Promise<Bill | 'void' | undefined> {
  const { store, client, upstreams } = options
  const standing = await store.read([billKey(bill.requestId)])
  if (standing.outcome === 'read' && standing.rows.length > 0) return 'void'
  const view = bill.stream && upstreams.views.get(bill.stream.upstream)
  if (!bill.stream || !view) return closeWith(bill, undefined, options)
  try {
    const path = `/v1/streams/${encodeURIComponent(bill.stream.id)}?status=only`
    const answer = await client.send(view.address, { method: 'GET', path, headers: {} })
    const text = await readText(answer.body)
    if (answer.status === 404) return closeWith(bill, undefined, options)
    if (!(JSON.parse(text) as { done: boolean }).done) return undefined
    return closeWith(bill, text, options)
  } catch {
    return undefined
  }
}

/** What earlier stages cost stays; the last stream costs what the engine counted. */
function closeWith(
  bill: Bill,
  text: string | undefined,
  { rights }: ReconcileOptions,
): Bill | 'void' {
  const usage = text === undefined ? undefined : readUsage(text)
  const served = bill.stream?.id.split('/').at(-2) ?? ''
  const version = parseVersion(served)
  if (!usage || !version) {
    // A service call may have run; an engine that knows no such stream has run nothing that can be billed.
    return bill.lines.length > 0 || !version ? { ...bill, outcome: 'cut-off' } : 'void'
  }
  const cost = costOf(rights().priceOf(version), usage)
  const line = { ...version, upstream: bill.stream!.upstream, usage, cost }
  return { ...bill, outcome: 'cut-off', lines: [...bill.lines, line] }
}
