import type { Milliseconds } from './clock.js'

/** Whether a request was run on an upstream. Part of every refusal. */
export type Verdict = 'not-run' | 'may-have-run' | 'ran'

/** All reasons for a refusal. */
export type RefusalReason =
  | 'bad-request'
  | 'unauthenticated'
  | 'not-allowed'
  | 'not-found'
  | 'session-invalid'
  | 'session-version-withdrawn'
  | 'table-stale'
  | 'box-leaving'
  | 'rate-limited'
  | 'spend-exhausted'
  | 'overloaded'
  | 'no-upstream'
  | 'store-out'
  | 'bills-unprotected'
  | 'key-reused'
  | 'in-progress'
  | 'already-ran'
  | 'upstream-failed'
  | 'deadline-passed'
  | 'ends-upstreams'

/** A refused request: the reason, and whether it may have run nevertheless. */
export interface Refusal {
  verdict: Verdict
  reason: RefusalReason
  /** Human-readable: what is wrong and how to fix it. */
  message: string
  /** Delay after which a retry may succeed. */
  retryAfter?: Milliseconds
}

/** HTTP status by reason. */
export const STATUS_OF_REASON: Record<RefusalReason, number> = {
  'bad-request': 400,
  unauthenticated: 401,
  'not-allowed': 403,
  'not-found': 404,
  'session-invalid': 400,
  'session-version-withdrawn': 409,
  'table-stale': 503,
  'box-leaving': 503,
  'rate-limited': 429,
  'spend-exhausted': 402,
  overloaded: 503,
  'no-upstream': 503,
  'store-out': 503,
  'bills-unprotected': 503,
  'key-reused': 422,
  'in-progress': 409,
  'already-ran': 409,
  'upstream-failed': 502,
  'deadline-passed': 504,
  'ends-upstreams': 502,
}

/** A refusal of a request that did not run. */
export function refuseNotRun(
  reason: RefusalReason,
  message: string,
  retryAfter?: Milliseconds,
): Refusal {
  return { verdict: 'not-run', reason, message, ...(retryAfter !== undefined && { retryAfter }) }
}

/** A refusal of a request that may have run. */
export function refuseMayHaveRun(
  reason: RefusalReason,
  message: string,
  retryAfter?: Milliseconds,
): Refusal {
  return { ...refuseNotRun(reason, message, retryAfter), verdict: 'may-have-run' }
}
