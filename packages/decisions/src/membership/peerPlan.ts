import { rankByRendezvous } from '../utils/rendezvousHash.js'

/** A box that may be linked to. */
export interface PeerCandidate {
  box: string
  dataCentre: string
}

/** Up to this many boxes, each is linked to each. */
export const FULL_MESH_BOXES = 24
/** Boxes of each data centre that are linked to those of the others. */
export const RELAYS_PER_DATA_CENTRE = 2

/** The boxes that stand for their data centre towards the others. */
export function relaysOf(boxes: readonly PeerCandidate[], dataCentre: string): PeerCandidate[] {
  const inside = boxes.filter(box => box.dataCentre === dataCentre)
  return rankByRendezvous(`relay/${dataCentre}`, inside, box => box.box, RELAYS_PER_DATA_CENTRE)
}

/**
 * The boxes that a box keeps a link to. In a small system all of them. In a large one those of its own data
 * centre, and, if it is a relay, the relays of the other data centres.
 */
export function resolvePeers(
  self: PeerCandidate,
  boxes: readonly PeerCandidate[],
): PeerCandidate[] {
  const others = boxes.filter(box => box.box !== self.box)
  if (boxes.length <= FULL_MESH_BOXES) return others
  const near = others.filter(box => box.dataCentre === self.dataCentre)
  const isRelay = relaysOf(boxes, self.dataCentre).some(box => box.box === self.box)
  if (!isRelay) return near
  const centres = new Set(others.map(box => box.dataCentre))
  centres.delete(self.dataCentre)
  return [...near, ...[...centres].flatMap(centre => relaysOf(boxes, centre))]
}
