import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** The only source of randomness: returns a number in [0, 1). */
export type Random = () => number

const TWO_TO_THE_32 = 0x1_0000_0000

/** A deterministic random source. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / TWO_TO_THE_32
}

/**
 * A random item with probability proportional to its weight. Undefined when no weight is above 0.
 */
export function pickWeighted<T>(
  items: readonly T[],
  weightOf: (item: T) => number,
  random: Random,
): T | undefined {
  const total = items.reduce((sum, item) => sum + weightOf(item), 0)
  if (total <= 0) return undefined
  let remaining = random() * total
  for (const item of items) {
    remaining -= weightOf(item)
    if (remaining < 0) return item
  }
  return items.findLast(item => weightOf(item) > 0)
}
