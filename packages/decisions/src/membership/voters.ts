/**
 * One incarnation of a box, `box/incarnation`. A restart makes a new voter, since the old state is
 * lost.
 */
export type VoterId = string

/** The boxes whose majority can vouch for the table while the store is unavailable. Stored. */
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

/** Whether more than half of the set satisfies `isCounted`. An empty set has no majority. */
export function hasMajority(set: VoterSet, isCounted: (voter: VoterId) => boolean): boolean {
  const count = set.voters.filter(isCounted).length
  return count * 2 > set.voters.length
}

/**
 * The next epoch's set: `joining` replaces earlier incarnations of its box, and `gone` are removed.
 */
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
