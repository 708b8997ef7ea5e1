import { rankByRendezvous } from '../utils/rendezvousHash.js'

/** A box that may hold bills for another. */
export interface WitnessCandidate {
  voter: string
  dataCentre: string
}

/** A bill survives the loss of any two boxes: its owner and two witnesses hold it. */
export const WITNESS_COUNT = 2

/**
 * The boxes that hold a box's bills: in data centres other than its own and other than each other's, as far
 * as there are any. The same for all bills of a box, so that holds can be sent together.
 */
export function resolveWitnesses(
  self: WitnessCandidate,
  others: readonly WitnessCandidate[],
  count: number = WITNESS_COUNT,
): string[] {
  const ranked = rankByRendezvous(self.voter, others, other => other.voter, others.length)
  const used = new Set([self.dataCentre])
  const chosen: WitnessCandidate[] = []
  for (const candidate of ranked) {
    if (chosen.length === count || used.has(candidate.dataCentre)) continue
    used.add(candidate.dataCentre)
    chosen.push(candidate)
  }
  const fillers = ranked.filter(candidate => !chosen.includes(candidate))
  return [...chosen, ...fillers].slice(0, count).map(candidate => candidate.voter)
}
