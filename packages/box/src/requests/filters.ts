import { refuseNotRun, type Refusal } from '@yewkeel/decisions'
import type { RequestContext } from '../types/context.js'
import { hashKey } from './callerKeys.js'

/** A check before a request is handled. Returns a refusal, or undefined to let the request pass. */
export type Filter = (context: RequestContext) => Refusal | undefined

/** Values of `Retry-After`, in milliseconds. */
const RETRY_ELSEWHERE_DELAY = 0
const RETRY_DELAY = 1_000
const BILL_RETRY_DELAY = 5_000

/** Filters of every authenticated route, in this order. */
export const REQUEST_FILTERS: readonly Filter[] = [
  identifyCaller,
  refuseWhileDraining,
  requireTable,
  limitOpenRequests,
  requireRoomForBill,
  limitRate,
]

/** Runs the filters in order and returns the first refusal. */
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

/** Id of the bill shared by all attempts with the same idempotency key. */
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

function refuseWhileDraining({ services }: RequestContext): Refusal | undefined {
  if (services.acceptsNewRequests()) return undefined
  return refuseNotRun(
    'box-leaving',
    'this box is being stopped; use another of your addresses, or ask /v1/where for new ones',
    RETRY_ELSEWHERE_DELAY,
  )
}

function requireTable(context: RequestContext): Refusal | undefined {
  const refusal = refuseStaleTable(context)
  if (refusal) return refusal
  context.rights = context.services.table.rights()
  context.limit = context.rights[0]!.limitOf(context.organisation)
  return undefined
}

/** Refuses while this box cannot confirm that its replica of the table is current. */
export function refuseStaleTable({ services }: RequestContext): Refusal | undefined {
  if (services.table.freshness() !== 'stale') return undefined
  return refuseNotRun(
    'table-stale',
    'this box cannot tell whether its copy of the table is in force; use another of your addresses',
    RETRY_DELAY,
  )
}

function limitOpenRequests({ services }: RequestContext): Refusal | undefined {
  if (services.load() < 1) return undefined
  return refuseNotRun('overloaded', 'this box has as many open requests as it takes', RETRY_DELAY)
}

function requireRoomForBill({ services }: RequestContext): Refusal | undefined {
  const cannotReplicate =
    services.table.isStoreOut() && services.membership.livePeers().length === 0
  if (services.bills.hasRoom && !cannotReplicate) return undefined
  return refuseNotRun(
    'bills-unprotected',
    'the store does not take bills and no other box can hold them',
    BILL_RETRY_DELAY,
  )
}

function limitRate(context: RequestContext): Refusal | undefined {
  const { services, organisation, limit } = context
  if (services.allowances.takeRateToken(organisation, limit)) return undefined
  return refuseNotRun(
    'rate-limited',
    'the organisation is over its requests per second',
    RETRY_DELAY,
  )
}
