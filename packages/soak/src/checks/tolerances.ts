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
/** Returns one message for each violation of a guarantee. */
export type GuaranteeCheck = (evidence: Evidence, bounds: DeploymentBounds) => string[]
