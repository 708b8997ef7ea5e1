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
