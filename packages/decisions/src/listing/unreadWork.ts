/**
 * The prompts that engines have still to read, as one box knows them: its own and, by what it is told, those of others.
 * A few boxes tell each other directly. Where there are more, each tells the relay of its data centre, which tells all
 * of them the sums: a box of 90, each with 4 prompts a second, then sends 15 messages a second about them in place of 116.
 */
import type { Milliseconds } from '../types/clock.js'

/** Work at one upstream. */
export type WorkEntry = [upstream: string, work: Milliseconds]

/** Whom a box tells: each other box, its data centre's relay, or, as the relay, its data centre. */
export type WorkRole = 'direct' | 'member' | 'relay'

export interface UnreadWork {
  /** This box's own, by upstream. */
  own: Map<string, Milliseconds>
  /** What was last told, by upstream. */
  told: Map<string, Milliseconds>
  /** That of others, by upstream and whoever told of it. */
  others: Map<string, Map<string, HeardWork>>
}

interface HeardWork {
  work: Milliseconds
  heardAt: Milliseconds
}

/** Others' work that was not told of again is forgotten after this: six rounds in which everything is told again. */
const HEARD_LIFETIME: Milliseconds = 2_500
/** Smaller changes are not worth a message. */
const LEAST_CHANGE: Milliseconds = 8
/** What is left of a sum by rounding. */
const NOTHING: Milliseconds = 0.5
/** Stands for the relay in place of a box's name. */
const RELAY = ''

export function createUnreadWork(): UnreadWork {
  return { own: new Map(), told: new Map(), others: new Map() }
}

/** This box has sent a prompt, or an engine has read it. */
export function addOwnWork({ own }: UnreadWork, upstream: string, work: Milliseconds): void {
  const next = (own.get(upstream) ?? 0) + work
  if (next < NOTHING) own.delete(upstream)
  else own.set(upstream, next)
}

/** Another box tells of its own work. */
export function takeBoxWork(
  state: UnreadWork,
  box: string,
  entries: readonly WorkEntry[],
  heardAt: Milliseconds,
): void {
  for (const [upstream, work] of entries) {
    const heard = state.others.get(upstream) ?? new Map<string, HeardWork>()
    state.others.set(upstream, heard)
    if (work > 0) heard.set(box, { work, heardAt })
    else heard.delete(box)
  }
}

/** The relay tells of the work of the whole data centre, in which is what this box has told it. */
export function takeWorkSums(
  state: UnreadWork,
  entries: readonly WorkEntry[],
  heardAt: Milliseconds,
): void {
  const ofOthers = entries.map(([upstream, sum]): WorkEntry => {
    return [upstream, Math.max(0, sum - (state.told.get(upstream) ?? 0))]
  })
  takeBoxWork(state, RELAY, ofOthers, heardAt)
}

/** Time that an engine reads for at the pace of the estimates. */
export function unreadAt(state: UnreadWork, upstream: string, now: Milliseconds): Milliseconds {
  let sum = state.own.get(upstream) ?? 0
  for (const { work, heardAt } of state.others.get(upstream)?.values() ?? [])
    if (now - heardAt < HEARD_LIFETIME) sum += work
  return sum
}

/** What a box in this role tells of an upstream. */
function tellable(state: UnreadWork, role: WorkRole, upstream: string, now: Milliseconds) {
  return role === 'relay' ? unreadAt(state, upstream, now) : (state.own.get(upstream) ?? 0)
}

function upstreamsOf(state: UnreadWork, role: WorkRole): Set<string> {
  const others = role === 'relay' ? state.others.keys() : []
  return new Set([...state.own.keys(), ...state.told.keys(), ...others])
}

/** What has changed since it was last told. It counts as told from now on. */
export function changedWork(state: UnreadWork, role: WorkRole, now: Milliseconds): WorkEntry[] {
  const changed: WorkEntry[] = []
  for (const upstream of upstreamsOf(state, role)) {
    const work = tellable(state, role, upstream, now)
    if (Math.abs(work - (state.told.get(upstream) ?? 0)) < LEAST_CHANGE) continue
    changed.push([upstream, Math.round(work)])
    if (work > 0) state.told.set(upstream, work)
    else state.told.delete(upstream)
  }
  return changed
}

/** All that a box tells, for those that may have missed a change. */
export function allWork(state: UnreadWork, role: WorkRole, now: Milliseconds): WorkEntry[] {
  const entries: WorkEntry[] = []
  for (const upstream of upstreamsOf(state, role)) {
    const work = Math.round(tellable(state, role, upstream, now))
    if (work > 0) entries.push([upstream, work])
  }
  return entries
}

/** The box tells others from now on: they know nothing of it, and whoever told this box no longer does. */
export function changeWorkRole(state: UnreadWork): void {
  state.told.clear()
  state.others.clear()
}

/** The upstream is gone. */
export function forgetWork(state: UnreadWork, upstream: string): void {
  state.others.delete(upstream)
  state.told.delete(upstream)
}
