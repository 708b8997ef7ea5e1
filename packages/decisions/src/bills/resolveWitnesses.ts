import { rankByRendezvous } from '../utils/rendezvousHash.js'

/** A box, as a possible witness of another box's bills. */
export interface WitnessCandidate {
  voter: string
  dataCentre: string
}

/** With its owner, three boxes hold a bill, so that it survives the loss of any two. */
export const WITNESS_COUNT = 2

/**
 * Selects the witnesses of a box's bills by rendezvous hashing, in distinct data centres other than
 * its own where possible. All bills of a box share the same witnesses, so that they can be sent in
 * batches.
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
