import { refuseNotRun, type Refusal } from '@yewkeel/decisions'
import type { RequestContext } from '../types/context.js'
import { hashKey } from './callerKeys.js'

/** A step before a request is answered. Gives a refusal, or lets the request on. */
export type Filter = (context: RequestContext) => Refusal | undefined

const ASK_ELSEWHERE = 0
const STALE_RETRY = 1_000
const LEDGER_RETRY = 5_000

/** Every request goes through these, in this order. */
export const REQUEST_FILTERS: readonly Filter[] = [
  identifyCaller,
  refuseWhileLeaving,
  requireTable,
  limitOpenRequests,
  requireRoomForBill,
  limitRate,
]

/** Runs the filters until one refuses. */
export function runFilters(
  context: RequestContext,
  filters: readonly Filter[] = REQUEST_FILTERS,
): Refusal | undefined {
  for (const filter of filters) {
    const refusal = filter(context)
    if (refusal) return refusal
  }
  return undefined
}

/** The bill of all attempts that share an idempotency key. */
export function resolveBillId(organisation: string, path: string, key: string): string {
  return `key.${hashKey(`${organisation}\n${path}\n${key}`).slice(0, 32)}`
}

function identifyCaller(context: RequestContext): Refusal | undefined {
  const name = context.services.keys.find(context.request.headers.authorization)
  if (!name) {
    return refuseNotRun(
      'unauthenticated',
      'send the key of your organisation as "Authorization: Bearer KEY"',
    )
  }
  context.organisation = name
  const key = context.request.headers['idempotency-key']
  if (key) context.billId = resolveBillId(name, context.request.path, key)
  return undefined
}

function refuseWhileLeaving({ services }: RequestContext): Refusal | undefined {
  if (services.takesNewRequests()) return undefined
  return refuseNotRun(
    'box-leaving',
    'this box is being stopped; use another of your addresses, or ask /v1/where for new ones',
    ASK_ELSEWHERE,
  )
}

function requireTable(context: RequestContext): Refusal | undefined {
  const refusal = refuseStaleTable(context)
  if (refusal) return refusal
  context.rights = context.services.table.rights()
  context.limit = context.rights[0]!.limitOf(context.organisation)
  return undefined
}

/** Refuses while nobody can tell that this box's copy of the table is in force. */
export function refuseStaleTable({ services }: RequestContext): Refusal | undefined {
  if (services.table.freshness() !== 'stale') return undefined
  return refuseNotRun(
    'table-stale',
    'this box cannot tell whether its copy of the table is in force; use another of your addresses',
    STALE_RETRY,
  )
}

function limitOpenRequests({ services }: RequestContext): Refusal | undefined {
  if (services.load() < 1) return undefined
  return refuseNotRun('overloaded', 'this box has as many open requests as it takes', STALE_RETRY)
}

function requireRoomForBill({ services }: RequestContext): Refusal | undefined {
  const isAlone = services.table.isStoreOut() && services.membership.livePeers().length === 0
  if (services.bills.hasRoom && !isAlone) return undefined
  return refuseNotRun(
    'bills-unprotected',
    'the store does not take bills and no other box can hold them',
    LEDGER_RETRY,
  )
}

function limitRate(context: RequestContext): Refusal | undefined {
  const { services, organisation, limit } = context
  if (services.allowances.takeRequest(organisation, limit)) return undefined
  return refuseNotRun(
    'rate-limited',
    'the organisation is over its requests per second',
    STALE_RETRY,
  )
}
