import type { DeploymentBounds } from '@yewkeel/platform/stand-ins'
import type { Evidence } from './evidence.js'
import type { Milliseconds } from './observations.js'

/** Time for a box to recover after a fault: longer than several of its timeouts in sequence. */
export const FAULT_SETTLE_DURATION: Milliseconds = 4_000
/** Added to a deadline for scheduling delays on a busy machine. */
export const SCHEDULING_TOLERANCE: Milliseconds = 700
/**
 * Whether a kind of fault can keep a box from acting on a decision. Faults of upstreams and of
 * callers' links can't.
 */
export const affectsBoxes = (kind: string) => !kind.startsWith('upstream') && kind !== 'caller-link'
/** The kind of the faults in which the store comes back from a copy. */
export const STORE_RETURNS = 'store-returns'
/** The kind of the faults in which a box loses its paths to all upstreams. */
export const PATH_CUT = 'path-cut'
/** Time that the store was away between `from` and `until` before it came back from a copy. */
export function storeAbsence(
  { faults }: Evidence,
  from: Milliseconds,
  until: Milliseconds,
): Milliseconds {
  return faults
    .filter(({ kind }) => kind === STORE_RETURNS)
    .map(fault => Math.min(fault.until, until) - Math.max(fault.from, from))
    .reduce((total, overlap) => total + Math.max(0, overlap), 0)
}
/** Returns one message for each violation of a guarantee. */
export type GuaranteeCheck = (evidence: Evidence, bounds: DeploymentBounds) => string[]
