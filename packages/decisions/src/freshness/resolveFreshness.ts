import type { Milliseconds } from '../types/clock.js'
import { hasMajority, type VoterId, type VoterSet } from '../membership/voters.js'
import type { TableState } from './tableState.js'

/** Why a box may serve with its copy of the table, or that it may not. */
export type Freshness = 'confirmed' | 'vouched' | 'stale'

/**
 * Says whether a box may serve with its copy. `confirmed`: the copy was the store's newest a short time ago.
 * `vouched`: the store is out, a majority of the voters says so, and none of them knows a newer revision.
 * A change is written only after a majority has heard of it, so any majority that vouches holds a box that
 * knows of the change; what that box knows is honoured before it is settled.
 */
export function resolveFreshness(state: TableState, now: Milliseconds): Freshness {
  if (state.confirmedAt !== undefined && now - state.confirmedAt <= state.limits.freshFor) {
    return 'confirmed'
  }
  return isVouched(state, now) ? 'vouched' : 'stale'
}

/** Whether this box has not heard from the store for long enough to call it out. */
export function isStoreOut(state: TableState, now: Milliseconds): boolean {
  const heard = state.storeReadAt ?? state.startedAt
  return now - heard > state.limits.storeOutAfter
}

/** The voter sets of which each must give a majority: the one that stands and those that may be about to. */
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
    hasMajority(set, voter => vouches(state, voter, now)),
  )
}

function vouches(state: TableState, voter: VoterId, now: Milliseconds): boolean {
  if (voter === state.self) return true
  const word = state.peers.get(voter)
  if (!word || !word.storeOut) return false
  return now - word.asOf <= state.limits.peerWordFor && word.revision <= state.table.revision
}
