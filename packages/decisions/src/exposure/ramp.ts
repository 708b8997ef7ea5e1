/**
 * Limits the unrated answers of a version, each of which may be a bad one. A version that is
 * compared with the incumbent gets new sessions only below a bound that grows with its ratings. The
 * ramp therefore pauses while the rating service is slow or unavailable; running sessions keep
 * their version.
 */
import type { EvidenceTotal } from './evidence.js'
import type { VersionEvidence } from './isSignificantlyWorse.js'

/** Unrated answers allowed before the first rating, over all boxes. */
const INITIAL_UNRATED = 60
/** Further unrated answers allowed for each rated one. */
const UNRATED_PER_RATED = 1

export interface RatingCounts {
  served: number
  rated: number
}

export function countRatings(evidence: VersionEvidence | undefined): RatingCounts {
  const totals: EvidenceTotal[] = evidence
    ? [...evidence.values()].flatMap(blocks => [...blocks.values()])
    : []
  return totals.reduce<RatingCounts>(
    (sum, total) => ({
      served: sum.served + total.served,
      rated: sum.rated + total.good + total.bad,
    }),
    { served: 0, rated: 0 },
  )
}

/** Share of answers that are rated: default until enough were served, and lower bound. */
const DEFAULT_COVERAGE = 0.3
const MIN_COVERAGE = 0.05
const MIN_SERVED_FOR_COVERAGE = 100

/** Estimated share of answers that get a rating, from the incumbent's counts. */
export function ratingCoverage(incumbent: RatingCounts): number {
  if (incumbent.served < MIN_SERVED_FOR_COVERAGE) return DEFAULT_COVERAGE
  return Math.max(MIN_COVERAGE, incumbent.rated / incumbent.served)
}

/** Answers that a version may give before its next rating; 0 pauses the ramp. */
export function remainingAnswers(state: RatingCounts, coverage: number): number {
  const bound = INITIAL_UNRATED + state.rated * UNRATED_PER_RATED
  const outstanding = state.served - state.rated / coverage
  return Math.max(0, Math.floor(bound - outstanding))
}
