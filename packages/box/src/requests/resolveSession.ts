import {
  chooseVersion,
  formatVersion,
  refuseNotRun,
  signSession,
  verifySession,
  type ModelVersion,
  type Refusal,
  type Session,
  type SessionFault,
} from '@yewkeel/decisions'
import { Result } from 'true-myth'
import type { RequestContext } from '../types/context.js'

export const SESSION_HEADER = 'yewkeel-session'
const NEW_SESSION = 'new'

const FAULT_MESSAGES: Record<SessionFault, string> = {
  malformed: 'the session token is not whole; send it as it was given, or "new" for a new session',
  forged: 'the session token was not signed by this system; send "new" for a new session',
  foreign: 'the session token belongs to another organisation; send "new" for a new session',
}

/** Model versions of a request: pinned by its session, or chosen for this request only. */
export class SessionVersions {
  /** Whether the caller's token is missing or out of date. */
  #isChanged: boolean

  constructor(
    private readonly context: RequestContext,
    private readonly session: Session,
    private readonly isPersistent: boolean,
    isNew: boolean,
  ) {
    this.#isChanged = isNew
  }

  /**
   * Returns the version of a model. A version pinned by the session is never replaced: if it may no
   * longer be used, the request is refused.
   */
  versionOf(model: string): Result<ModelVersion, Refusal> {
    const pinned = this.session.versions[model]
    if (pinned !== undefined) return this.#checkPinned({ model, version: pinned })
    const { services, rights, organisation } = this.context
    const version = chooseVersion(rights, organisation, model, services.exposure, services.random)
    if (version === undefined) return Result.err(this.#refuseModel(model))
    this.session.versions[model] = version
    this.#isChanged = true
    return Result.ok({ model, version })
  }

  /** The header with the session token, if the caller has to store a new one. */
  headers(): Record<string, string> {
    if (!this.isPersistent || !this.#isChanged) return {}
    return {
      [SESSION_HEADER]: signSession(this.session, this.context.services.settings.sessionKeys),
    }
  }

  #checkPinned(version: ModelVersion): Result<ModelVersion, Refusal> {
    const refusal = checkVersion(this.context, version)
    return refusal ? Result.err(refusal) : Result.ok(version)
  }

  #refuseModel(model: string): Refusal {
    const { rights, organisation } = this.context
    const rows = rights[0]?.versionsOf(organisation, model) ?? []
    if (rows.length === 0) {
      return refuseNotRun('not-allowed', `the organisation may not use a model "${model}"`)
    }
    return refuseNotRun(
      'not-allowed',
      `no version of "${model}" takes new work for the organisation`,
    )
  }
}

/** Refuses a version unless all tables that may be current allow an existing session to use it. */
export function checkVersion(
  { rights, organisation }: Pick<RequestContext, 'rights' | 'organisation'>,
  version: ModelVersion,
): Refusal | undefined {
  const found = rights.map(table => table.rightOf(organisation, version))
  if (found.includes('withdrawn')) {
    return refuseNotRun(
      'session-version-withdrawn',
      `the version ${formatVersion(version)} was withdrawn; send "${SESSION_HEADER}: new" for a new session`,
    )
  }
  if (!found.includes('not-allowed')) return undefined
  return refuseNotRun('not-allowed', `the organisation may not use ${formatVersion(version)}`)
}

/**
 * Verifies the session token of a request. Starts a session if the token is `new`; without a token,
 * versions are chosen for this request only.
 */
export function resolveSession(context: RequestContext): Result<SessionVersions, Refusal> {
  const token = context.request.headers[SESSION_HEADER]
  if (token === undefined || token === NEW_SESSION) {
    const isPersistent = token === NEW_SESSION
    return Result.ok(
      new SessionVersions(context, startSession(context), isPersistent, isPersistent),
    )
  }
  const verified = verifySession(token, context.organisation, context.services.settings.sessionKeys)
  if (verified.isErr) {
    return Result.err(refuseNotRun('session-invalid', FAULT_MESSAGES[verified.error]))
  }
  return Result.ok(new SessionVersions(context, verified.value, true, false))
}

/** Starts a session. With the token `new`, it pins a version of every allowed model at once. */
function startSession(context: RequestContext): Session {
  const { services, rights, organisation } = context
  const session: Session = {
    id: context.id,
    organisation,
    versions: {},
    revision: rights[0]?.revision ?? 0,
  }
  if (context.request.headers[SESSION_HEADER] !== NEW_SESSION) return session
  for (const model of rights[0]?.modelsOf(organisation) ?? []) {
    const version = chooseVersion(rights, organisation, model, services.exposure, services.random)
    if (version !== undefined) session.versions[model] = version
  }
  return session
}
