import {
  repeatCallIn,
  type ExchangeOutcome,
  type Milliseconds,
  type RepeatOutlook,
} from '@yewkeel/decisions'
import type { CallTimer } from '../tasks/callPace.js'
import type { Upstream } from '../types/upstream.js'
import type { CrashSign } from './crashProbe.js'
import {
  MISDIRECTED,
  wasCutUnread,
  type ResponseHead,
  type ExchangeFault,
} from './exchangeWithUpstream.js'
import type { ForwardedRequest } from './forwardedRequest.js'
import { GatheredBody } from './gatheredBody.js'
import { beginPassingOn } from './passedOnAnswer.js'

/** An attempt that got no complete answer. */
interface CallFault {
  type: 'fault'
  fault: ExchangeFault
  /** The upstream may have processed the request. */
  wasSent: boolean
  detail: string
  sign?: CrashSign
  /** The upstream may have cut the answer because its caller did not read. */
  isCutUnread?: boolean
}

/** An attempt that got a complete answer. */
interface CallAnswer {
  type: 'answer'
  head: ResponseHead
  /** Empty if it has been passed on. */
  body: Buffer
  /** The caller delayed the answer, so that its duration says nothing about the upstream. */
  isPacedByCaller: boolean
}

/** How one attempt ended. `over`: the request finished for another reason, such as its deadline. */
type CallOutcome = CallAnswer | CallFault | { type: 'over' }

/** A complete answer and its classification. */
interface WholeAnswer {
  kind: AnswerKind
  head: ResponseHead
  body: Buffer
}

/**
 * Forwards a call and delivers the complete answer, with retries where the route allows them. An
 * answer that is too large to be kept is passed on as it arrives, and not retried from then on.
 */
export async function forwardCall(request: ForwardedRequest): Promise<void> {
  let last: WholeAnswer | undefined
  /** Answers without a length, of which the longest is delivered if no other comes. */
  const unproven: WholeAnswer[] = []
  request.onCutOff(reason => {
    if (request.isPassedOn) request.abort(reason)
    else if (unproven.length > 0) deliver(request, longestOf(unproven))
  })
  while ((await request.mayRun()) && request.takeAttempt()) {
    const upstream = await request.findUpstream()
    if (request.isOver) return
    if (!upstream) break
    const { clock } = request.services
    const sentAt = clock.now()
    const outcome = await attemptCall(request, upstream)
    const duration = clock.now() - sentAt
    if (outcome.type === 'over') return
    last =
      outcome.type === 'fault'
        ? recordFault(request, upstream, outcome, duration)
        : recordAnswer(request, upstream, outcome, duration)
    if (request.isPassedOn) return endPassedOn(request, last)
    if (last?.kind === 'answer') {
      if (last.head.fields.isFramed) return deliver(request, last)
      if (agreesWithOne(last, unproven)) return request.deliver(last.head, last.body, true)
      unproven.push(last)
      if (mayAskAgain(request)) continue
    }
    if (unproven.length > 0) break
    if (request.mayHaveRun && request.route.kind !== 'safe') break
  }
  await request.awaitCrashProbe()
  if (request.isOver) return
  if (unproven.length > 0) return deliver(request, longestOf(unproven))
  if (last?.kind === 'failure' && !NOT_RUN_STATUSES.has(last.head.status))
    return deliver(request, last)
  request.fail(request.mayHaveRun ? 'no whole answer came' : 'no upstream took the request')
}

/**
 * Whether another upstream is asked, since an answer has no length: a reset of its connection can
 * look like its end, and its caller could not tell half of it from the whole.
 */
function mayAskAgain(request: ForwardedRequest): boolean {
  return request.route.kind === 'safe' && request.reserveAttempt()
}

/** Whether another answer ended after as many bytes; one without any may have ended before them. */
function agreesWithOne({ body }: WholeAnswer, others: readonly WholeAnswer[]): boolean {
  return body.length > 0 && others.some(other => other.body.length === body.length)
}

function longestOf(answers: readonly WholeAnswer[]): WholeAnswer {
  return answers.reduce((one, other) => (other.body.length > one.body.length ? other : one))
}

function deliver(request: ForwardedRequest, { head, body }: WholeAnswer): void {
  request.deliver(head, body)
}

/** What a fault counts as in the upstream's health, unless it is a loss. */
const HEALTH_OUTCOMES: Partial<Record<ExchangeFault, ExchangeOutcome>> = {
  full: 'shed',
  unreachable: 'unreachable',
}

/** Ends an answer that was passed on; `whole` is undefined if its upstream did not send it whole. */
async function endPassedOn(
  request: ForwardedRequest,
  whole: WholeAnswer | undefined,
): Promise<void> {
  if (whole) {
    request.answer.end()
    return request.finish('delivered', whole.head.status)
  }
  await request.awaitCrashProbe()
  request.abort('the answer broke off')
}

function recordFault(
  request: ForwardedRequest,
  upstream: Upstream,
  outcome: CallFault,
  duration: Milliseconds,
): undefined {
  if (outcome.isCutUnread) {
    request.recordAttempt(upstream, undefined, `unread: ${outcome.detail}`)
    return
  }
  const healthOutcome = HEALTH_OUTCOMES[outcome.fault] ?? 'lost'
  request.recordAttempt(upstream, healthOutcome, `${outcome.fault}: ${outcome.detail}`)
  if (outcome.fault === 'full') request.recordFull()
  else if (!outcome.wasSent) request.recordUnsent()
  else if (outcome.fault === 'reset') request.recordReset(upstream, outcome.sign)
  else if (outcome.fault === 'silent')
    request.evidence.recordUnfinished(upstream, undefined, 'start', duration)
  else if (outcome.fault !== 'unreachable') request.evidence.recordOutcome(upstream, false)
}

function recordAnswer(
  request: ForwardedRequest,
  upstream: Upstream,
  { head, body, isPacedByCaller }: CallAnswer,
  duration: Milliseconds,
): WholeAnswer {
  const kind = classify(head)
  if (request.isMisdirected(head, upstream)) {
    request.recordMisdirected(upstream)
    return { kind, head, body }
  }
  request.recordAttempt(upstream, OUTCOME_OF[kind], `${kind} ${head.status}`)
  if (kind === 'not-run') {
    request.recordRefusal(upstream, head)
  } else {
    request.evidence.recordOutcome(upstream, kind === 'answer')
    if (kind !== 'spoiled') request.recordCompletion(head)
    if (!head.fields.isFramed) request.watchAfterEnd()
    if (kind === 'answer' && !isPacedByCaller)
      request.evidence.recordDuration(upstream, undefined, 'start', duration)
  }
  return { kind, head, body }
}

/** Statuses that indicate to a caller that its request was not processed. */
const NOT_RUN_STATUSES = new Set([408, MISDIRECTED, 429, 503])

type AnswerKind = 'answer' | 'failure' | 'not-run' | 'spoiled'

const OUTCOME_OF = {
  answer: 'good',
  failure: 'failed',
  'not-run': 'shed',
  spoiled: 'failed',
} as const

const FIRST_SERVER_ERROR = 500

function classify({ status, fields }: ResponseHead): AnswerKind {
  if (fields.isNotRun) return 'not-run'
  if (!fields.isSigned || fields.isEncoded) return 'spoiled'
  if (status >= FIRST_SERVER_ERROR || NOT_RUN_STATUSES.has(status)) return 'failure'
  return 'answer'
}

/**
 * An idempotent call without response headers is retried after this fraction of its latency
 * objective.
 */
const RETRY_DELAY_FRACTION = 0.6

function attemptCall(request: ForwardedRequest, upstream: Upstream): Promise<CallOutcome> {
  return new Promise(resolve => {
    const gathered = new GatheredBody(request.kept)
    let head: ResponseHead | undefined
    let isSettled = false
    const settle = (outcome: CallOutcome) => {
      isSettled = true
      resolve(outcome)
    }
    const { clock, callPace } = request.services
    const timer = callPace.begin(upstream, request.route.name)
    const endWith = (body: Buffer) => {
      const isPacedByCaller = exchange.pausedFor > 0
      if (classify(head!) === 'answer' && !isPacedByCaller) timer.recordAnswer()
      settle({ type: 'answer', head: head!, body, isPacedByCaller })
    }
    const exchange = request.send(
      upstream,
      {},
      {
        onHead(answer) {
          head = answer
          request.recordLoad(upstream, answer.fields)
          return true
        },
        onChunk(chunk) {
          if (request.isPassedOn) return request.answer.write(chunk)
          if (!gathered.push(chunk)) handleLargeBody()
        },
        onEnd() {
          const body = gathered.take()
          if (head!.fields.isFramed) return endWith(body)
          void request.hasEndedWithUpstream(upstream).then(hasEnded => {
            const detail = 'its upstream ended'
            if (hasEnded)
              settle({ type: 'fault', fault: 'reset', wasSent: true, detail, sign: 'end' })
            else endWith(body)
          })
        },
        onFault(fault, wasSent, detail) {
          gathered.take()
          const isCutUnread = fault === 'reset' && wasCutUnread(exchange)
          settle({ type: 'fault', fault, wasSent, detail, isCutUnread })
        },
      },
    )
    const handleLargeBody = () => {
      const kind = classify(head!)
      const body = gathered.take()
      if (kind === 'answer') return beginPassingOn(request, head!, body)
      exchange.cancel()
      if (kind === 'not-run') return endWith(EMPTY)
      const detail = `status ${head!.status} with a body above ${body.length} bytes`
      settle({ type: 'fault', fault: 'spoiled', wasSent: true, detail })
    }
    request.onFinish(() => settle({ type: 'over' }))
    if (request.route.kind !== 'safe') return
    const repeatIfLate = () => {
      if (head || isSettled || !request.canAttempt()) return
      const wait = repeatCallIn(repeatOutlookOf(request, timer))
      if (wait > 0) return void clock.after(wait, repeatIfLate)
      if (!request.canMove()) return void clock.after(MOVE_CHECK_INTERVAL, repeatIfLate)
      const wasSent = !exchange.isUnsent
      exchange.cancel()
      settle({ type: 'fault', fault: 'silent', wasSent, detail: 'no head in time' })
    }
    clock.after(RETRY_DELAY_FRACTION * request.route.latencyObjective, repeatIfLate)
  })
}

const EMPTY = Buffer.alloc(0)

/** A late call stays where it is until another upstream can take it. */
const MOVE_CHECK_INTERVAL: Milliseconds = 20

function repeatOutlookOf(request: ForwardedRequest, timer: CallTimer): RepeatOutlook {
  const { admitted, services, route } = request
  const lateAt = admitted.request.receivedAt + route.latencyObjective
  const dueIn = timer.dueIn()
  const elsewhere = dueIn === undefined ? undefined : request.expectedCallTime()
  return {
    ...(dueIn !== undefined && { dueIn }),
    ...(elsewhere !== undefined && { elsewhere }),
    timeLeft: Math.min(lateAt - services.clock.now(), request.timeLeft),
  }
}
