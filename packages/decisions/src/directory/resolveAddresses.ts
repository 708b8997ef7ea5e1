import type { Milliseconds } from '../types/clock.js'
import { rankByRendezvous } from '../utils/rendezvousHash.js'

/** A box, as listed in the directory for callers. */
export interface DirectoryEntry {
  box: string
  address: string
  dataCentre: string
  state: 'starting' | 'serving' | 'leaving'
  /** Utilisation of the box; above 1 when overloaded. */
  load: number
}

/** Addresses for a caller, in order of preference, and how long the caller may cache them. */
export interface CallerAddresses {
  addresses: { address: string; dataCentre: string }[]
  lifetimeSeconds: number
}

const ADDRESS_COUNT = 3
/** Boxes considered for each caller. */
const CANDIDATE_COUNT = 6
/** Load from which a box is listed after the others. */
const OVERLOAD_THRESHOLD = 0.9

/**
 * Selects the addresses for a caller. Rendezvous hashing spreads callers evenly over the boxes.
 * Boxes of the caller's data centre are preferred, overloaded ones come last, and the last address
 * is in another data centre if there is one. Falls back to other data centres when the caller's has
 * no serving box.
 */
export function resolveAddresses(
  caller: string,
  dataCentre: string | undefined,
  entries: readonly DirectoryEntry[],
  lifetime: Milliseconds,
): CallerAddresses {
  const serving = entries.filter(entry => entry.state === 'serving')
  const near = serving.filter(entry => entry.dataCentre === dataCentre)
  const far = serving.filter(entry => entry.dataCentre !== dataCentre)
  const nearest = near.length > 0 ? near : far
  const ranked = rankByRendezvous(caller, nearest, entry => entry.box, CANDIDATE_COUNT)
  const available = ranked.filter(entry => entry.load < OVERLOAD_THRESHOLD)
  const overloaded = ranked
    .filter(entry => entry.load >= OVERLOAD_THRESHOLD)
    .sort((left, right) => left.load - right.load)
  const chosen = [...available, ...overloaded].slice(0, ADDRESS_COUNT)
  const elsewhere = rankByRendezvous(caller, far, entry => entry.box, CANDIDATE_COUNT).find(
    entry => !chosen.some(other => other.dataCentre === entry.dataCentre),
  )
  if (elsewhere) chosen.splice(ADDRESS_COUNT - 1, 1, elsewhere)
  return {
    addresses: chosen.map(({ address, dataCentre }) => ({ address, dataCentre })),
    lifetimeSeconds: Math.round(lifetime / 1_000),
  }
}
