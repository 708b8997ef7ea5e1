import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** The only source of chance: a number in [0, 1). */
export type Random = () => number

const TWO_TO_THE_32 = 0x1_0000_0000

/** A random source whose sequence depends on the seed alone. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / TWO_TO_THE_32
}

/** One entry of `items`, drawn in proportion to `weightOf`. Undefined when no weight is above zero. */
export function pickWeighted<T>(
  items: readonly T[],
  weightOf: (item: T) => number,
  random: Random,
): T | undefined {
  const total = items.reduce((sum, item) => sum + weightOf(item), 0)
  if (total <= 0) return undefined
  let left = random() * total
  for (const item of items) {
    left -= weightOf(item)
    if (left < 0) return item
  }
  return items.findLast(item => weightOf(item) > 0)
}
