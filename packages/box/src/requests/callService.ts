import { createHash } from 'node:crypto'
import { refuseNotRun, withoutClaimKnown, type KeptAnswer, type Refusal } from '@yewkeel/decisions'
import type { RequestContext } from '../types/context.js'
import type { HeldClaim } from '../tasks/claimTask.js'
import { readText } from '../tasks/upstreamTask.js'
import { answerRefusal } from './answerRefusal.js'
import { BillKeeper } from './billKeeper.js'
import { refuseStaleTable } from './filters.js'
import {
  sendToUpstream,
  withTrueVerdict,
  type OpenAnswer,
  type SendOptions,
} from './sendToUpstream.js'

export const SERVICE_PATH = '/v1/services/'
const KEY_HEADER = 'idempotency-key'
const ATTEMPT_HEADER = 'yewkeel-attempt'
const FIRST_ATTEMPT = '1'
const LARGEST_KEY = 200

/** Methods that HTTP says may be repeated; all others run at most once. */
const REPEATABLE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])

/** A call on its way. */
interface ServiceCall {
  context: RequestContext
  service: string
  path: string
  bill: BillKeeper
}

/** Passes a call on to a plain service: at most once, unless its method may be repeated. */
export async function callService(context: RequestContext): Promise<void> {
  const { request, organisation, rights, responder, id } = context
  const [service = '', ...rest] = request.path.slice(SERVICE_PATH.length).split('/')
  const isAllowed = rights.every(table => table.allowsService(organisation, service))
  if (!isAllowed) {
    const message = `the organisation may not call a service "${service}"`
    const refusal = refuseNotRun('not-allowed', message)
    return answerRefusal(responder, withVerdictFor(context, refusal), id)
  }
  const path = `/${rest.join('/')}`
  if (!REPEATABLE_METHODS.has(request.method)) return callOnce(context, service, path)
  const call: ServiceCall = { context, service, path, bill: new BillKeeper(context) }
  const sent = await sendToUpstream(context, sendOptionsFor(call, true))
  if (sent.isErr) return refuseCall(call, sent.error)
  await passOn(call, sent.value)
}

async function callOnce(context: RequestContext, service: string, path: string): Promise<void> {
  const { request, services, organisation, responder } = context
  const key = request.headers[KEY_HEADER]
  if (!key || key.length > LARGEST_KEY) {
    const message = `a ${request.method} call runs at most once: send an "Idempotency-Key" of up to ${LARGEST_KEY} characters`
    return answerRefusal(responder, refuseNotRun('bad-request', message), context.id)
  }
  const own = { attempt: context.id, digest: digestOf(request.method, service, path, request.body) }
  const claimed = await services.claims.claim(
    organisation,
    `${service}/${key}`,
    own,
    isFirstAttempt(context),
  )
  if (claimed.isErr) return answerRefusal(responder, claimed.error, context.id)
  if ('replay' in claimed.value) return replay(context, claimed.value.replay, claimed.value.attempt)
  await sendClaimed({ context, service, path, bill: new BillKeeper(context) }, claimed.value.held)
}

/** The caller says that it has not made this call before. */
function isFirstAttempt({ request }: RequestContext): boolean {
  return request.headers[ATTEMPT_HEADER] === FIRST_ATTEMPT
}

/** A refusal before the claim of a call is known: an earlier attempt at the call may have run. */
export function withVerdictFor(context: RequestContext, refusal: Refusal): Refusal {
  const { request } = context
  const isClaimed =
    request.path.startsWith(SERVICE_PATH) &&
    !REPEATABLE_METHODS.has(request.method) &&
    request.headers[KEY_HEADER] !== undefined
  return isClaimed ? withoutClaimKnown(refusal, isFirstAttempt(context)) : refusal
}

/** Sends the call once. The caller may hang up meanwhile; the claim is settled all the same. */
async function sendClaimed(call: ServiceCall, held: HeldClaim): Promise<void> {
  const { context } = call
  const { claims } = context.services
  const sent = await sendToUpstream(context, sendOptionsFor(call, false))
  if (sent.isErr) {
    if (sent.error.verdict === 'not-run') claims.settle(held, 'not-run')
    return refuseCall(call, sent.error)
  }
  const answer = await passOn(call, sent.value)
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
      mayRepeat,
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
    checkBefore: () => checkBefore(context, service),
    onChosen: (view, streamId) => bill.open(view.id, streamId),
  }
}

function checkBefore(context: RequestContext, service: string): Refusal | undefined {
  const stale = refuseStaleTable(context)
  if (stale) return stale
  const rights = context.services.table.rights()
  if (rights.every(table => table.allowsService(context.organisation, service))) return undefined
  return refuseNotRun('not-allowed', `the organisation may no longer call "${service}"`)
}

/** Only what the service needs goes on; the caller's key of this system does not. */
function forwardedHeaders(
  headers: Record<string, string | undefined>,
  streamId: string,
): Record<string, string> {
  const passed: Record<string, string> = { 'x-request-id': streamId }
  for (const name of ['content-type', 'accept', KEY_HEADER]) {
    const value = headers[name]
    if (value !== undefined) passed[name] = value
  }
  return passed
}

async function passOn(call: ServiceCall, open: OpenAnswer): Promise<KeptAnswer | undefined> {
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
  await bill.whenOpenIsSafe()
  await bill.close('answered')
  const contentType = open.answer.headers['content-type'] ?? 'application/octet-stream'
  answerWith(context, open.answer.status, contentType, body, { 'yewkeel-upstream': open.view.id })
  return { status: open.answer.status, contentType, body: Buffer.from(body).toString('base64') }
}

/** The answer of the attempt that ran, under that attempt's request id. */
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
  more: Record<string, string>,
): void {
  responder.start(status, { 'content-type': contentType, 'x-request-id': id, ...more })
  responder.end(body)
}

/** What may have run is billed; what did not run is not. */
async function refuseCall({ context, bill }: ServiceCall, last: Refusal): Promise<void> {
  const refusal = withTrueVerdict(context, last)
  if (refusal.verdict === 'not-run') await bill.giveUp()
  else await bill.close('cut-off')
  answerRefusal(context.responder, refusal, context.id)
}

function digestOf(...parts: string[]): string {
  return createHash('sha256').update(parts.join('\n')).digest('base64url')
}
