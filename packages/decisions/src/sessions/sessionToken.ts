/**
 * A session's versions travel with the caller, in a token signed by the boxes' shared keys. No box keeps a
 * session, so it survives every box and costs the store nothing.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { Result } from 'true-myth'

/** What a session was started with. */
export interface Session {
  /** Names the session in logs and counts; random. */
  id: string
  organisation: string
  /** Version of each model, fixed when the session started or first used the model. */
  versions: Record<string, string>
  /** Table revision of the start. */
  revision: number
}

/** A shared secret. The first of a ring signs, all of them verify, so that keys are changed without a stop. */
export interface SigningKey {
  id: string
  secret: string
}

export type SessionFault = 'malformed' | 'forged' | 'foreign'

const MAXIMUM_TOKEN_LENGTH = 4_096

/** Signs a session with the first key of the ring. */
export function signSession(session: Session, ring: readonly SigningKey[]): string {
  const key = ring[0]
  if (!key) throw new RangeError('the ring of session keys is empty; set at least one key')
  const payload = Buffer.from(JSON.stringify(session)).toString('base64url')
  const body = `${key.id}.${payload}`
  return `${body}.${signatureOf(body, key).toString('base64url')}`
}

/** Reads a token that came from outside. */
export function verifySession(
  token: string,
  organisation: string,
  ring: readonly SigningKey[],
): Result<Session, SessionFault> {
  if (token.length > MAXIMUM_TOKEN_LENGTH) return Result.err('malformed')
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
