import { rankByRendezvous } from '../utils/rendezvousHash.js'

/** A box that may become a peer. */
export interface PeerCandidate {
  box: string
  dataCentre: string
}

/** Number of boxes in each data centre that read the store for the others. */
export const RELAYS_PER_DATA_CENTRE = 2

/**
 * The boxes that read the store for their data centre. Deterministic: all boxes choose the same
 * ones.
 */
export function relaysOf(boxes: readonly PeerCandidate[], dataCentre: string): PeerCandidate[] {
  const inside = boxes.filter(box => box.dataCentre === dataCentre)
  return rankByRendezvous(`relay/${dataCentre}`, inside, box => box.box, RELAYS_PER_DATA_CENTRE)
}
