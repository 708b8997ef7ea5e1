/**
 * Amounts by key as one box knows them summed over all boxes: its own, and what other boxes report.
 * A few boxes report to each other directly. In larger deployments each box reports to the relay of
 * its data centre, which broadcasts the sums.
 */
import type { Milliseconds } from '../types/clock.js'

/** The amounts of one key, such as an upstream. Missing amounts are zero. */
export type SumEntry = [key: string, ...amounts: number[]]

/**
 * Where a box reports: to every other box, to its data centre's relay, or, as the relay, to its
 * data centre.
 */
export type SharingRole = 'direct' | 'member' | 'relay'

export interface SharedSums {
  /** Smaller changes are not reported; one entry for each amount of a key. */
  minChanges: readonly number[]
  /** This box's own amounts. */
  own: Map<string, number[]>
  /** The amounts last reported to others. */
  lastSent: Map<string, number[]>
  /** When they were reported. */
  lastSentAt: Map<string, Milliseconds>
  /** Amounts reported by others, by key and sender. */
  received: Map<string, Map<string, ReceivedAmounts>>
}

interface ReceivedAmounts {
  amounts: readonly number[]
  receivedAt: Milliseconds
}

/** Received amounts expire after this without a new report: six rounds of full reports. */
const RECEIVED_LIFETIME: Milliseconds = 2_500
/**
 * A relay repeats amounts that have not changed after this, each by itself: a missed change is known
 * twice before it would expire. All amounts in each round were most of what a relay sent.
 */
export const RELAY_REPEAT_INTERVAL: Milliseconds = 1_000
/** Amounts below this are rounding residue and count as zero. */
const ROUNDING_ERROR = 0.5
/** Sender key of the relay's sums. */
const RELAY_SENDER = ''

/** `minChanges`: the smallest change of each amount that is reported. */
export function createSharedSums(minChanges: readonly number[]): SharedSums {
  return {
    minChanges,
    own: new Map(),
    lastSent: new Map(),
    lastSentAt: new Map(),
    received: new Map(),
  }
}

/** Adds to this box's own amounts; negative amounts take away. */
export function addToSum(sums: SharedSums, key: string, added: readonly number[]): void {
  const known = sums.own.get(key)
  const amounts = known ?? sums.minChanges.map(() => 0)
  for (let index = 0; index < amounts.length; index++) {
    const amount = amounts[index]! + (added[index] ?? 0)
    amounts[index] = amount < ROUNDING_ERROR ? 0 : amount
  }
  if (isZero(amounts)) sums.own.delete(key)
  else if (!known) sums.own.set(key, amounts)
}

/** Records another box's report of its own amounts. Zero amounts remove an entry. */
export function recordBoxSums(
  sums: SharedSums,
  box: string,
  entries: readonly SumEntry[],
  receivedAt: Milliseconds,
): void {
  for (const [key, ...amounts] of entries) {
    const bySender = sums.received.get(key) ?? new Map<string, ReceivedAmounts>()
    if (isZero(amounts)) bySender.delete(box)
    else bySender.set(box, { amounts, receivedAt })
    if (bySender.size > 0) sums.received.set(key, bySender)
    else sums.received.delete(key)
  }
}

/** Records the relay's sums for the data centre, less what this box last reported to it. */
export function recordRelaySums(
  sums: SharedSums,
  entries: readonly SumEntry[],
  receivedAt: Milliseconds,
): void {
  const othersAmounts = entries.map(([key, ...amounts]): SumEntry => {
    const sent = sums.lastSent.get(key)
    return [key, ...amounts.map((amount, index) => Math.max(0, amount - (sent?.[index] ?? 0)))]
  })
  recordBoxSums(sums, RELAY_SENDER, othersAmounts, receivedAt)
}

/** One amount of a key over all boxes; expired reports don't count. */
export function amountOf(
  { own, received }: SharedSums,
  key: string,
  index: number,
  now: Milliseconds,
): number {
  let total = own.get(key)?.[index] ?? 0
  const bySender = received.get(key)
  if (!bySender) return total
  for (const { amounts, receivedAt } of bySender.values())
    if (now - receivedAt < RECEIVED_LIFETIME) total += amounts[index] ?? 0
  return total
}

/** The amounts of a key over all boxes; expired reports don't count. */
export function sumOf(sums: SharedSums, key: string, now: Milliseconds): number[] {
  const own = sums.own.get(key)
  const total = own ? [...own] : sums.minChanges.map(() => 0)
  const received = sums.received.get(key)
  if (!received) return total
  for (const { amounts, receivedAt } of received.values()) {
    if (now - receivedAt >= RECEIVED_LIFETIME) continue
    for (let index = 0; index < total.length; index++) total[index]! += amounts[index] ?? 0
  }
  return total
}

/** The amounts that a box in this role reports for a key. */
function amountsToSend(sums: SharedSums, role: SharingRole, key: string, now: Milliseconds) {
  return role === 'relay' ? sumOf(sums, key, now) : (sums.own.get(key) ?? [])
}

function keysOf(sums: SharedSums, role: SharingRole): Set<string> {
  const others = role === 'relay' ? sums.received.keys() : []
  return new Set([...sums.own.keys(), ...sums.lastSent.keys(), ...others])
}

/**
 * The entries that changed since the last report, and those that were not reported for
 * `repeatAfter`; marks them as reported.
 */
export function takeChangedSums(
  sums: SharedSums,
  role: SharingRole,
  now: Milliseconds,
  repeatAfter: Milliseconds = role === 'relay' ? RELAY_REPEAT_INTERVAL : Infinity,
): SumEntry[] {
  const changed: SumEntry[] = []
  for (const key of keysOf(sums, role)) {
    const amounts = amountsToSend(sums, role, key, now)
    const isDue = now - (sums.lastSentAt.get(key) ?? now) >= repeatAfter
    if (!isDue && !hasChanged(sums, key, amounts)) continue
    changed.push(toEntry(sums, key, amounts))
    markSent(sums, key, amounts, now)
  }
  return changed
}

function markSent(
  { lastSent, lastSentAt }: SharedSums,
  key: string,
  amounts: readonly number[],
  now: Milliseconds,
): void {
  if (isZero(amounts)) {
    lastSent.delete(key)
    lastSentAt.delete(key)
  } else {
    lastSent.set(key, [...amounts])
    lastSentAt.set(key, now)
  }
}

function hasChanged({ minChanges, lastSent }: SharedSums, key: string, amounts: readonly number[]) {
  const sent = lastSent.get(key)
  return minChanges.some(
    (least, index) => Math.abs((amounts[index] ?? 0) - (sent?.[index] ?? 0)) >= least,
  )
}

/** All non-zero entries, for receivers that may have missed a change. */
export function allSums(sums: SharedSums, role: SharingRole, now: Milliseconds): SumEntry[] {
  const entries: SumEntry[] = []
  for (const key of keysOf(sums, role)) {
    const entry = toEntry(sums, key, amountsToSend(sums, role, key, now))
    if (entry.length > 1) entries.push(entry)
  }
  return entries
}

/** Rounds the amounts and leaves out zeros at the end, which receivers assume. */
function toEntry({ minChanges }: SharedSums, key: string, amounts: readonly number[]): SumEntry {
  const rounded = minChanges.map((_, index) => Math.round(amounts[index] ?? 0))
  while (rounded.at(-1) === 0) rounded.pop()
  return [key, ...rounded]
}

/** Clears sent and received reports, since a change of role changes both receivers and senders. */
export function clearReportedSums(sums: SharedSums): void {
  sums.lastSent.clear()
  sums.lastSentAt.clear()
  sums.received.clear()
}

/** Removes the reports on a key that is gone. */
export function forgetSum(sums: SharedSums, key: string): void {
  sums.received.delete(key)
  sums.lastSent.delete(key)
  sums.lastSentAt.delete(key)
}

function isZero(amounts: readonly number[]): boolean {
  for (const amount of amounts) if (amount > 0) return false
  return true
}
