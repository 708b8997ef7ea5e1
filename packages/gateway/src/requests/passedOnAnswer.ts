import type { RawHeaders } from '../types/ports.js'
import type { ResponseHead } from './exchangeWithUpstream.js'
import type { ForwardedRequest } from './forwardedRequest.js'

/** Begins to pass on an upstream's answer before it is whole, with what has arrived. */
export function beginPassingOn(request: ForwardedRequest, head: ResponseHead, body: Buffer): void {
  const { isFramed } = head.fields
  const headers = request.services.dialect.writeResponse(head.headers)
  const length = contentLengthOf(head.headers)
  if (isFramed && length !== undefined) headers.push('content-length', length)
  request.isPassedOn = true
  request.answer.start(head.status, headers, isFramed)
  request.answer.write(body)
}

function contentLengthOf(headers: RawHeaders): string | undefined {
  const isName = (text: string, index: number) =>
    index % 2 === 0 && text.toLowerCase() === 'content-length'
  const position = headers.findIndex(isName)
  return position === -1 ? undefined : headers[position + 1]
}
