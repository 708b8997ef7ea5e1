import { rankByRendezvous } from '../utils/rendezvousHash.js'

/** A box that may be linked to. */
export interface PeerCandidate {
  box: string
  dataCentre: string
}

/** Boxes of each data centre that read the store for the rest of it. */
export const RELAYS_PER_DATA_CENTRE = 2

/** The boxes that stand for their data centre towards the store: the same for whoever asks. */
export function relaysOf(boxes: readonly PeerCandidate[], dataCentre: string): PeerCandidate[] {
  const inside = boxes.filter(box => box.dataCentre === dataCentre)
  return rankByRendezvous(`relay/${dataCentre}`, inside, box => box.box, RELAYS_PER_DATA_CENTRE)
}
