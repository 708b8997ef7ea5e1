import type { Halts } from './halts.js'
import { isHalted } from './halts.js'
import type { EvidenceTotals } from './evidence.js'
import {
  isSignificantlyWorse,
  type VersionEvidence,
  type SequentialTestOptions,
} from './isSignificantlyWorse.js'
import { countRatings, ratingCoverage, remainingAnswers } from './ramp.js'

const NO_EVIDENCE: VersionEvidence = new Map()

/** Evidence of a version since its last halt was lifted. */
export function evidenceOf(totals: EvidenceTotals, halts: Halts, version: string): VersionEvidence {
  const evidence = totals.get(version)
  const from = halts.get(version)?.evidenceFrom
  if (!evidence || from === undefined) return evidence ?? NO_EVIDENCE
  return new Map(
    [...evidence].map(([kind, blocks]) => [
      kind,
      new Map([...blocks].filter(([block]) => block >= from)),
    ]),
  )
}

/**
 * The baseline version: the most rated one that is not halted. Undefined while there are no
 * ratings.
 */
export function resolveIncumbent(
  totals: EvidenceTotals,
  halts: Halts,
  versions: readonly string[],
): string | undefined {
  let best: { version: string; rated: number } | undefined
  for (const version of versions) {
    if (isHalted(halts, version)) continue
    const { rated } = countRatings(evidenceOf(totals, halts, version))
    if (rated > (best?.rated ?? 0)) best = { version, rated }
  }
  return best?.version
}

/** Result of comparing one version of a model with the incumbent. */
export interface VersionJudgement {
  version: string
  isIncumbent: boolean
  isWorse: boolean
  /** Answers that it may give before further ratings arrive; Infinity for the incumbent. */
  headroom: number
}

/** Compares all versions of one model that take new sessions. Names are `model@version`. */
export function judgeVersions(
  totals: EvidenceTotals,
  halts: Halts,
  versions: readonly string[],
  options: SequentialTestOptions = {},
): VersionJudgement[] {
  const incumbent = resolveIncumbent(totals, halts, versions)
  const baseline = incumbent ? evidenceOf(totals, halts, incumbent) : NO_EVIDENCE
  const coverage = ratingCoverage(countRatings(baseline))
  return versions.map(version => {
    const isIncumbent = version === incumbent || incumbent === undefined
    const evidence = evidenceOf(totals, halts, version)
    return {
      version,
      isIncumbent,
      isWorse: !isIncumbent && isSignificantlyWorse(evidence, baseline, options),
      headroom: isIncumbent ? Infinity : remainingAnswers(countRatings(evidence), coverage),
    }
  })
}
