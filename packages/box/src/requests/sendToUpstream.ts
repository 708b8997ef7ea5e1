import {
  admit,
  chooseUpstream,
  earnRetry,
  noteAskedRest,
  noteEnded,
  noteFailure,
  noteFirstToken,
  noteSent,
  noteSuccess,
  predictFirstToken,
  predictQueue,
  readDecimal,
  refuseMayHaveRun,
  refuseNotRun,
  spendRetry,
  TURNS_AWAY,
  type Milliseconds,
  type Refusal,
  type RequestOutlook,
  type UpstreamView,
} from '@yewkeel/decisions'
import { Result } from 'true-myth'
import type { RequestContext, SendPlan } from '../types/context.js'
import { UpstreamFailure, type UpstreamAnswer, type UpstreamRequest } from '../types/ports.js'
import { SuspectSends } from './suspectSends.js'

/** An answer that has begun at an upstream. `release` is called once, when it has ended. */
export interface OpenAnswer {
  view: UpstreamView
  answer: UpstreamAnswer
  streamId: string
  release(ended: AnswerEnd): void
}

/**
 * `whole`: it came to its end, so that the request crashes nobody. `well`: it was wanted no more. `broken`: its upstream may have ended.
 * `turned-away`: the upstream asked for rest.
 */
export type AnswerEnd = 'badly' | 'broken' | 'turned-away' | 'well' | 'whole'

export interface SendOptions {
  plan: SendPlan
  outlook: RequestOutlook
  /** Upstreams that hold part of the prompt. */
  affine: readonly UpstreamView[]
  /** Upstreams that failed this request before; shared by the tries of one request. */
  excluded: Set<string>
  buildRequest(view: UpstreamView, streamId: string): UpstreamRequest
  /** Last look before the request leaves: what held when it came may no longer hold. */
  checkBefore(): Refusal | undefined
  /** Called when the upstream is chosen, before the request leaves. */
  onChosen(view: UpstreamView, streamId: string): void
}

const LARGEST_TRIES = 3
const NO_UPSTREAM_RETRY: Milliseconds = 1_000

/** Statuses by which an upstream says that it did not take the request. */
const NOT_TAKEN = new Set([404, 409, 429, 503])

/**
 * Sends a request to the best upstream. A try that is known not to have been taken may be made again
 * elsewhere; one that may have run is made again only if the request may be repeated. Both are paid for from
 * the retry budget.
 */
export async function sendToUpstream(
  context: RequestContext,
  options: SendOptions,
): Promise<Result<OpenAnswer, Refusal>> {
  const { services } = context
  const sends = new SuspectSends(context, options.plan.served)
  const refuse = (refusal: Refusal) => {
    sends.endTrial()
    return Result.err<OpenAnswer, Refusal>(refusal)
  }
  for (let tries = 1; ; tries++) {
    const early = await sends.awaitTurn(options.plan.admission.deadline)
    if (early) return Result.err(early)
    const view = pickUpstream(context, options, tries)
    if (!view) return refuse(refuseNoUpstream(options.plan))
    const refusal = admitTo(context, options, view) ?? options.checkBefore()
    if (refusal) return refuse(refusal)
    const sent = await sendOnce(context, options, sends, view, tries)
    if (sent.isOk || sent.error.verdict !== 'not-run') context.mayHaveRun = true
    if (sent.isOk) {
      earnRetry(services.retries)
      return Result.ok(sent.value)
    }
    options.excluded.add(view.id)
    const mayTryAgain = sent.error.verdict === 'not-run' || options.plan.mayRepeat
    const isLast = tries >= LARGEST_TRIES || !mayTryAgain || context.request.signal.aborted
    if (isLast || !spendRetry(services.retries)) return Result.err(sent.error)
    services.metrics.count('upstream.retries')
  }
}

function pickUpstream(
  { services }: RequestContext,
  options: SendOptions,
  turn: number,
): UpstreamView | undefined {
  return chooseUpstream(services.strategy, {
    pool: services.upstreams.poolOf(options.plan.served),
    affine: options.affine,
    request: options.outlook,
    excluded: options.excluded,
    now: services.clock.now(),
    random: services.random,
    turn,
  })
}

function admitTo(
  { services, organisation, limit }: RequestContext,
  { plan, outlook }: SendOptions,
  view: UpstreamView,
): Refusal | undefined {
  const uses = services.uses.usesOf(plan.served)
  const own = uses.get(organisation)
  if (own) own.share = limit.share
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
  sends: SuspectSends,
  view: UpstreamView,
  tries: number,
): Promise<Result<OpenAnswer, Refusal>> {
  const { services, organisation, limit, request } = context
  const { plan } = options
  const streamId = `${context.id}/${plan.served}/${tries}`
  const sentAt = services.clock.now()
  const queue = predictQueue(view, sentAt)
  const span = services.tracer.start(`upstream ${view.id}`, context.span)
  span.set({ 'upstream.id': view.id, 'upstream.served': plan.served })
  options.onChosen(view, streamId)
  noteSent(view, sentAt)
  const send = sends.noteSent(view)
  services.uses.add(plan.served, organisation, limit.share)

  const release = once((ended: AnswerEnd) => {
    noteEnded(view, services.clock.now())
    services.uses.remove(plan.served, organisation)
    const isGood = ended === 'well' || ended === 'whole'
    if (isGood) noteSuccess(view, services.clock.now() - sentAt)
    else if (ended !== 'turned-away') noteFailure(view, services.clock.now())
    sends.noteEnd(view, send, ended)
    span.end(isGood ? undefined : 'the upstream failed')
  })
  try {
    const built = options.buildRequest(view, streamId)
    if (span.traceparent) built.headers.traceparent = span.traceparent
    const answer = await services.client.send(view.address, built, {
      signal: request.signal,
      answerWithin: plan.admission.deadline - sentAt,
    })
    const rest = readRest(answer)
    if (rest !== undefined) {
      noteAskedRest(view, rest, services.clock.now())
      services.log.info({ upstream: view.id, rest }, 'an upstream asks for rest')
      release('turned-away')
      return Result.err(refuseFailed(view, `answered with status ${answer.status}`, true))
    }
    if (answer.status >= 500 || NOT_TAKEN.has(answer.status)) {
      release(answer.status === 429 || answer.status === 404 ? 'well' : 'badly')
      return Result.err(
        refuseFailed(view, `answered with status ${answer.status}`, NOT_TAKEN.has(answer.status)),
      )
    }
    noteFirstToken(view, services.clock.now() - sentAt, queue)
    return Result.ok({ view, answer, streamId, release })
  } catch (error) {
    release(request.signal.aborted ? 'well' : 'broken')
    await sends.lookedAt
    const failure =
      error instanceof UpstreamFailure ? error : new UpstreamFailure('maybe', String(error))
    if (failure.late) return Result.err(refuseLate(failure))
    return Result.err(refuseFailed(view, failure.message, failure.sent === 'no'))
  }
}

/** How long a rest the upstream asks for that has turned the request away. */
function readRest({ status, headers }: UpstreamAnswer): Milliseconds | undefined {
  const seconds = TURNS_AWAY.has(status) ? readDecimal(headers['retry-after'] ?? '') : undefined
  return seconds === undefined ? undefined : seconds * 1_000
}

/** The refusal with a verdict that is true of the request and not of its last try alone. */
export function withTrueVerdict({ mayHaveRun }: RequestContext, refusal: Refusal): Refusal {
  const isUntrue = mayHaveRun && refusal.verdict === 'not-run'
  return isUntrue ? { ...refusal, verdict: 'may-have-run' } : refusal
}

function refuseNoUpstream(plan: SendPlan): Refusal {
  return refuseNotRun(
    'no-upstream',
    `no upstream takes work for ${plan.served} now`,
    NO_UPSTREAM_RETRY,
  )
}

function refuseFailed(view: UpstreamView, what: string, notRun: boolean): Refusal {
  const refuse = notRun ? refuseNotRun : refuseMayHaveRun
  return refuse('upstream-failed', `the upstream ${view.id} failed: ${what}`, NO_UPSTREAM_RETRY)
}

function refuseLate(failure: UpstreamFailure): Refusal {
  const refuse = failure.sent === 'no' ? refuseNotRun : refuseMayHaveRun
  return refuse(
    'deadline-passed',
    'the upstream did not begin to answer in time',
    NO_UPSTREAM_RETRY,
  )
}

function once<Argument>(run: (argument: Argument) => void): (argument: Argument) => void {
  let isDone = false
  return argument => {
    if (isDone) return
    isDone = true
    run(argument)
  }
}
