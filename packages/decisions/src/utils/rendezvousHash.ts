import murmur from 'imurmurhash'

/** 32-bit hash of a text. */
export function hashText(text: string, seed = 0): number {
  return murmur(text, seed).result()
}

/**
 * The `count` members that rank highest for `key`. A member that joins or leaves moves only the keys
 * that it gains or loses.
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

/** Spreads two hashes evenly over 32 bits: the last steps of MurmurHash3. */
export function mixHashes(left: number, right: number): number {
  let mixed = left ^ right
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
