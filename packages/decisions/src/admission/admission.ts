/**
 * Admission control of an upstream pool: sheds load by priority, then by organisation share. A
 * request that would miss its deadline is rejected at once with a retry-after time instead of
 * taking up capacity.
 */
import type { Milliseconds } from '../types/clock.js'
import { refuseNotRun, type Refusal } from '../types/verdict.js'
import type { Priority } from '../table/tableRow.js'

/** The properties of a request that decide its admission. */
export interface AdmissionRequest {
  organisation: string
  priority: Priority
  /** The request is a non-idempotent call; these are shed last. */
  isCall: boolean
  deadline: Milliseconds
}

/** One organisation's requests in flight in a pool, and its weight there. */
export interface PoolUse {
  inFlight: number
  share: number
}

/** The state of a pool at the time an upstream is chosen. */
export interface PoolState {
  /** Predicted time until the first token at the chosen upstream. */
  firstToken: Milliseconds
  /** Requests in flight divided by slots, over the whole pool. */
  utilisation: number
  /** Whether the pool also serves non-idempotent calls. */
  takesCalls: boolean
  /** Use by organisation over all boxes, as far as this box knows. */
  uses: ReadonlyMap<string, PoolUse>
}

/** Utilisation above which requests of a priority are held to their organisation's share. */
const SHARE_ABOVE: Record<Priority, number> = { low: 0.95, normal: 1, high: 1.1 }
/** Utilisation above which requests of a priority are shed. */
const SHED_ABOVE: Record<Priority, number> = { low: 1.1, normal: 1.15, high: 1.5 }
const CALL_SHED_ABOVE = 3
/** Scales `SHED_ABOVE` in a pool that serves calls, which reserves headroom for them. */
const CALL_POOL_SHED_FACTOR = 0.75
/** An organisation may exceed its share by this factor. */
const SHARE_SLACK = 1.25
const SHORTEST_RETRY_AFTER: Milliseconds = 250

/** Returns the refusal of a request, or undefined when it is admitted. */
export function admit(
  request: AdmissionRequest,
  pool: PoolState,
  now: Milliseconds,
): Refusal | undefined {
  if (now + pool.firstToken > request.deadline) {
    return refuseNotRun(
      'overloaded',
      'the request could not be answered before its deadline',
      retryAfterOf(pool),
    )
  }
  const shedAbove = resolveShedBound(request, pool)
  if (pool.utilisation > shedAbove) {
    return refuseNotRun(
      'overloaded',
      `the pool is full for requests of ${request.priority} priority`,
      retryAfterOf(pool),
    )
  }
  const isCrowded = pool.utilisation > SHARE_ABOVE[request.priority]
  if (!request.isCall && isCrowded && isOverShare(request.organisation, pool)) {
    return refuseNotRun(
      'overloaded',
      'the pool is crowded and the organisation uses more than its share of it',
      retryAfterOf(pool),
    )
  }
  return undefined
}

function resolveShedBound(request: AdmissionRequest, pool: PoolState): number {
  if (request.isCall) return CALL_SHED_ABOVE
  return SHED_ABOVE[request.priority] * (pool.takesCalls ? CALL_POOL_SHED_FACTOR : 1)
}

function isOverShare(organisation: string, pool: PoolState): boolean {
  const own = pool.uses.get(organisation)
  if (!own || own.inFlight === 0 || pool.uses.size < 2) return false
  let totalShare = 0
  let totalInFlight = 0
  for (const use of pool.uses.values()) {
    if (use.inFlight === 0) continue
    totalShare += use.share
    totalInFlight += use.inFlight
  }
  return own.inFlight > (totalInFlight * own.share * SHARE_SLACK) / totalShare + 1
}

function retryAfterOf(pool: PoolState): Milliseconds {
  return Math.max(SHORTEST_RETRY_AFTER, Math.round(pool.firstToken / 2))
}
