import type { z } from 'zod'
import { nearestName } from './nearestName.js'

/** A fault in what a person wrote: the place and the mend. */
export interface InputIssue {
  /** For example `line 4` or `entry.port`. */
  place: string
  message: string
}

/** One line for a person. */
export function formatIssue(issue: InputIssue): string {
  return `${issue.place}: ${issue.message}`
}

/** Turns the findings of a schema into issues, naming the nearest known name for an unknown one. */
export function issuesFromSchema(
  error: z.ZodError,
  knownNames: readonly string[],
  placeOf: (path: string) => string = path => path || 'top level',
): InputIssue[] {
  return error.issues.flatMap(issue => {
    const path = issue.path.map(String).join('.')
    if (issue.code !== 'unrecognized_keys')
      return [{ place: placeOf(path), message: issue.message }]
    return issue.keys.map(key => ({
      place: placeOf([path, key].filter(Boolean).join('.')),
      message: unknownNameMessage(key, knownNames),
    }))
  })
}

/** Says that a name is unknown and which one was likely meant. */
export function unknownNameMessage(name: string, knownNames: readonly string[]): string {
  const nearest = nearestName(name, knownNames)
  return nearest
    ? `unknown name "${name}"; did you mean "${nearest}"?`
    : `unknown name "${name}"; remove it`
}
