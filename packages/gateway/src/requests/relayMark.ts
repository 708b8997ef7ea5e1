import { createHash, timingSafeEqual } from 'node:crypto'
import type { RawHeaders } from '../types/ports.js'

/** Header by which a box tells that it passes on a request of its caller's. */
const RELAY_HEADER = 'yewkeel-relayed'
/** Header of a request that earlier boxes have counted: to how many upstreams they sent it. */
const SENDS_HEADER = 'yewkeel-relayed-sends'

let cached: { secret: string; mark: string } | undefined

function markOf(secret: string): string {
  if (cached?.secret !== secret)
    cached = { secret, mark: createHash('sha256').update(`relay ${secret}`).digest('hex') }
  return cached.mark
}

/**
 * The headers with the mark of a box that knows the secret of the deployment's boxes. `earlierSends`:
 * to how many upstreams the request may have been sent before; undefined if no box has counted it.
 */
export function withRelayMark(
  headers: readonly string[],
  secret: string,
  earlierSends: number | undefined,
): string[] {
  const sends = earlierSends === undefined ? [] : [SENDS_HEADER, String(earlierSends)]
  return [...headers, RELAY_HEADER, markOf(secret), ...sends]
}

/** A request's headers without the mark, and what another box that passed it on tells. */
export interface UnmarkedRequest {
  headers: RawHeaders
  isRelayed: boolean
  /** To how many upstreams it may have been sent before; undefined if no other box has counted it. */
  earlierSends: number | undefined
}

/** Takes the mark off a request. That of a caller, who does not know the secret, counts for nothing. */
export function takeRelayMark(headers: RawHeaders, secret: string): UnmarkedRequest {
  const marks = takeHeader(headers, RELAY_HEADER)
  if (marks.values.length === 0) return { headers, isRelayed: false, earlierSends: undefined }
  const expected = Buffer.from(markOf(secret))
  const isRelayed = marks.values.some(text => {
    const given = Buffer.from(text)
    return given.length === expected.length && timingSafeEqual(given, expected)
  })
  const sends = takeHeader(marks.headers, SENDS_HEADER)
  // The box's own value is the last.
  const told = isRelayed ? sends.values.at(-1) : undefined
  const earlierSends = told === undefined ? undefined : Math.max(0, Number.parseInt(told, 10) || 0)
  return { headers: sends.headers, isRelayed, earlierSends }
}

/** All values of a header, in order, and the headers without it. */
function takeHeader(headers: RawHeaders, name: string): { headers: RawHeaders; values: string[] } {
  const kept: string[] = []
  const values: string[] = []
  for (let at = 0; at < headers.length; at += 2) {
    const [text, value] = [headers[at]!, headers[at + 1] ?? '']
    if (text.length === name.length && text.toLowerCase() === name) values.push(value)
    else kept.push(text, value)
  }
  return values.length === 0 ? { headers, values } : { headers: kept, values }
}
