/**
 * Which engine is to run which version, so that the rows can be served. One box plans for all, under a lease.
 * Each call makes at most one step for each upstream from what is seen now, so a roll-out that was cut off
 * anywhere is simply gone on with by the next holder.
 */
import type { Rights } from '../table/resolveRights.js'

/** An engine as the plan sees it. */
export interface PlacedEngine {
  id: string
  /** `model@version` names that it is proved to run. */
  serves: readonly string[]
  /** How many versions it can hold. */
  room: number
  /** Requests under way there, over all boxes. */
  inFlight: number
  /** Whether it refuses an order that carries an old fence. */
  checksFence: boolean
  /** A load that it has been ordered and not finished. */
  loading?: string
  /** Emptied for a change: boxes send it no new work. */
  emptying: boolean
}

/** What a version needs. */
export interface VersionDemand {
  version: string
  /** Engines that should run it. */
  engines: number
}

export type PlacementStep =
  /** Boxes stop sending new work of any version that is to be unloaded. */
  | { step: 'empty'; engine: string; forVersion: string }
  | { step: 'load'; engine: string; version: string; unload?: string }
  | { step: 'refill'; engine: string }

export interface PlacementLimits {
  /** Loads at a time: they share one weight store. */
  parallelLoads: number
  /** Share of the engines of a model that may be missing at once. */
  missingShare: number
}

export const DEFAULT_PLACEMENT_LIMITS: PlacementLimits = { parallelLoads: 2, missingShare: 0.25 }

/** Engines wanted for each version: in proportion to weights over all organisations, one at least. */
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

/** The next steps. Nothing is kept between calls. */
export function planPlacement(
  engines: readonly PlacedEngine[],
  demands: readonly VersionDemand[],
  limits: PlacementLimits = DEFAULT_PLACEMENT_LIMITS,
): PlacementStep[] {
  const steps: PlacementStep[] = []
  const wanted = new Map(demands.map(demand => [demand.version, demand.engines]))
  const counts = countServing(engines)
  let loads = engines.filter(engine => engine.loading !== undefined).length
  let missing = engines.filter(engine => engine.emptying || engine.loading !== undefined).length
  const mayMiss = Math.max(1, Math.floor(engines.length * limits.missingShare))

  for (const engine of engines) {
    if (engine.emptying && engine.loading === undefined && !needsChange(engine, wanted, counts)) {
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
      if (candidate.serves.length < candidate.room) {
        if (loads >= limits.parallelLoads) break
        loads++
        steps.push({ step: 'load', engine: candidate.id, version })
        continue
      }
      const unload = leastNeeded(candidate, wanted, counts)
      if (!unload) break
      if (!candidate.emptying) {
        if (missing >= mayMiss) break
        missing++
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
  return isLacking && leastNeeded(engine, wanted, counts) !== undefined
}

/** An engine being emptied first, then one with room, then the one with least work. */
function pickEngine(
  engines: readonly PlacedEngine[],
  version: string,
  wanted: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
  used: ReadonlySet<string>,
): PlacedEngine | undefined {
  const rank = (engine: PlacedEngine) =>
    (engine.emptying ? 0 : engine.serves.length < engine.room ? 1 : 2) * 1e6 + engine.inFlight
  return engines
    .filter(engine => !used.has(engine.id) && engine.loading === undefined)
    .filter(engine => !engine.serves.includes(version))
    .filter(engine => engine.serves.length < engine.room || leastNeeded(engine, wanted, counts))
    .sort((left, right) => rank(left) - rank(right))[0]
}

/** A version of the engine that more engines run than need to. */
function leastNeeded(
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
