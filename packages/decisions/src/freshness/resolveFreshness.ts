import type { Milliseconds } from '../types/clock.js'
import { hasMajority, type VoterId, type VoterSet } from '../membership/voters.js'
import type { TableState } from './tableState.js'

/** Whether a box may serve with its copy of the table; `stale` means that it may not. */
export type Freshness = 'confirmed' | 'vouched' | 'stale'

/**
 * Decides whether a box may serve with its copy. `confirmed`: the copy was the store's newest
 * revision within the last `maxConfirmationAge`. `vouched`: the store is unavailable, a majority of
 * each relevant voter set reports so too, and none of that majority has a newer revision. A change
 * is written only after a majority has acknowledged its announcement, so every vouching majority
 * contains a box that received it; boxes enforce an announced change together with the present
 * table until it is settled.
 */
export function resolveFreshness(state: TableState, now: Milliseconds): Freshness {
  if (
    state.confirmedAt !== undefined &&
    now - state.confirmedAt <= state.limits.maxConfirmationAge
  ) {
    return 'confirmed'
  }
  return isVouched(state, now) ? 'vouched' : 'stale'
}

/** Whether the store has not answered this box for longer than `storeOutAfter`. */
export function isStoreOut(state: TableState, now: Milliseconds): boolean {
  const lastRead = state.storeReadAt ?? state.startedAt
  return now - lastRead > state.limits.storeOutAfter
}

/**
 * The voter sets that must each give a majority: the current one and those proposed with a later
 * epoch.
 */
export function relevantVoterSets(state: TableState): VoterSet[] {
  const open = [...state.open.values()].flatMap(({ content }) =>
    content.kind === 'voters' && content.set.epoch > (state.voters?.epoch ?? 0)
      ? [content.set]
      : [],
  )
  return state.voters ? [state.voters, ...open] : open
}

function isVouched(state: TableState, now: Milliseconds): boolean {
  if (!state.voters || !isStoreOut(state, now)) return false
  if (state.table.revision < state.floor) return false
  return relevantVoterSets(state).every(set =>
    hasMajority(set, voter => isVouching(state, voter, now)),
  )
}

function isVouching(state: TableState, voter: VoterId, now: Milliseconds): boolean {
  if (voter === state.self) return true
  const report = state.peers.get(voter)
  if (!report || !report.storeOut) return false
  return now - report.asOf <= state.limits.maxReportAge && report.revision <= state.table.revision
}
