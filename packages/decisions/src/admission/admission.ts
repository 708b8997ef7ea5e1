/**
 * What is let in when a pool runs out: first by priority, then by each organisation's share. A request that
 * cannot be answered in time is refused at once with the time to come back, so that capacity goes to answers
 * that are still wanted.
 */
import type { Milliseconds } from '../types/clock.js'
import { refuseNotRun, type Refusal } from '../types/verdict.js'
import type { Priority } from '../table/tableRow.js'

/** What a request asks of its pool. */
export interface AdmissionRequest {
  organisation: string
  priority: Priority
  /** A call that may not be repeated; it is shed last. */
  isCall: boolean
  deadline: Milliseconds
}

/** One organisation's use of a pool. */
export interface PoolUse {
  inFlight: number
  share: number
}

/** The state of a pool at the choice of an upstream. */
export interface PoolOutlook {
  /** Predicted time until the first token at the chosen upstream. */
  firstToken: Milliseconds
  /** Requests under way against slots, over the pool. */
  utilisation: number
  /** Whether calls that may not be repeated go to the pool too. */
  takesCalls: boolean
  /** Use by organisation, in the whole pool as far as is known. */
  uses: ReadonlyMap<string, PoolUse>
}

/** Utilisation above which each priority is held to its organisation's share, and above which it is shed. */
const SHARE_ABOVE: Record<Priority, number> = { low: 0.95, normal: 1, high: 1.1 }
const SHED_ABOVE: Record<Priority, number> = { low: 1.1, normal: 1.15, high: 1.5 }
const CALL_SHED_ABOVE = 3
/** In a pool that takes calls too, all else is shed at this share of the usual bound, to keep them in time. */
const SHED_FOR_CALLS = 0.75
/** An organisation may use this many times its share before it is held back. */
const SHARE_SLACK = 1.25
const SOONEST_RETRY: Milliseconds = 250

/** Undefined when the request is let in. */
export function admit(
  request: AdmissionRequest,
  pool: PoolOutlook,
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

function resolveShedBound(request: AdmissionRequest, pool: PoolOutlook): number {
  if (request.isCall) return CALL_SHED_ABOVE
  return SHED_ABOVE[request.priority] * (pool.takesCalls ? SHED_FOR_CALLS : 1)
}

function isOverShare(organisation: string, pool: PoolOutlook): boolean {
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

function retryAfterOf(pool: PoolOutlook): Milliseconds {
  return Math.max(SOONEST_RETRY, Math.round(pool.firstToken / 2))
}
