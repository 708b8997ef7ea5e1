/**
 * Pending prefill work at each upstream as one box knows it: its own, and what other boxes report.
 * A few boxes report to each other directly. In larger deployments each box reports to the relay of
 * its data centre, which broadcasts the sums.
 */
import type { Milliseconds } from '../types/clock.js'

/** Pending prefill time at one upstream, at the pace of the estimates. */
export type WorkEntry = [upstream: string, work: Milliseconds]

/**
 * Where a box reports: to every other box, to its data centre's relay, or, as the relay, to its
 * data centre.
 */
export type WorkRole = 'direct' | 'member' | 'relay'

export interface PendingWork {
  /** This box's own work, by upstream. */
  own: Map<string, Milliseconds>
  /** The work last reported to others, by upstream. */
  lastSent: Map<string, Milliseconds>
  /** Work reported by others, by upstream and sender. */
  received: Map<string, Map<string, ReceivedWork>>
}

interface ReceivedWork {
  work: Milliseconds
  receivedAt: Milliseconds
}

/** Received work expires after this without a new report: six rounds of full reports. */
const RECEIVED_LIFETIME: Milliseconds = 2_500
/** Smaller changes are not reported. */
const MIN_CHANGE: Milliseconds = 8
/** Sums below this are rounding residue and count as zero. */
const ROUNDING_ERROR: Milliseconds = 0.5
/** Sender key of the relay's sums. */
const RELAY_SENDER = ''

export function createPendingWork(): PendingWork {
  return { own: new Map(), lastSent: new Map(), received: new Map() }
}

/** Adds work for a prompt that this box sent; negative work when its prefill ended. */
export function addOwnWork({ own }: PendingWork, upstream: string, work: Milliseconds): void {
  const next = (own.get(upstream) ?? 0) + work
  if (next < ROUNDING_ERROR) own.delete(upstream)
  else own.set(upstream, next)
}

/** Records another box's report of its own work. Zero work removes an entry. */
export function recordBoxWork(
  state: PendingWork,
  box: string,
  entries: readonly WorkEntry[],
  receivedAt: Milliseconds,
): void {
  for (const [upstream, work] of entries) {
    const bySender = state.received.get(upstream) ?? new Map<string, ReceivedWork>()
    state.received.set(upstream, bySender)
    if (work > 0) bySender.set(box, { work, receivedAt })
    else bySender.delete(box)
  }
}

/** Records the relay's sums for the data centre, less what this box last reported to it. */
export function recordWorkSums(
  state: PendingWork,
  entries: readonly WorkEntry[],
  receivedAt: Milliseconds,
): void {
  const othersWork = entries.map(([upstream, sum]): WorkEntry => {
    return [upstream, Math.max(0, sum - (state.lastSent.get(upstream) ?? 0))]
  })
  recordBoxWork(state, RELAY_SENDER, othersWork, receivedAt)
}

/** Pending prefill time at an upstream over all boxes; expired reports don't count. */
export function pendingWorkAt(
  state: PendingWork,
  upstream: string,
  now: Milliseconds,
): Milliseconds {
  let sum = state.own.get(upstream) ?? 0
  for (const { work, receivedAt } of state.received.get(upstream)?.values() ?? [])
    if (now - receivedAt < RECEIVED_LIFETIME) sum += work
  return sum
}

/** The work that a box in this role reports for an upstream. */
function workToSend(state: PendingWork, role: WorkRole, upstream: string, now: Milliseconds) {
  return role === 'relay' ? pendingWorkAt(state, upstream, now) : (state.own.get(upstream) ?? 0)
}

function upstreamsOf(state: PendingWork, role: WorkRole): Set<string> {
  const others = role === 'relay' ? state.received.keys() : []
  return new Set([...state.own.keys(), ...state.lastSent.keys(), ...others])
}

/** The entries that changed since the last report; marks them as reported. */
export function takeChangedWork(
  state: PendingWork,
  role: WorkRole,
  now: Milliseconds,
): WorkEntry[] {
  const changed: WorkEntry[] = []
  for (const upstream of upstreamsOf(state, role)) {
    const work = workToSend(state, role, upstream, now)
    if (Math.abs(work - (state.lastSent.get(upstream) ?? 0)) < MIN_CHANGE) continue
    changed.push([upstream, Math.round(work)])
    if (work > 0) state.lastSent.set(upstream, work)
    else state.lastSent.delete(upstream)
  }
  return changed
}

/** All non-zero entries, for receivers that may have missed a change. */
export function allWork(state: PendingWork, role: WorkRole, now: Milliseconds): WorkEntry[] {
  const entries: WorkEntry[] = []
  for (const upstream of upstreamsOf(state, role)) {
    const work = Math.round(workToSend(state, role, upstream, now))
    if (work > 0) entries.push([upstream, work])
  }
  return entries
}

/** Clears sent and received reports, since a change of role changes both receivers and senders. */
export function clearReportedWork(state: PendingWork): void {
  state.lastSent.clear()
  state.received.clear()
}

/** Removes the reports on an upstream that is gone. */
export function forgetWork(state: PendingWork, upstream: string): void {
  state.received.delete(upstream)
  state.lastSent.delete(upstream)
}
