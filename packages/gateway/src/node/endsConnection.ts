import type { RawHeaders } from '../types/ports.js'
import { hasFramedBody } from './hasFramedBody.js'

/** Statuses whose responses have no body, whatever their head says. */
const BODILESS_STATUSES = new Set([204, 304])

const HAS_CLOSE_OPTION = /(?:^|,)[\t ]*close[\t ]*(?:,|$)/i

/**
 * Whether no request can follow a response on its connection: it says so, or its body ends with the
 * connection (RFC 9112, 9.6).
 */
export function endsConnection(status: number, headers: RawHeaders): boolean {
  const saysSo = headers.some(
    (text, at) =>
      at % 2 === 0 &&
      text.toLowerCase() === 'connection' &&
      HAS_CLOSE_OPTION.test(headers[at + 1] ?? ''),
  )
  return saysSo || (!BODILESS_STATUSES.has(status) && !hasFramedBody(headers))
}
