import type { Random } from '@yewkeel/decisions'
import { FAULT_KINDS } from './faultKinds.js'

/** A fault of a seed's plan, in ms from the start of its faults. */
export interface PlannedFault {
  kind: string
  at: number
  lasts: number
}

/** Mean pause between two faults, in ms: several overlap most of the time. */
const MEAN_GAP_MS = 550
/** The same fault comes again right after, in series, in this part of the cases. */
const SERIES_SHARE = 0.25
const SHORTEST_MS = 200
const LONGEST_MS = 3_000

/** The faults of a seed: always the same for the same seed, in series and overlapping. */
export function planFaults(random: Random, span: number): PlannedFault[] {
  const kinds = Object.keys(FAULT_KINDS)
  const plan: PlannedFault[] = []
  let kind = kinds[Math.floor(random() * kinds.length)]!
  for (let at = 0; at < span; at += 2 * MEAN_GAP_MS * random()) {
    if (random() >= SERIES_SHARE) kind = kinds[Math.floor(random() * kinds.length)]!
    const lasts = SHORTEST_MS + (LONGEST_MS - SHORTEST_MS) * random() ** 2
    plan.push({ kind, at: Math.round(at), lasts: Math.round(lasts) })
  }
  return plan
}
