/**
 * Rating counts of model versions, replicated between boxes by heartbeats. Each counter belongs to
 * one box, version, kind and time block and only grows, so that merging takes the maximum of each
 * field: the merge is commutative and idempotent.
 */
import type { Milliseconds } from '../types/clock.js'

/** Counts of one box in one time block. `served`, `good` and `bad` only grow. */
export interface EvidenceCounter {
  /** `box/incarnation/model@version/kind/block`. */
  key: string
  version: string
  kind: string
  block: number
  served: number
  good: number
  bad: number
  /** Local sequence number of the last change; selects the counters that are still to be sent. */
  change: number
}

export interface EvidenceStore {
  self: string
  counters: Map<string, EvidenceCounter>
  changes: number
}

/** Length of a time block. Blocks keep old good ratings from masking a later regression. */
export const BLOCK_DURATION: Milliseconds = 60_000
/** Number of recent blocks kept apart; older ones are merged into `OLDER_BLOCK`. */
export const RETAINED_BLOCKS = 30
export const OLDER_BLOCK = -1

export function createEvidenceStore(self: string): EvidenceStore {
  return { self, counters: new Map(), changes: 0 }
}

export function blockOf(wallTime: Milliseconds): number {
  return Math.floor(wallTime / BLOCK_DURATION)
}

/** Adds to this box's own counter. */
export function addEvidence(
  store: EvidenceStore,
  at: { version: string; kind: string; block: number },
  added: Partial<Pick<EvidenceCounter, 'served' | 'good' | 'bad'>>,
): void {
  const key = `${store.self}/${at.version}/${at.kind}/${at.block}`
  const counter = store.counters.get(key) ?? { key, ...at, served: 0, good: 0, bad: 0, change: 0 }
  counter.served += added.served ?? 0
  counter.good += added.good ?? 0
  counter.bad += added.bad ?? 0
  counter.change = ++store.changes
  store.counters.set(key, counter)
}

/** Merges counters received from another box. */
export function mergeEvidence(store: EvidenceStore, received: readonly EvidenceCounter[]): void {
  for (const counter of received) {
    const known = store.counters.get(counter.key)
    const isNew =
      !known ||
      counter.served > known.served ||
      counter.good > known.good ||
      counter.bad > known.bad
    if (!isNew) continue
    store.counters.set(counter.key, {
      ...counter,
      served: Math.max(counter.served, known?.served ?? 0),
      good: Math.max(counter.good, known?.good ?? 0),
      bad: Math.max(counter.bad, known?.bad ?? 0),
      change: ++store.changes,
    })
  }
}

/** This box's own counters that changed after `change`. */
export function ownEvidenceSince(store: EvidenceStore, change: number): EvidenceCounter[] {
  return [...store.counters.values()].filter(
    counter => counter.change > change && counter.key.startsWith(`${store.self}/`),
  )
}

/**
 * Merges this box's old blocks into `OLDER_BLOCK` and drops those of other boxes, which bounds the
 * number of counters.
 */
export function mergeOldBlocks(store: EvidenceStore, block: number): void {
  for (const counter of [...store.counters.values()]) {
    if (counter.block === OLDER_BLOCK || counter.block > block - RETAINED_BLOCKS) continue
    store.counters.delete(counter.key)
    if (!counter.key.startsWith(`${store.self}/`)) continue
    addEvidence(
      store,
      { version: counter.version, kind: counter.kind, block: OLDER_BLOCK },
      counter,
    )
  }
}

/** Totals of one version and kind in one block over all boxes. */
export interface EvidenceTotal {
  served: number
  good: number
  bad: number
}

/** Totals by version, kind and block. */
export type EvidenceTotals = Map<string, Map<string, Map<number, EvidenceTotal>>>

export function totalEvidence(store: EvidenceStore): EvidenceTotals {
  const totals: EvidenceTotals = new Map()
  for (const counter of store.counters.values()) {
    const kinds = getOrCreate(totals, counter.version, () => new Map())
    const blocks = getOrCreate(kinds, counter.kind, () => new Map())
    const total = getOrCreate(blocks, counter.block, () => ({ served: 0, good: 0, bad: 0 }))
    total.served += counter.served
    total.good += counter.good
    total.bad += counter.bad
  }
  return totals
}

function getOrCreate<Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const known = map.get(key)
  if (known !== undefined) return known
  const created = create()
  map.set(key, created)
  return created
}
