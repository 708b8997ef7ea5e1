import { createSeededRandom, type Random } from '@yewkeel/decisions'
import { FIRST_SEED_WITH_EARLY_ENDS } from '../world/earlyEnds.js'
import { FAULT_KINDS, UNDRAWN_KINDS } from './faultKinds.js'

/** A fault to inject. `at`: ms since the start of fault injection; `duration` in ms. */
export interface PlannedFault {
  kind: string
  at: number
  duration: number
}

/** Shorter than most faults, so that several overlap. */
const MEAN_FAULT_INTERVAL_MS = 550
/** Probability that the next fault is of the same kind. */
const REPEAT_FRACTION = 0.25
const MIN_FAULT_DURATION_MS = 200
const MAX_FAULT_DURATION_MS = 3_000

/**
 * Plans the faults of `span` ms, overlapping and some in series. Deterministic for a seeded
 * `random`.
 */
export function planFaults(random: Random, span: number): PlannedFault[] {
  const kinds = Object.keys(FAULT_KINDS).filter(name => !UNDRAWN_KINDS.has(name))
  const plan: PlannedFault[] = []
  let kind = kinds[Math.floor(random() * kinds.length)]!
  for (let at = 0; at < span; at += 2 * MEAN_FAULT_INTERVAL_MS * random()) {
    if (random() >= REPEAT_FRACTION) kind = kinds[Math.floor(random() * kinds.length)]!
    const duration =
      MIN_FAULT_DURATION_MS + (MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS) * random() ** 2
    plan.push({ kind, at: Math.round(at), duration: Math.round(duration) })
  }
  return plan
}

/** In lower seeds callers stay and no connection comes back, so that regressions replay unchanged. */
export const FIRST_SEED_WITH_BUDGET_FAULTS = 900
/** Makes the random sequence differ from that of the seed's other faults. */
const SEED_FACTOR = 15_485_863
const DISCARDED_DRAWS = 8
const POOL_TROUBLES = ['pool-rejects', 'pool-breaks']
const MIN_HOLD_MS = 500
const HOLD_RANGE_MS = 3_500

/**
 * Plans what the retry budget has to hold beside: engines that fail most streams, callers that move
 * to other boxes and back, and connections that are silent for a while.
 */
export function planBudgetFaults(seed: number, span: number): PlannedFault[] {
  if (seed < FIRST_SEED_WITH_BUDGET_FAULTS || seed >= FIRST_SEED_WITH_EARLY_ENDS) return []
  const random = createSeededRandom(seed * SEED_FACTOR)
  // The first draws of such seeds are alike.
  for (let drawn = 0; drawn < DISCARDED_DRAWS; drawn++) random()
  const kind = POOL_TROUBLES[Math.floor(random() * POOL_TROUBLES.length)]!
  const movedAt = Math.round(span * (0.3 + 0.4 * random()))
  const holds = [0.2, 0.6].map(from => ({
    kind: 'upstreams-held',
    at: Math.round(span * (from + 0.2 * random())),
    duration: Math.round(MIN_HOLD_MS + HOLD_RANGE_MS * random()),
  }))
  return [
    { kind, at: Math.round(span * 0.3 * random()), duration: Math.round(span * 0.6) },
    { kind: 'callers-move-even', at: 0, duration: movedAt - 1 },
    { kind: 'callers-move-odd', at: movedAt, duration: span - movedAt },
    ...holds,
  ]
}
