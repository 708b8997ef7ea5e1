import { createHash } from 'node:crypto'
import { refuseNotRun, qualifyRefusal, type KeptAnswer, type Refusal } from '@yewkeel/decisions'
import type { RequestContext } from '../types/context.js'
import type { HeldClaim } from '../tasks/claimTask.js'
import { readText } from '../tasks/upstreamTask.js'
import { answerRefusal } from './answerRefusal.js'
import { RequestBill } from './requestBill.js'
import { refuseStaleTable } from './filters.js'
import {
  sendToUpstream,
  withRequestVerdict,
  type OpenAnswer,
  type SendOptions,
} from './sendToUpstream.js'

export const SERVICE_PATH = '/v1/services/'
const KEY_HEADER = 'idempotency-key'
const ATTEMPT_HEADER = 'yewkeel-attempt'
const FIRST_ATTEMPT = '1'
const MAX_KEY_LENGTH = 200

/** Safe methods of HTTP, which may be retried. Calls with any other method run at most once. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])

/** A call in flight. */
interface ServiceCall {
  context: RequestContext
  service: string
  path: string
  bill: RequestBill
}

/** Forwards a call to a plain service, at most once unless its method is safe. */
export async function callService(context: RequestContext): Promise<void> {
  const { request, organisation, rights, responder, id } = context
  const [service = '', ...rest] = request.path.slice(SERVICE_PATH.length).split('/')
  const isAllowed = rights.every(table => table.allowsService(organisation, service))
  if (!isAllowed) {
    const message = `the organisation may not call a service "${service}"`
    const refusal = refuseNotRun('not-allowed', message)
    return answerRefusal(responder, withVerdictBeforeClaim(context, refusal), id)
  }
  const path = `/${rest.join('/')}`
  if (!SAFE_METHODS.has(request.method)) return callAtMostOnce(context, service, path)
  const call: ServiceCall = { context, service, path, bill: new RequestBill(context) }
  const sent = await sendToUpstream(context, sendOptionsFor(call, true))
  if (sent.isErr) return refuseCall(call, sent.error)
  await forwardAnswer(call, sent.value)
}

async function callAtMostOnce(
  context: RequestContext,
  service: string,
  path: string,
): Promise<void> {
  const { request, services, organisation, responder } = context
  const key = request.headers[KEY_HEADER]
  if (!key || key.length > MAX_KEY_LENGTH) {
    const message = `a ${request.method} call runs at most once: send an "Idempotency-Key" of up to ${MAX_KEY_LENGTH} characters`
    return answerRefusal(responder, refuseNotRun('bad-request', message), context.id)
  }
  const claimant = {
    attempt: context.id,
    digest: digestOf(request.method, service, path, request.body),
  }
  const claimed = await services.claims.claim(
    organisation,
    `${service}/${key}`,
    claimant,
    isFirstAttempt(context),
  )
  if (claimed.isErr) return answerRefusal(responder, claimed.error, context.id)
  if ('replay' in claimed.value) return replay(context, claimed.value.replay, claimed.value.attempt)
  await sendClaimed({ context, service, path, bill: new RequestBill(context) }, claimed.value.held)
}

/** Whether the caller states that this is its first attempt at the call. */
function isFirstAttempt({ request }: RequestContext): boolean {
  return request.headers[ATTEMPT_HEADER] === FIRST_ATTEMPT
}

/** Adjusts a refusal made before the claim of a call was read: an earlier attempt may have run. */
export function withVerdictBeforeClaim(context: RequestContext, refusal: Refusal): Refusal {
  const { request } = context
  const isClaimed =
    request.path.startsWith(SERVICE_PATH) &&
    !SAFE_METHODS.has(request.method) &&
    request.headers[KEY_HEADER] !== undefined
  return isClaimed ? qualifyRefusal(refusal, isFirstAttempt(context)) : refusal
}

/** Sends a claimed call once and settles its claim, even if the caller disconnects meanwhile. */
async function sendClaimed(call: ServiceCall, held: HeldClaim): Promise<void> {
  const { context } = call
  const { claims } = context.services
  const sent = await sendToUpstream(context, sendOptionsFor(call, false))
  if (sent.isErr) {
    if (sent.error.verdict === 'not-run') claims.settle(held, 'not-run')
    return refuseCall(call, sent.error)
  }
  const answer = await forwardAnswer(call, sent.value)
  if (answer) claims.settle(held, 'ran', answer)
}

function sendOptionsFor(
  { context, service, path, bill }: ServiceCall,
  mayRepeat: boolean,
): SendOptions {
  const { services, request, limit, organisation, receivedAt } = context
  return {
    plan: {
      served: service,
      isRetryable: mayRepeat,
      admission: {
        organisation,
        priority: limit.priority,
        isCall: !mayRepeat,
        deadline: receivedAt + services.settings.limits.firstTokenMilliseconds,
      },
    },
    outlook: { dataCentre: services.settings.dataCentre, promptTokens: 0, cachedTokensOf: () => 0 },
    affine: [],
    excluded: new Set(),
    buildRequest: (_view, streamId) => ({
      method: request.method,
      path,
      headers: forwardedHeaders(request.headers, streamId),
      ...(request.body && { body: request.body }),
    }),
    checkBeforeSend: () => checkBeforeSend(context, service),
    onChosen: (view, streamId) => bill.open(view.id, streamId),
  }
}

function checkBeforeSend(context: RequestContext, service: string): Refusal | undefined {
  const stale = refuseStaleTable(context)
  if (stale) return stale
  const rights = context.services.table.rights()
  if (rights.every(table => table.allowsService(context.organisation, service))) return undefined
  return refuseNotRun('not-allowed', `the organisation may no longer call "${service}"`)
}

/** Headers that the service needs, without the caller's credentials. */
function forwardedHeaders(
  headers: Record<string, string | undefined>,
  streamId: string,
): Record<string, string> {
  const forwarded: Record<string, string> = { 'x-request-id': streamId }
  for (const name of ['content-type', 'accept', KEY_HEADER]) {
    const value = headers[name]
    if (value !== undefined) forwarded[name] = value
  }
  return forwarded
}

async function forwardAnswer(call: ServiceCall, open: OpenAnswer): Promise<KeptAnswer | undefined> {
  const { context, service, bill } = call
  let body: string
  try {
    body = await readText(open.answer.body)
  } catch {
    open.release('broken')
    await refuseCall(call, {
      verdict: 'may-have-run',
      reason: 'upstream-failed',
      message: `the service ${service} broke off its answer`,
    })
    return undefined
  }
  open.release('whole')
  bill.addLine({ model: service, version: '*' }, open.view.id, {
    promptTokens: 0,
    completionTokens: 0,
  })
  await bill.whenOpenIsDurable()
  await bill.close('answered')
  const contentType = open.answer.headers['content-type'] ?? 'application/octet-stream'
  answerWith(context, open.answer.status, contentType, body, { 'yewkeel-upstream': open.view.id })
  return { status: open.answer.status, contentType, body: Buffer.from(body).toString('base64') }
}

/** Responds with the stored answer of the attempt that ran, under that attempt's request id. */
function replay(context: RequestContext, answer: KeptAnswer, attempt: string): void {
  const body = Buffer.from(answer.body, 'base64').toString()
  answerWith(context, answer.status, answer.contentType, body, {
    'x-request-id': attempt,
    'yewkeel-verdict': 'ran',
  })
}

function answerWith(
  { responder, id }: RequestContext,
  status: number,
  contentType: string,
  body: string,
  extraHeaders: Record<string, string>,
): void {
  responder.start(status, { 'content-type': contentType, 'x-request-id': id, ...extraHeaders })
  responder.end(body)
}

/** Refuses a call. Its bill is closed if it may have run, and voided otherwise. */
async function refuseCall({ context, bill }: ServiceCall, lastRefusal: Refusal): Promise<void> {
  const refusal = withRequestVerdict(context, lastRefusal)
  if (refusal.verdict === 'not-run') await bill.abandon()
  else await bill.close('cut-off')
  answerRefusal(context.responder, refusal, context.id)
}

function digestOf(...parts: string[]): string {
  return createHash('sha256').update(parts.join('\n')).digest('base64url')
}
