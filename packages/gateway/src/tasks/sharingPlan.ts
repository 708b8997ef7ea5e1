import { relaysOf, type ForwardingMember, type SharingRole } from '@yewkeel/decisions'
import type { BoxEntry } from '../types/ports.js'
import type { KnownBox } from './knownBoxes.js'

/** Who receives the load reports of a box. */
export interface SharingPlan {
  role: SharingRole
  /** Boxes that receive the reports of this one. */
  recipients: readonly BoxEntry[]
  /** How many other boxes the relay of this data centre reports to; 0 in a mesh. */
  memberCount: number
  /** Boxes to forward this relay's sums to; empty unless this box is a relay. */
  members: readonly ForwardingMember[]
  /** Relays of the other data centres; empty unless this box is a relay. */
  otherRelays: readonly BoxEntry[]
  /** How many other data centres there are; 0 in a mesh. */
  otherDataCentreCount: number
}

/** In a full mesh every box reports to all others. */
export function shareDirectly(neighbours: readonly BoxEntry[]): SharingPlan {
  return {
    role: 'direct',
    recipients: neighbours,
    memberCount: 0,
    members: [],
    otherRelays: [],
    otherDataCentreCount: 0,
  }
}

/**
 * Without a full mesh, the members of a data centre report their load to a relay, which distributes
 * the sums. The relay is chosen from the serving boxes; while boxes disagree on it, load is not
 * shared. `serving`: the other boxes that serve.
 */
export function shareByRelay(
  self: BoxEntry,
  isServing: boolean,
  serving: readonly KnownBox[],
): SharingPlan {
  const { dataCentre } = self
  const near = serving.filter(({ entry }) => entry.dataCentre === dataCentre)
  const members = near.map(({ entry }) => entry)
  const far = serving.map(({ entry }) => entry).filter(entry => entry.dataCentre !== dataCentre)
  const farDataCentres = new Set(far.map(entry => entry.dataCentre))
  const [relay] = relaysOf(isServing ? [...members, self] : members, dataCentre)
  const common = { memberCount: members.length, otherDataCentreCount: farDataCentres.size }
  if (relay?.box !== self.box) {
    const recipients = members.filter(({ box }) => box === relay?.box)
    return { ...common, role: 'member', recipients, members: [], otherRelays: [] }
  }
  const relays = [...farDataCentres].map(each => relaysOf(far, each)[0]?.box)
  return {
    ...common,
    role: 'relay',
    recipients: members,
    members: near.map(({ entry: { box }, headroom }) => ({ box, headroom })),
    otherRelays: far.filter(({ box }) => relays.includes(box)),
  }
}
