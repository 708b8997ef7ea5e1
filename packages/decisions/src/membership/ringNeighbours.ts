/** Largest number of boxes that form a full mesh. */
const FULL_MESH_LIMIT = 12
/**
 * Distances to neighbours on the ring of sorted names. Powers of 3 keep the hop count logarithmic.
 */
const RING_DISTANCES = [1, 3, 9, 27, 81, 243]

/**
 * The gossip neighbours of a box: all members of a small group, otherwise those at exponentially
 * growing distances on a ring. Distances apply in both directions, so the relation is symmetric.
 */
export function ringNeighbours<T>(
  self: string,
  members: readonly T[],
  nameOf: (member: T) => string,
): T[] {
  const others = members.filter(member => nameOf(member) !== self)
  if (others.length < FULL_MESH_LIMIT) return others
  const ring = [...others].sort((left, right) => (nameOf(left) < nameOf(right) ? -1 : 1))
  const before = ring.filter(member => nameOf(member) < self).length
  const neighbours = new Set<T>()
  // `self` would be between `before - 1` and `before`.
  for (const distance of RING_DISTANCES.filter(step => step <= (ring.length + 1) / 2)) {
    neighbours.add(ring[(before + distance - 1) % ring.length]!)
    neighbours.add(ring[(before - distance + ring.length) % ring.length]!)
  }
  return [...neighbours]
}
