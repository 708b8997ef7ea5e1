/**
 * Draws an upstream by its free places. It answers a load where many boxes look for room at the same
 * time: the emptiest one that all know would be sent everything until the next report.
 */
import type { Random } from '../types/random.js'

/**
 * Draws an item such that `arriving` requests that are drawn alike leave all items that get any with
 * equally many free places. `freeOf` is negative where requests wait.
 */
export function drawByRoom<T>(
  items: readonly T[],
  freeOf: (item: T) => number,
  arriving: number,
  random: Random,
): T | undefined {
  const ranked = items
    .map(item => ({ item, free: freeOf(item) }))
    .sort((left, right) => right.free - left.free)
  const level = levelAfter(
    ranked.map(({ free }) => free),
    Math.max(1, arriving),
  )
  let remaining = random() * Math.max(1, arriving)
  for (const { item, free } of ranked) {
    remaining -= free - level
    if (remaining < 0) return item
  }
  return ranked[0]?.item
}

/** Free places of those that get any of `arriving` requests, the emptiest filled first. */
function levelAfter(descending: readonly number[], arriving: number): number {
  let sum = 0
  for (const [index, free] of descending.entries()) {
    sum += free
    const level = (sum - arriving) / (index + 1)
    const next = descending[index + 1]
    if (next === undefined || level >= next) return level
  }
  return 0
}
