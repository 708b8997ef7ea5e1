import murmur from 'imurmurhash'

/** 32-bit MurmurHash3 of a text. */
export function hashText(text: string, seed = 0): number {
  return murmur(text, seed).result()
}

/**
 * Rendezvous hashing: the `count` members that rank highest for `key`. A member that joins or
 * leaves affects only the keys that it gains or loses.
 */
export function rankByRendezvous<T>(
  key: string,
  members: readonly T[],
  nameOf: (member: T) => string,
  count: number,
): T[] {
  const seed = hashText(key)
  return members
    .map(member => ({ member, score: hashText(nameOf(member), seed) }))
    .sort((a, b) => b.score - a.score)
    .slice(0, count)
    .map(entry => entry.member)
}

/** Combines two hashes into a 32-bit one, with the finalizer of MurmurHash3. */
export function mixHashes(left: number, right: number): number {
  let mixed = left ^ right
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
