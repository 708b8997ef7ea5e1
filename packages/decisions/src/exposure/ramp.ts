/**
 * How far a version may run ahead of its evidence. Each answer without a rating is a possible bad one, so a
 * version that is compared with another gets new sessions only while its unrated answers stay under a bound
 * that grows with what its ratings have shown. When the rating service is slow or out the ramp waits; sessions
 * that run already keep their version.
 */
import type { EvidenceTotal } from './evidence.js'
import type { VersionEvidence } from './isShownWorse.js'

/** Unrated answers that a version may have before any rating, over all boxes. */
const FIRST_UNRATED = 60
/** Further unrated answers for each rated one. */
const UNRATED_PER_RATED = 1

export interface RampState {
  served: number
  rated: number
}

export function rampStateOf(evidence: VersionEvidence | undefined): RampState {
  const totals: EvidenceTotal[] = evidence
    ? [...evidence.values()].flatMap(blocks => [...blocks.values()])
    : []
  return totals.reduce<RampState>(
    (sum, total) => ({
      served: sum.served + total.served,
      rated: sum.rated + total.good + total.bad,
    }),
    { served: 0, rated: 0 },
  )
}

/** Coverage that is assumed before any is known, and the least that is believed. */
const ASSUMED_COVERAGE = 0.3
const LEAST_COVERAGE = 0.05
const LEAST_SERVED_FOR_COVERAGE = 100

/** The share of its answers for which the proven version got ratings: ratings are partial. */
export function ratingCoverage(proven: RampState): number {
  if (proven.served < LEAST_SERVED_FOR_COVERAGE) return ASSUMED_COVERAGE
  return Math.max(LEAST_COVERAGE, proven.rated / proven.served)
}

/** How many more answers the version may give before the next rating; 0 when it has to wait. */
export function roomToRamp(state: RampState, coverage: number): number {
  const bound = FIRST_UNRATED + state.rated * UNRATED_PER_RATED
  const awaited = state.served - state.rated / coverage
  return Math.max(0, Math.floor(bound - awaited))
}
