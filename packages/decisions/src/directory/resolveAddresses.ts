import type { Milliseconds } from '../types/clock.js'
import { rankByRendezvous } from '../utils/rendezvousHash.js'

/** A box as the directory to callers sees it. */
export interface DirectoryEntry {
  box: string
  address: string
  dataCentre: string
  state: 'starting' | 'serving' | 'leaving'
  /** Share of the box that is in use, 0 to 1 and above. */
  load: number
}

/** What a caller is told: where to connect, in this order, and for how long to keep the answer. */
export interface CallerAddresses {
  addresses: { address: string; dataCentre: string }[]
  lifetimeSeconds: number
}

/** A caller gets a few addresses however many boxes there are. */
const ADDRESS_COUNT = 3
/** Candidates of which the least loaded come first. */
const CANDIDATE_COUNT = 6
const LOAD_TOO_HIGH = 0.9

/**
 * The addresses for one caller. Callers of one key are spread by rendezvous, so that each box gets its share
 * without a balancer; near boxes go first, full ones last, and the last address is in another data centre.
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
  const fresh = ranked.filter(entry => entry.load < LOAD_TOO_HIGH)
  const full = ranked
    .filter(entry => entry.load >= LOAD_TOO_HIGH)
    .sort((left, right) => left.load - right.load)
  const chosen = [...fresh, ...full].slice(0, ADDRESS_COUNT)
  const elsewhere = rankByRendezvous(caller, far, entry => entry.box, CANDIDATE_COUNT).find(
    entry => !chosen.some(other => other.dataCentre === entry.dataCentre),
  )
  if (elsewhere) chosen.splice(ADDRESS_COUNT - 1, 1, elsewhere)
  return {
    addresses: chosen.map(({ address, dataCentre }) => ({ address, dataCentre })),
    lifetimeSeconds: Math.round(lifetime / 1_000),
  }
}
