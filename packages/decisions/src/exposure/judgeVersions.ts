import type { Halts } from './halts.js'
import { isHalted } from './halts.js'
import type { EvidenceTotals } from './evidence.js'
import { isShownWorse, type VersionEvidence, type WorseTestOptions } from './isShownWorse.js'
import { rampStateOf, ratingCoverage, roomToRamp } from './ramp.js'

const NO_EVIDENCE: VersionEvidence = new Map()

/** The evidence of a version since it was last lifted. */
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
 * The version that others are compared with: the one not halted that has most ratings. Undefined while no
 * version has any.
 */
export function resolveIncumbent(
  totals: EvidenceTotals,
  halts: Halts,
  versions: readonly string[],
): string | undefined {
  let best: { version: string; rated: number } | undefined
  for (const version of versions) {
    if (isHalted(halts, version)) continue
    const { rated } = rampStateOf(evidenceOf(totals, halts, version))
    if (rated > (best?.rated ?? 0)) best = { version, rated }
  }
  return best?.version
}

/** What the evidence says of one version of a model. */
export interface VersionJudgement {
  version: string
  isIncumbent: boolean
  shownWorse: boolean
  /** Answers that it may give before more ratings come; Infinity for the incumbent. */
  room: number
}

/** Judges all versions of one model that take new sessions. Names are `model@version`. */
export function judgeVersions(
  totals: EvidenceTotals,
  halts: Halts,
  versions: readonly string[],
  options: WorseTestOptions = {},
): VersionJudgement[] {
  const incumbent = resolveIncumbent(totals, halts, versions)
  const bar = incumbent ? evidenceOf(totals, halts, incumbent) : NO_EVIDENCE
  const coverage = ratingCoverage(rampStateOf(bar))
  return versions.map(version => {
    const isIncumbent = version === incumbent || incumbent === undefined
    const evidence = evidenceOf(totals, halts, version)
    return {
      version,
      isIncumbent,
      shownWorse: !isIncumbent && isShownWorse(evidence, bar, options),
      room: isIncumbent ? Infinity : roomToRamp(rampStateOf(evidence), coverage),
    }
  })
}
