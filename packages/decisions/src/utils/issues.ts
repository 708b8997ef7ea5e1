import type { z } from 'zod'
import { nearestName } from './nearestName.js'

/** An error in user input: where it is and how to fix it. */
export interface InputIssue {
  /** For example `line 4` or `entry.port`. */
  place: string
  message: string
}

/** Formats an issue as one line. */
export function formatIssue(issue: InputIssue): string {
  return `${issue.place}: ${issue.message}`
}

/** Converts schema errors into issues and suggests the nearest known name for each unknown one. */
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

/** Message for an unknown name, with the nearest known name as a suggestion. */
export function unknownNameMessage(name: string, knownNames: readonly string[]): string {
  const nearest = nearestName(name, knownNames)
  return nearest
    ? `unknown name "${name}"; did you mean "${nearest}"?`
    : `unknown name "${name}"; remove it`
}
