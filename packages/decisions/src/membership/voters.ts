/**
 * One incarnation of a box, `box/incarnation`. A restarted box is another voter than before, because it has
 * forgotten what it was told.
 */
export type VoterId = string

/** The boxes whose majority can vouch for the table while the store is out. Kept in the store. */
export interface VoterSet {
  epoch: number
  voters: VoterId[]
}

export const VOTERS_KEY = 'table/voters'

export function formatVoter(box: string, incarnation: string): VoterId {
  return `${box}/${incarnation}`
}

export function boxOfVoter(voter: VoterId): string {
  return voter.slice(0, voter.lastIndexOf('/'))
}

/** Whether more than half of the set satisfies `counts`. An empty set has no majority. */
export function hasMajority(set: VoterSet, counts: (voter: VoterId) => boolean): boolean {
  const agreeing = set.voters.filter(counts).length
  return agreeing * 2 > set.voters.length
}

/** The set in which `joining` stands for all earlier incarnations of its box, and `gone` are left out. */
export function nextVoterSet(
  current: VoterSet | undefined,
  joining: VoterId | undefined,
  gone: ReadonlySet<VoterId>,
): VoterSet {
  const kept = (current?.voters ?? []).filter(
    voter => !gone.has(voter) && (!joining || boxOfVoter(voter) !== boxOfVoter(joining)),
  )
  const voters = joining ? [...kept, joining] : kept
  return { epoch: (current?.epoch ?? 0) + 1, voters: voters.sort() }
}
