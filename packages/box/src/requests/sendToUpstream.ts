import {
  admit,
  chooseUpstream,
  earnRetry,
  recordBackOff,
  recordEnd,
  recordFailure,
  recordFirstToken,
  recordSend,
  recordSuccess,
  predictFirstToken,
  predictQueue,
  readDecimal,
  refuseMayHaveRun,
  refuseNotRun,
  spendRetry,
  BACK_PRESSURE_STATUSES,
  type Milliseconds,
  type Refusal,
  type RequestProfile,
  type UpstreamView,
} from '@yewkeel/decisions'
import { Result } from 'true-myth'
import type { RequestContext, SendPlan } from '../types/context.js'
import { UpstreamFailure, type UpstreamAnswer, type UpstreamRequest } from '../types/ports.js'
import { SuspectAttempts } from './suspectAttempts.js'

/** An answer that an upstream has started. */
export interface OpenAnswer {
  view: UpstreamView
  answer: UpstreamAnswer
  streamId: string
  /** Must be called when the answer has ended. Further calls have no effect. */
  release(ended: AnswerEnd): void
}

/**
 * How an answer ended.
 *
 * - `whole`: completed, which clears the request of crash suspicion
 * - `well`: no fault of the upstream, for example cancelled by the caller
 * - `badly`: an error status that counts as a failure of the upstream
 * - `broken`: cut off, unreachable or timed out; the upstream process may have crashed
 * - `turned-away`: rejected with a `Retry-After`
 */
export type AnswerEnd = 'badly' | 'broken' | 'turned-away' | 'well' | 'whole'

export interface SendOptions {
  plan: SendPlan
  outlook: RequestProfile
  /** Upstreams whose prefix cache holds part of the prompt. */
  affine: readonly UpstreamView[]
  /** Ids of upstreams that failed this request. Shared by all attempts, which add to it. */
  excluded: Set<string>
  buildRequest(view: UpstreamView, streamId: string): UpstreamRequest
  /** Repeats checks made on arrival, whose results may be out of date, before each attempt. */
  checkBeforeSend(): Refusal | undefined
  /** Called when an upstream is chosen, before the request is sent. */
  onChosen(view: UpstreamView, streamId: string): void
}

const MAX_ATTEMPTS = 3
const RETRY_DELAY: Milliseconds = 1_000

/** Statuses of an upstream that did not run the request. */
const NOT_ACCEPTED_STATUSES = new Set([404, 409, 429, 503])

/**
 * Sends a request to the best upstream. A failed attempt that did not run is retried at another
 * upstream; one that may have run is retried only if `plan.isRetryable`. Each retry takes a token
 * of the retry budget.
 */
export async function sendToUpstream(
  context: RequestContext,
  options: SendOptions,
): Promise<Result<OpenAnswer, Refusal>> {
  const { services } = context
  const attempts = new SuspectAttempts(context, options.plan.served)
  const refuse = (refusal: Refusal) => {
    attempts.endTrial()
    return Result.err<OpenAnswer, Refusal>(refusal)
  }
  for (let attempt = 1; ; attempt++) {
    const suspectRefusal = await attempts.waitForAdmission(options.plan.admission.deadline)
    if (suspectRefusal) return Result.err(suspectRefusal)
    const view = pickUpstream(context, options, attempt)
    if (!view) return refuse(refuseNoUpstream(options.plan))
    const refusal = admitTo(context, options, view) ?? options.checkBeforeSend()
    if (refusal) return refuse(refusal)
    const sent = await sendOnce(context, options, attempts, view, attempt)
    if (sent.isOk || sent.error.verdict !== 'not-run') context.mayHaveRun = true
    if (sent.isOk) {
      earnRetry(services.retryBudget)
      return Result.ok(sent.value)
    }
    options.excluded.add(view.id)
    const mayRetry = sent.error.verdict === 'not-run' || options.plan.isRetryable
    const isLast = attempt >= MAX_ATTEMPTS || !mayRetry || context.request.signal.aborted
    if (isLast || !spendRetry(services.retryBudget)) return Result.err(sent.error)
    services.metrics.count('upstream.retries')
  }
}

function pickUpstream(
  { services }: RequestContext,
  options: SendOptions,
  attempt: number,
): UpstreamView | undefined {
  return chooseUpstream(services.strategy, {
    pool: services.upstreams.poolOf(options.plan.served),
    affine: options.affine,
    request: options.outlook,
    excluded: options.excluded,
    now: services.clock.now(),
    random: services.random,
    turn: attempt,
  })
}

function admitTo(
  { services, organisation, limit }: RequestContext,
  { plan, outlook }: SendOptions,
  view: UpstreamView,
): Refusal | undefined {
  const uses = services.poolUses.usesOf(plan.served)
  const ownUse = uses.get(organisation)
  if (ownUse) ownUse.share = limit.share
  const pool = {
    firstToken: predictFirstToken(view, outlook, services.clock.now()),
    utilisation: services.upstreams.utilisationOf(plan.served),
    takesCalls: view.kind === 'service',
    uses,
  }
  return admit(plan.admission, pool, services.clock.now())
}

async function sendOnce(
  context: RequestContext,
  options: SendOptions,
  attempts: SuspectAttempts,
  view: UpstreamView,
  attempt: number,
): Promise<Result<OpenAnswer, Refusal>> {
  const { services, organisation, limit, request } = context
  const { plan } = options
  const streamId = `${context.id}/${plan.served}/${attempt}`
  const sentAt = services.clock.now()
  const queue = predictQueue(view, sentAt)
  const span = services.tracer.start(`upstream ${view.id}`, context.span)
  span.set({ 'upstream.id': view.id, 'upstream.served': plan.served })
  options.onChosen(view, streamId)
  recordSend(view, sentAt)
  const send = attempts.recordSend(view)
  services.poolUses.add(plan.served, organisation, limit.share)

  const release = once((ended: AnswerEnd) => {
    recordEnd(view, services.clock.now())
    services.poolUses.remove(plan.served, organisation)
    const isSuccess = ended === 'well' || ended === 'whole'
    if (isSuccess) recordSuccess(view, services.clock.now() - sentAt)
    else if (ended !== 'turned-away') recordFailure(view, services.clock.now())
    attempts.recordEnd(view, send, ended)
    span.end(isSuccess ? undefined : 'the upstream failed')
  })
  try {
    const built = options.buildRequest(view, streamId)
    if (span.traceparent) built.headers.traceparent = span.traceparent
    const answer = await services.client.send(view.address, built, {
      signal: request.signal,
      responseTimeout: plan.admission.deadline - sentAt,
    })
    const retryAfter = readRetryAfter(answer)
    if (retryAfter !== undefined) {
      recordBackOff(view, retryAfter, services.clock.now())
      services.log.info(
        { upstream: view.id, rest: retryAfter },
        'upstream rejected a request with Retry-After; backing off',
      )
      release('turned-away')
      return Result.err(refuseFailed(view, `answered with status ${answer.status}`, true))
    }
    if (answer.status >= 500 || NOT_ACCEPTED_STATUSES.has(answer.status)) {
      release(answer.status === 429 || answer.status === 404 ? 'well' : 'badly')
      return Result.err(
        refuseFailed(
          view,
          `answered with status ${answer.status}`,
          NOT_ACCEPTED_STATUSES.has(answer.status),
        ),
      )
    }
    recordFirstToken(view, services.clock.now() - sentAt, queue)
    return Result.ok({ view, answer, streamId, release })
  } catch (error) {
    release(request.signal.aborted ? 'well' : 'broken')
    await attempts.crashChecked
    const failure =
      error instanceof UpstreamFailure ? error : new UpstreamFailure('maybe', String(error))
    if (failure.isTimeout) return Result.err(refuseDeadlinePassed(failure))
    return Result.err(refuseFailed(view, failure.message, failure.sent === 'no'))
  }
}

/** The `Retry-After` of an answer that rejects the request, in milliseconds. */
function readRetryAfter({ status, headers }: UpstreamAnswer): Milliseconds | undefined {
  const seconds = BACK_PRESSURE_STATUSES.has(status)
    ? readDecimal(headers['retry-after'] ?? '')
    : undefined
  return seconds === undefined ? undefined : seconds * 1_000
}

/** Changes the verdict `not-run` of the last attempt if an earlier attempt may have run. */
export function withRequestVerdict({ mayHaveRun }: RequestContext, refusal: Refusal): Refusal {
  const isVerdictWrong = mayHaveRun && refusal.verdict === 'not-run'
  return isVerdictWrong ? { ...refusal, verdict: 'may-have-run' } : refusal
}

function refuseNoUpstream(plan: SendPlan): Refusal {
  return refuseNotRun('no-upstream', `no upstream takes work for ${plan.served} now`, RETRY_DELAY)
}

function refuseFailed(view: UpstreamView, problem: string, notRun: boolean): Refusal {
  const refuse = notRun ? refuseNotRun : refuseMayHaveRun
  return refuse('upstream-failed', `the upstream ${view.id} failed: ${problem}`, RETRY_DELAY)
}

function refuseDeadlinePassed(failure: UpstreamFailure): Refusal {
  const refuse = failure.sent === 'no' ? refuseNotRun : refuseMayHaveRun
  return refuse('deadline-passed', 'the upstream did not begin to answer in time', RETRY_DELAY)
}

function once<Argument>(run: (argument: Argument) => void): (argument: Argument) => void {
  let isDone = false
  return argument => {
    if (isDone) return
    isDone = true
    run(argument)
  }
}
