import { createHmac } from 'node:crypto'
import type { AdmittedRequest } from './admitCaller.js'

/** Bytes of a digest. Two of a thousand million requests have the same by chance once in 10^20 times. */
const DIGEST_BYTES = 16

/**
 * Names a request by its path, caller and body, the same for each attempt at each box that has the secret. It is keyed, so that a
 * body cannot be guessed from a log. An organisation is one caller with all its keys.
 */
export function requestDigest(
  secret: string,
  { request, organisation, fields }: AdmittedRequest,
): string {
  const caller = organisation?.name ?? fields.key ?? ''
  return createHmac('sha256', secret)
    .update(JSON.stringify([request.host, request.target, caller]))
    .update(request.body)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString('base64url')
}
