/**
 * Which members of a data centre forward the sums of its relay to the others. It answers a load where
 * one box that tells all others spends more on control than a box may: in a tree the relay sends two
 * reports in place of 32, and a forwarder four at most.
 */
import type { HeadroomLevel } from '../directory/boxHeadroom.js'
import { hashText } from '../utils/rendezvousHash.js'

/** A member that understands forwarded sums. */
export interface ForwardingMember {
  box: string
  /** What it can bear beyond its present load. */
  headroom: HeadroomLevel
}

/** A tree of members: each forwards to those below it. */
export interface ForwardingPlan {
  /** Members that the relay sends to. */
  heads: readonly string[]
  /** Members by the one that forwards to them. */
  children: ReadonlyMap<string, readonly string[]>
}

export const NO_FORWARDING: ForwardingPlan = { heads: [], children: new Map() }

/** Fewer members are told by the relay itself. */
const MIN_MEMBERS = 8
/** A relay also tells those of other data centres, so that it sends to few members. */
const HEADS = 2
const CHILDREN_EACH = 4
/**
 * A present forwarder stays until others are better by this many levels, a head by twice as many:
 * each change costs links, and reports that are sent twice.
 */
const PRESENT_BONUS: HeadroomLevel = 3

/**
 * Draws heads and forwarders by headroom, so that weak boxes forward nothing, and keeps members below
 * their present forwarder where that is possible.
 */
export function planForwarding(
  members: readonly ForwardingMember[],
  previous: ForwardingPlan,
): ForwardingPlan {
  if (members.length < MIN_MEMBERS) return NO_FORWARDING
  const ranked = rankMembers(members, previous)
  const present = forwarderByMember(previous)
  const children = new Map<string, string[]>()
  const heads = ranked.slice(0, HEADS)
  let parents = heads
  for (let at = HEADS; at < ranked.length; at += parents.length) {
    const level = ranked.slice(at, at + parents.length * CHILDREN_EACH)
    placeBelow(parents, level, present, children)
    parents = level
  }
  return { heads, children }
}

/** The forwarder of each member that has one. */
export function forwarderByMember({ children }: ForwardingPlan): Map<string, string> {
  const forwarders = new Map<string, string>()
  for (const [forwarder, boxes] of children) for (const box of boxes) forwarders.set(box, forwarder)
  return forwarders
}

/** Names of members, those that are to forward most first. */
function rankMembers(
  members: readonly ForwardingMember[],
  { heads, children }: ForwardingPlan,
): string[] {
  const bonusOf = (box: string) =>
    (children.has(box) ? PRESENT_BONUS : 0) + (heads.includes(box) ? PRESENT_BONUS : 0)
  return members
    .map(({ box, headroom }) => ({ box, rank: headroom + bonusOf(box), hash: hashText(box) }))
    .sort((left, right) => right.rank - left.rank || left.hash - right.hash)
    .map(({ box }) => box)
}

/** Spreads a level of the tree evenly over the one above. */
function placeBelow(
  parents: readonly string[],
  level: readonly string[],
  present: ReadonlyMap<string, string>,
  children: Map<string, string[]>,
): void {
  const groups = new Map<string, string[]>(parents.map(parent => [parent, []]))
  const largest = Math.ceil(level.length / parents.length)
  const unplaced: string[] = []
  for (const box of level) {
    const group = groups.get(present.get(box) ?? '')
    if (group && group.length < largest) group.push(box)
    else unplaced.push(box)
  }
  for (const box of unplaced) smallestOf(groups.values())!.push(box)
  for (const [parent, boxes] of groups) if (boxes.length > 0) children.set(parent, boxes)
}

function smallestOf(groups: Iterable<string[]>): string[] | undefined {
  let smallest: string[] | undefined
  for (const group of groups) if (!smallest || group.length < smallest.length) smallest = group
  return smallest
}
