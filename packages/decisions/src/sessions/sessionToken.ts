/**
 * Stateless sessions: the caller holds the session in a token signed with the boxes' shared keys,
 * so it is valid on every box and needs no store access.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { Result } from 'true-myth'

/** Signed content of a session token. */
export interface Session {
  /** Random; identifies the session in logs and counts. */
  id: string
  organisation: string
  /** Version by model, fixed when the session started or first used the model. */
  versions: Record<string, string>
  /** Table revision when the session started. */
  revision: number
}

/**
 * A shared secret. The first key of a ring signs and all keys verify, so keys can be rotated
 * without downtime.
 */
export interface SigningKey {
  id: string
  secret: string
}

/** `forged`: unknown key or wrong signature. `foreign`: signed for another organisation. */
export type SessionFault = 'malformed' | 'forged' | 'foreign'

const MAX_TOKEN_LENGTH = 4_096

/**
 * Signs a session with the first key of the ring.
 * @throws RangeError if the ring is empty
 */
export function signSession(session: Session, ring: readonly SigningKey[]): string {
  const key = ring[0]
  if (!key)
    throw new RangeError('the session key ring is empty; configure at least one signing key')
  const payload = Buffer.from(JSON.stringify(session)).toString('base64url')
  const body = `${key.id}.${payload}`
  return `${body}.${signatureOf(body, key).toString('base64url')}`
}

/** Verifies and decodes an untrusted token. */
export function verifySession(
  token: string,
  organisation: string,
  ring: readonly SigningKey[],
): Result<Session, SessionFault> {
  if (token.length > MAX_TOKEN_LENGTH) return Result.err('malformed')
  const [keyId, payload, signature, ...rest] = token.split('.')
  if (!keyId || !payload || !signature || rest.length > 0) return Result.err('malformed')
  const key = ring.find(key => key.id === keyId)
  if (!key) return Result.err('forged')
  const expected = signatureOf(`${keyId}.${payload}`, key)
  const given = Buffer.from(signature, 'base64url')
  if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
    return Result.err('forged')
  }
  const session = JSON.parse(Buffer.from(payload, 'base64url').toString()) as Session
  return session.organisation === organisation ? Result.ok(session) : Result.err('foreign')
}

function signatureOf(body: string, key: SigningKey): Buffer {
  return createHmac('sha256', key.secret).update(body).digest()
}
