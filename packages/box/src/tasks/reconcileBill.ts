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
 * Asks the engine for the usage of a request whose box exited or is silent. Returns the closed
 * bill, `void` when there is nothing to bill or the bill is already stored, or undefined when the
 * caller must retry later.
 */
export async function reconcileBill(
  bill: Bill,
  options: ReconcileOptions,
): Promise<Bill | 'void' | undefined> {
  const { store, client, upstreams } = options
  const stored = await store.read([billKey(bill.requestId)])
  if (stored.outcome === 'read' && stored.rows.length > 0) return 'void'
  const view = bill.stream && upstreams.views.get(bill.stream.upstream)
  if (!bill.stream || !view) return closeBill(bill, undefined, options)
  try {
    const path = `/v1/streams/${encodeURIComponent(bill.stream.id)}?status=only`
    const answer = await client.send(view.address, { method: 'GET', path, headers: {} })
    const text = await readText(answer.body)
    if (answer.status === 404) return closeBill(bill, undefined, options)
    if (!(JSON.parse(text) as { done: boolean }).done) return undefined
    return closeBill(bill, text, options)
  } catch {
    return undefined
  }
}

/** Keeps the lines of earlier stages and adds the last stream, by the engine's token counts. */
function closeBill(
  bill: Bill,
  text: string | undefined,
  { rights }: ReconcileOptions,
): Bill | 'void' {
  const usage = text === undefined ? undefined : readUsage(text)
  const served = bill.stream?.id.split('/').at(-2) ?? ''
  const version = parseVersion(served)
  if (!usage || !version) {
    // A service call may have run. An engine that doesn't know the stream has run nothing billable.
    return bill.lines.length > 0 || !version ? { ...bill, outcome: 'cut-off' } : 'void'
  }
  const cost = costOf(rights().priceOf(version), usage)
  const line = { ...version, upstream: bill.stream!.upstream, usage, cost }
  return { ...bill, outcome: 'cut-off', lines: [...bill.lines, line] }
}
