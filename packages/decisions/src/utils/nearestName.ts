import { closest, distance } from 'fastest-levenshtein'

const MAX_EDIT_DISTANCE = 4

/** The known name with the smallest edit distance; undefined if none is close enough. */
export function nearestName(name: string, known: readonly string[]): string | undefined {
  if (known.length === 0) return undefined
  const candidate = closest(name, known)
  return distance(name, candidate) <= MAX_EDIT_DISTANCE ? candidate : undefined
}
