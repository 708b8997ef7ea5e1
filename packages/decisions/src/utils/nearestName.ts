import { closest, distance } from 'fastest-levenshtein'

const FARTHEST_USEFUL_DISTANCE = 4

/** The known name that a mistyped one most likely meant. */
export function nearestName(name: string, known: readonly string[]): string | undefined {
  if (known.length === 0) return undefined
  const candidate = closest(name, known)
  return distance(name, candidate) <= FARTHEST_USEFUL_DISTANCE ? candidate : undefined
}
