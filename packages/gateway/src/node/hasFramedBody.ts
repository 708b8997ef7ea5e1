import type { RawHeaders } from '../types/ports.js'

const LAST_CODING_IS_CHUNKED = /(?:^|,)[\t ]*chunked[\t ]*$/i

/**
 * Whether the end of a response's body can be told from its head: it has a length, or comes in
 * chunks. With any other transfer coding it ends with the connection (RFC 9112, 6.3).
 */
export function hasFramedBody(headers: RawHeaders): boolean {
  const coding = lastOf(headers, 'transfer-encoding')
  if (coding !== undefined) return LAST_CODING_IS_CHUNKED.test(coding)
  return lastOf(headers, 'content-length') !== undefined
}

/** Value of the last header of a lower-case name. */
function lastOf(headers: RawHeaders, name: string): string | undefined {
  const at = headers.findLastIndex(
    (text, index) => index % 2 === 0 && text.length === name.length && text.toLowerCase() === name,
  )
  return at === -1 ? undefined : headers[at + 1]
}
