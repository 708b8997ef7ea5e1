/**
 * Plans which engine runs which model version, so that the table's rows can be served. One box
 * plans for all, under a lease. Each call returns at most one step per engine, computed from the
 * observed state alone, so the next lease holder can continue an interrupted rollout at any point.
 */
import type { Rights } from '../table/resolveRights.js'

/** The observed state of an engine. */
export interface PlacedEngine {
  id: string
  /** `model@version` names that it is verified to run. */
  serves: readonly string[]
  /** Number of versions that it can hold. */
  capacity: number
  /** Requests in flight there, over all boxes. */
  inFlight: number
  /** Whether it rejects commands with a stale fencing token. */
  checksFence: boolean
  /** Version that it is loading. */
  loading?: string
  /** Whether it drains before a change of version: boxes send it no new work. */
  isDraining: boolean
}

/** Number of engines wanted for a version. */
export interface VersionDemand {
  /** `model@version`. */
  version: string
  engines: number
}

export type PlacementStep =
  /** Starts a drain: boxes stop sending the engine new work, so that it can load `forVersion`. */
  | { step: 'empty'; engine: string; forVersion: string }
  | { step: 'load'; engine: string; version: string; unload?: string }
  /** Ends a drain that is no longer needed. */
  | { step: 'refill'; engine: string }

export interface PlacementLimits {
  /** Concurrent loads; all read from one weight store. */
  parallelLoads: number
  /** Share of the given engines, 0 to 1, that may drain or load at once; at least one may. */
  missingShare: number
}

export const DEFAULT_PLACEMENT_LIMITS: PlacementLimits = { parallelLoads: 2, missingShare: 0.25 }

/**
 * Engines wanted for each version: in proportion to its weights over all organisations, at least
 * one.
 */
export function resolveDemand(
  rights: Rights,
  organisations: readonly string[],
  enginesOfModel: ReadonlyMap<string, number>,
): VersionDemand[] {
  const demands: VersionDemand[] = []
  for (const [model, engines] of enginesOfModel) {
    const weights = new Map<string, number>()
    for (const organisation of organisations) {
      for (const row of rights.versionsOf(organisation, model)) {
        if (rights.rightOf(organisation, row) === 'withdrawn') continue
        weights.set(row.version, (weights.get(row.version) ?? 0) + row.weight)
      }
    }
    const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0)
    for (const [version, weight] of weights) {
      const share = total > 0 ? weight / total : 0
      demands.push({
        version: `${model}@${version}`,
        engines: Math.max(1, Math.round(share * engines)),
      })
    }
  }
  return demands
}

/** Returns the next steps. Stateless between calls. */
export function planPlacement(
  engines: readonly PlacedEngine[],
  demands: readonly VersionDemand[],
  limits: PlacementLimits = DEFAULT_PLACEMENT_LIMITS,
): PlacementStep[] {
  const steps: PlacementStep[] = []
  const wanted = new Map(demands.map(demand => [demand.version, demand.engines]))
  const counts = countServing(engines)
  let loads = engines.filter(engine => engine.loading !== undefined).length
  let unavailable = engines.filter(
    engine => engine.isDraining || engine.loading !== undefined,
  ).length
  const maxUnavailable = Math.max(1, Math.floor(engines.length * limits.missingShare))

  for (const engine of engines) {
    if (engine.isDraining && engine.loading === undefined && !needsChange(engine, wanted, counts)) {
      steps.push({ step: 'refill', engine: engine.id })
    }
  }
  for (const [version, count] of wanted) {
    let lacking = count - (counts.get(version) ?? 0)
    while (lacking > 0) {
      const used = new Set(steps.map(step => step.engine))
      const candidate = pickEngine(engines, version, wanted, counts, used)
      if (!candidate) break
      lacking--
      if (candidate.serves.length < candidate.capacity) {
        if (loads >= limits.parallelLoads) break
        loads++
        steps.push({ step: 'load', engine: candidate.id, version })
        continue
      }
      const unload = mostSurplusVersion(candidate, wanted, counts)
      if (!unload) break
      if (!candidate.isDraining) {
        if (unavailable >= maxUnavailable) break
        unavailable++
        steps.push({ step: 'empty', engine: candidate.id, forVersion: version })
      } else if (candidate.inFlight === 0) {
        if (loads >= limits.parallelLoads) break
        loads++
        steps.push({ step: 'load', engine: candidate.id, version, unload })
      }
      counts.set(unload, (counts.get(unload) ?? 1) - 1)
    }
  }
  return steps
}

function countServing(engines: readonly PlacedEngine[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const engine of engines) {
    const versions = engine.loading ? [...engine.serves, engine.loading] : engine.serves
    for (const version of versions) counts.set(version, (counts.get(version) ?? 0) + 1)
  }
  return counts
}

function needsChange(
  engine: PlacedEngine,
  wanted: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
): boolean {
  const isLacking = [...wanted].some(
    ([version, count]) => !engine.serves.includes(version) && (counts.get(version) ?? 0) < count,
  )
  return isLacking && mostSurplusVersion(engine, wanted, counts) !== undefined
}

/**
 * Prefers draining engines, then engines with room, then those with the fewest requests in flight.
 */
function pickEngine(
  engines: readonly PlacedEngine[],
  version: string,
  wanted: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
  used: ReadonlySet<string>,
): PlacedEngine | undefined {
  const rank = (engine: PlacedEngine) =>
    (engine.isDraining ? 0 : engine.serves.length < engine.capacity ? 1 : 2) * 1e6 + engine.inFlight
  return engines
    .filter(engine => !used.has(engine.id) && engine.loading === undefined)
    .filter(engine => !engine.serves.includes(version))
    .filter(
      engine =>
        engine.serves.length < engine.capacity || mostSurplusVersion(engine, wanted, counts),
    )
    .sort((left, right) => rank(left) - rank(right))[0]
}

/** The version on this engine with the largest surplus of engines; undefined when none has any. */
function mostSurplusVersion(
  engine: PlacedEngine,
  wanted: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
): string | undefined {
  return engine.serves
    .filter(version => (counts.get(version) ?? 0) > (wanted.get(version) ?? 0))
    .sort(
      (left, right) =>
        (counts.get(right) ?? 0) -
        (wanted.get(right) ?? 0) -
        ((counts.get(left) ?? 0) - (wanted.get(left) ?? 0)),
    )[0]
}
