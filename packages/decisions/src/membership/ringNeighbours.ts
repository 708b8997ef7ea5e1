/** Up to this many boxes, every box is linked to every other. */
const FULL_MESH = 12
/** Distances on the ring of names. Each step triples, so that news crosses 640 boxes in six hops. */
const DISTANCES = [1, 3, 9, 27, 81, 243]

/**
 * The members that a box exchanges news with: all of a small group, and in a larger one those at growing
 * distances on a ring, both ways, so that the relation is the same from either side.
 */
export function ringNeighbours<T>(
  self: string,
  members: readonly T[],
  nameOf: (member: T) => string,
): T[] {
  const others = members.filter(member => nameOf(member) !== self)
  if (others.length < FULL_MESH) return others
  const ring = [...others].sort((left, right) => (nameOf(left) < nameOf(right) ? -1 : 1))
  const before = ring.filter(member => nameOf(member) < self).length
  const chosen = new Set<T>()
  // The box itself stands between `before - 1` and `before`.
  for (const distance of DISTANCES.filter(step => step <= (ring.length + 1) / 2)) {
    chosen.add(ring[(before + distance - 1) % ring.length]!)
    chosen.add(ring[(before - distance + ring.length) % ring.length]!)
  }
  return [...chosen]
}
