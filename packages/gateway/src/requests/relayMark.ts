import { createHash, timingSafeEqual } from 'node:crypto'
import type { RawHeaders } from '../types/ports.js'

/** Header by which a box tells that it passes on a request of its caller's. */
const RELAY_HEADER = 'yewkeel-relayed'

let cached: { secret: string; mark: string } | undefined

function markOf(secret: string): string {
  if (cached?.secret !== secret)
    cached = { secret, mark: createHash('sha256').update(`relay ${secret}`).digest('hex') }
  return cached.mark
}

/** The headers with the mark of a box that knows the secret of the deployment's boxes. */
export function withRelayMark(headers: readonly string[], secret: string): string[] {
  return [...headers, RELAY_HEADER, markOf(secret)]
}

/** A request's headers without the mark, and whether another box passed the request on. */
export interface UnmarkedRequest {
  headers: RawHeaders
  isRelayed: boolean
}

/** Takes the mark off a request. That of a caller, who does not know the secret, counts for nothing. */
export function takeRelayMark(headers: RawHeaders, secret: string): UnmarkedRequest {
  const index = headers.findIndex(
    (text, position) =>
      position % 2 === 0 &&
      text.length === RELAY_HEADER.length &&
      text.toLowerCase() === RELAY_HEADER,
  )
  if (index === -1) return { headers, isRelayed: false }
  const given = Buffer.from(headers[index + 1] ?? '')
  const expected = Buffer.from(markOf(secret))
  const isRelayed = given.length === expected.length && timingSafeEqual(given, expected)
  const rest = takeRelayMark([...headers.slice(0, index), ...headers.slice(index + 2)], secret)
  return { headers: rest.headers, isRelayed: isRelayed || rest.isRelayed }
}
