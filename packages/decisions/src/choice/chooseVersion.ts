import { pickWeighted, type Random } from '../types/random.js'
import { formatVersion, type Rights } from '../table/resolveRights.js'
import type { VersionRow } from '../table/tableRow.js'

/** Constraints on new sessions of a version, besides its row. */
export interface VersionConstraints {
  isHalted(version: string): boolean
  /** Answers that the version may still serve before more ratings are needed. */
  roomOf(version: string): number
  /** Whether any upstream is verified to run the version. */
  isServed(version: string): boolean
}

/**
 * Picks the version of a model for a new session at random, in proportion to the rows' weights.
 * Halted versions are excluded; versions that no upstream serves or that have no room are chosen
 * only when there are no others. Returns undefined when no version may take new work.
 */
export function chooseVersion(
  rights: readonly Rights[],
  organisation: string,
  model: string,
  bounds: VersionConstraints,
  random: Random,
): string | undefined {
  const rows = rights[0]?.versionsOf(organisation, model) ?? []
  const allowed = rows.filter(
    row =>
      rights.every(table => table.rightOf(organisation, row) === 'new-work') &&
      !bounds.isHalted(formatVersion(row)),
  )
  const served = allowed.filter(row => bounds.isServed(formatVersion(row)))
  const candidates = served.length > 0 ? served : allowed
  const withRoom = candidates.filter(row => bounds.roomOf(formatVersion(row)) > 0)
  const weightOf = (row: VersionRow) => row.weight
  return (pickWeighted(withRoom, weightOf, random) ?? pickWeighted(candidates, weightOf, random))
    ?.version
}
