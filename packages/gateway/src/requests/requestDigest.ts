import { createHmac } from 'node:crypto'
import type { RequestContent } from '@yewkeel/box'
import type { AdmittedRequest } from './admitCaller.js'

/** Bytes of a digest. Two of a thousand million requests have the same by chance once in 10^20 times. */
const DIGEST_BYTES = 16

/** What makes a request the same: path, caller and body. An organisation is one caller with all its keys. */
export function contentOf({ request, organisation, fields }: AdmittedRequest): RequestContent {
  const caller = organisation?.name ?? fields.key ?? ''
  return { name: JSON.stringify([request.host, request.target, caller]), body: request.body }
}

/**
 * Names a request, the same for each attempt at each box that has the secret. It is keyed, so that a body cannot be guessed from
 * a log.
 */
export function requestDigest(secret: string, admitted: AdmittedRequest): string {
  const { name, body } = contentOf(admitted)
  return createHmac('sha256', secret)
    .update(name)
    .update(body)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString('base64url')
}
