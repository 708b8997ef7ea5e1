import { createHash } from 'node:crypto'

/** No digest of a request begins so: these hold no blanks. */
const PREFIX = 'part '
/** Longer ids are hashed, so that names fit the key of a row in the store. */
const MAX_ID_LENGTH = 64

/** The name of a part of prompts among the suspects: the same part at another service is another. */
export function partName(service: string, id: string): string {
  const short = id.length <= MAX_ID_LENGTH ? id : createHash('sha256').update(id).digest('hex')
  return `${PREFIX}${service} ${short}`
}

/** Whether a suspect is a part of prompts, not a request. */
export function isPart(suspect: string): boolean {
  return suspect.startsWith(PREFIX)
}
