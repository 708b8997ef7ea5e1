import type { DeploymentBounds } from '@yewkeel/platform/stand-ins'
import type { Evidence } from './evidence.js'
import type { Instant } from './seen.js'

/** A fault may still be felt for this long after its end. Some time limits of a box, one after the other. */
export const AFTERMATH: Instant = 4_000
/** Real processes on a busy machine are late by this now and then. */
export const LATENESS: Instant = 700
/** Faults of upstreams and callers' links keep no box from holding to a verdict. */
export const STRIKES_BOXES = (kind: string) =>
  !kind.startsWith('upstream') && kind !== 'caller-link'
/** Gives details of where a promise was not kept. */
export type PromiseCheck = (evidence: Evidence, bounds: DeploymentBounds) => string[]
