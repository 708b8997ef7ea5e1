import { partName, QUARANTINE_TTL, SuspectRequest } from '@yewkeel/box'
import {
  retryShareOf,
  type ExchangeOutcome,
  type Milliseconds,
  type PrefillWork,
} from '@yewkeel/decisions'
import type { GatewayServices } from '../types/services.js'
import type { CallerResponse, OutgoingFields, ResponseFields } from '../types/ports.js'
import type { KeptAccount } from '../tasks/keptBytes.js'
import type { Upstream } from '../types/upstream.js'
import type { HeldRoom } from '../tasks/upstreamRooms.js'
import type { AdmittedRequest } from './admitCaller.js'
import { CallerPace } from './callerPace.js'
import { CrashProbe, type CrashSign, type SentAttempt } from './crashProbe.js'
import {
  exchangeWithUpstream,
  MISDIRECTED,
  type ResponseHead,
  type ExchangeHandler,
  type RunningExchange,
} from './exchangeWithUpstream.js'
import { AttemptTracker } from './attemptTracker.js'
import { hasSenderEnded } from './hasSenderEnded.js'
import { logRequest, NOT_RUN_STATUS, type StreamFields } from './logRequest.js'
import { AttemptLog } from './attemptLog.js'
import { AnswerEvidence } from './answerEvidence.js'
import { relayToBox } from './relayToBox.js'
import { UpstreamSearch } from './upstreamSearch.js'

/** Status for a quarantined request. */
const QUARANTINED_STATUS = 502
/** Outcome of a request whose connection was closed before its answer had ended, by who did so. */
const DISCONNECT_OUTCOMES = { box: 'connection-closed', caller: 'caller-left' } as const

/** Attempts that found no connection, after which their upstreams are not tried again. */
const MAX_FULL_ATTEMPTS = 4

/** Time reserved for the network round trip to the upstream. */
const ROUND_TRIP_ALLOWANCE: Milliseconds = 8

/**
 * A request being forwarded: its attempts, whether an upstream may have processed it, and its
 * single answer.
 */
export class ForwardedRequest {
  /** Runs of upstreams that are excluded from further attempts. */
  readonly tried: string[] = []
  readonly #attempts: AttemptTracker
  isOver = false
  #fullCount = 0
  /** Part of an answer has been passed on before it was whole. */
  isPassedOn = false
  readonly #attemptLog: AttemptLog
  readonly #suspect: SuspectRequest
  readonly #crashProbe: CrashProbe
  /** What its log line tells of the stream that answers it. */
  describeStream: (() => StreamFields) | undefined
  /** What its answers say of the versions of upstreams. */
  readonly evidence: AnswerEvidence
  #lastAttempt: SentAttempt | undefined
  /** Resolves when it is known whether the upstream of an answer without a length goes on. */
  #watch: Promise<void> | undefined
  /**
   * Versions that the request may use: the same for all attempts unless one of them is rolled back.
   */
  readonly admits: (version: string) => boolean
  /** The last model that reported a confidence for this request. */
  lastConfidence: { model: string; confidence: number } | undefined
  #exchange: RunningExchange | undefined
  /** What the box keeps for it, but for what its caller has to read. */
  readonly kept: KeptAccount
  readonly #pace: CallerPace
  /** The room that the last attempt holds. */
  #heldRoom: HeldRoom | undefined
  #onFinish: (() => void) | undefined
  readonly #search: UpstreamSearch

  constructor(
    readonly services: GatewayServices,
    readonly admitted: AdmittedRequest,
    readonly answer: CallerResponse,
  ) {
    const { clock, rollouts, retryShares, metrics } = services
    this.#attemptLog = new AttemptLog(clock, admitted.request.receivedAt)
    this.#suspect = createSuspectRequest(services, admitted)
    this.#crashProbe = new CrashProbe(services, admitted, this.#suspect)
    this.evidence = new AnswerEvidence(rollouts.evaluator, admitted.route.name)
    this.admits = rollouts.admission(admitted.service, admitted.fields.session)
    this.#search = new UpstreamSearch({
      services,
      admitted,
      tried: this.tried,
      admits: this.admits,
      crashes: () => this.#suspect.crashes,
      isOver: () => this.isOver,
    })
    this.#attempts = new AttemptTracker({
      clock,
      metrics,
      share: retryShareOf(retryShares, admitted.service),
      sharingBoxes: () => services.budgetBoxCount(),
      onBudget: (isTaken, window) =>
        services.retryBudgetWatch.record(admitted.service, isTaken, window),
      maxAttempts: admitted.route.maxAttempts,
      earlierSends: admitted.earlierSends,
    })
    this.#pace = new CallerPace({
      clock,
      answer,
      deadline: admitted.deadline,
      onDeadline: () => this.cutOff('out of time'),
    })
    this.kept = services.kept.open(() => admitted.fields.id)
    this.kept.add('sending', admitted.request.body.length)
    services.openRequests.add(this)
    answer.onDisconnect(by => this.finish(DISCONNECT_OUTCOMES[by], undefined))
  }

  get route() {
    return this.admitted.route
  }

  get timeLeft(): Milliseconds {
    return this.admitted.deadline - this.services.clock.now()
  }

  /** An upstream may have processed the request, so the answer must not claim otherwise. */
  get mayHaveRun(): boolean {
    return this.#attempts.mayHaveRun
  }

  /**
   * Waits until the request may be sent to an upstream: for the crash probe, and for its turn if it
   * is suspected of crashing upstreams. Otherwise finishes the request and returns false;
   * `hasBegun`: its answer has begun and is aborted.
   */
  async mayRun(hasBegun = false): Promise<boolean> {
    await this.#crashProbe.settled
    const turn = await this.#suspect.waitForAdmission(
      this.admitted.deadline - 2 * ROUND_TRIP_ALLOWANCE,
    )
    if (this.isOver) {
      // The caller disconnected, or the deadline passed, during the wait.
      this.#suspect.endTrial()
      return false
    }
    if (turn === 'may-run') return true
    if (hasBegun) {
      this.answer.abort()
      this.finish(turn, undefined)
    } else if (turn === 'condemned') this.#rejectQuarantined()
    else this.fail('upstreams ended under it or a part of its prompt, which is on trial')
    return false
  }

  /**
   * Whether the request may not be sent after all, since a part of its prompt came under suspicion
   * while it waited for an upstream. Gives the found upstream back if so.
   */
  mustWaitAgain(): boolean {
    if (!this.#suspect.mustWait) return false
    this.#search.endRun()
    return true
  }

  /** Resolves when the crash probe of the last attempt has finished or timed out. */
  awaitCrashProbe(): Promise<void> {
    return this.#crashProbe.settled
  }

  /**
   * Rejects a quarantined request: it has been processed, so neither a 503 nor a Retry-After is
   * right. One with a quarantined part has not, unless it was the one that showed it.
   */
  #rejectQuarantined(): void {
    const { condemnedPart } = this.#suspect
    if (condemnedPart !== undefined) return this.#rejectPart(condemnedPart)
    const headers = this.services.dialect.writeRejection(this.admitted.fields.id, undefined)
    this.answer.start(QUARANTINED_STATUS, headers, true)
    this.answer.end(
      `upstreams ended under this request, ${this.#suspect.crashes} in a row: it is not run again for now`,
    )
    this.finish('condemned', QUARANTINED_STATUS)
  }

  #rejectPart(part: string): void {
    const status = this.mayHaveRun ? QUARANTINED_STATUS : NOT_RUN_STATUS
    const retryAfter = this.mayHaveRun ? undefined : QUARANTINE_TTL
    const headers = this.services.dialect.writeRejection(this.admitted.fields.id, retryAfter)
    this.answer.start(status, headers, true)
    this.answer.end(`upstreams ended under ${part} of its prompt: it is not run for now`)
    this.finish('condemned', status)
  }

  /** Calls back when the request finishes, for whatever reason. Replaces the earlier callback. */
  onFinish(callback: () => void): void {
    this.#onFinish = callback
  }

  /**
   * Whether the deadline, the attempt limit and the retry budget allow one more attempt, and the
   * budget `count` of them.
   */
  canAttempt(count = 1): boolean {
    return this.#canStillSend && this.#attempts.canAttempt(count)
  }

  /** Claims one more attempt, paid from the retry budget where needed. */
  takeAttempt(): boolean {
    return this.#canStillSend && this.#attempts.takeAttempt()
  }

  /** Claims an attempt ahead, if most of the retry budget is left; `takeAttempt` finds it paid. */
  reserveAttempt(): boolean {
    return this.#canStillSend && this.#attempts.reserveAttempt()
  }

  /** Whether another upstream can take the request now. */
  canMove(prompt?: PrefillWork): boolean {
    return this.#canStillSend && this.#search.hasUpstream(prompt)
  }

  /** Claims an attempt at another upstream, if one can take the request now. */
  claimMove(prompt: PrefillWork): boolean {
    return this.canMove(prompt) && this.#attempts.takeAttempt()
  }

  get #canStillSend(): boolean {
    return !this.isOver && this.timeLeft >= ROUND_TRIP_ALLOWANCE * 2
  }

  /**
   * Estimated time to the first token with another model. Infinite if no upstream accepts the
   * request.
   */
  estimateTimeToFirstToken(model: string): Milliseconds {
    const prompt = this.services.work.promptWork(this.admitted.fields, model, this.route.models)
    return this.#search.estimateTimeToFirstToken(prompt)
  }

  /** Expected time of a call at an upstream that has not been tried; undefined if not known. */
  expectedCallTime(): Milliseconds | undefined {
    return this.#search.expectedCallTime()
  }

  /** What a place at the service's upstreams costs others while a model answers, in ms of their waiting. */
  priceOfPlace(model: string): Milliseconds {
    return this.#search.priceOfPlace(model)
  }

  /** Selects an upstream, and waits for one briefly if none accepts the request at once. */
  findUpstream(prompt?: PrefillWork): Promise<Upstream | undefined> {
    return this.#search.find(prompt)
  }

  /** Sends the request to an upstream as a new attempt. */
  send(
    upstream: Upstream,
    fields: Pick<OutgoingFields, 'copyFrom' | 'lastEventId' | 'model'>,
    handler: ExchangeHandler,
  ): RunningExchange {
    const { services } = this
    const { clock, dialect, advertisements } = services
    const { request, organisation, route } = this.admitted
    const outgoing: OutgoingFields = {
      timeLeft: Math.max(1, Math.floor(this.timeLeft - ROUND_TRIP_ALLOWANCE)),
      upstreamId: upstream.listed.id,
      ...(organisation && { organisation: organisation.name }),
      ...fields,
      urgency: this.#search.urgency,
    }
    this.tried.push(upstream.run)
    const attempt: SentAttempt = {
      upstream,
      send: this.#suspect.recordSend(upstream.run),
      sentAt: clock.now(),
    }
    this.#lastAttempt = attempt
    this.#attempts.recordSent()
    upstream.advertised.sentSinceLog++
    const { listInUse } = services.upstreams
    const paidFrom = this.#attempts.takePaidFrom()
    this.#attemptLog.begin(upstream, listInUse, fields.model, paidFrom, fields.lastEventId)
    const heldRoom = services.rooms.hold(upstream, this.#search.roomNeed)
    this.#heldRoom = heldRoom
    const exchange = exchangeWithUpstream(
      upstream,
      {
        method: request.method,
        target: request.target,
        headers: dialect.writeRequest(request.headers, outgoing),
        body: request.body,
        onNewConnection: route.kind === 'unsafe',
      },
      this.admitted.fields.id,
      dialect,
      () => clock.now(),
      {
        ...handler,
        onHead: head => {
          this.#attempts.recordArrived()
          advertisements.recordAnswer(upstream, head, exchange.startedAt)
          this.#attemptLog.recordHead(head)
          return handler.onHead(head)
        },
        onChunk: chunk => {
          attempt.lastBytesAt = clock.now()
          attempt.begunAt ??= attempt.lastBytesAt
          // Bytes that waited for the caller say nothing of when their upstream sent them.
          if (exchange.pausedFor === 0) this.#suspect.recordProgress(attempt.begunAt)
          handler.onChunk(chunk)
        },
        onFault: (fault, wasSent, detail) => {
          if (fault === 'reset') this.#attempts.recordArrived()
          handler.onFault(fault, wasSent, detail)
        },
        onOver: () => heldRoom?.end(),
      },
    )
    this.#exchange = exchange
    this.#pace.follow(exchange)
    return exchange
  }

  /** Records the load in the head of an answer, unless another process at the address sent it. */
  recordLoad(upstream: Upstream, { load, answeredBy }: ResponseFields): void {
    if (!load || (answeredBy ?? upstream.listed.id) !== upstream.listed.id) return
    this.services.upstreams.recordReportedLoad(upstream, load)
    this.services.told.record(upstream, load)
  }

  /** Makes the last upstream eligible again: it worked, only its model had a low confidence. */
  allowLastUpstream(): void {
    this.tried.pop()
  }

  /** The last attempt sent no byte to the upstream. */
  recordUnsent(): void {
    this.#attempts.recordUnsent()
  }

  /**
   * The last upstream took no connection, so that no byte was sent: it may take the request a moment
   * later.
   */
  recordFull(): void {
    this.recordUnsent()
    if (++this.#fullCount <= MAX_FULL_ATTEMPTS) this.allowLastUpstream()
  }

  /**
   * Whether another process at the upstream's address rejected the request. A 421 without the
   * process's name may also mean that the upstream lacks the model, if the caller chose the model.
   */
  isMisdirected({ status, fields }: ResponseHead, upstream: Upstream): boolean {
    if (status !== MISDIRECTED || !fields.isNotRun) return false
    if (fields.answeredBy !== undefined) return fields.answeredBy !== upstream.listed.id
    return this.route.kind !== 'streaming' || this.route.models.length > 0
  }

  /** Another process answered at the upstream's address, for example after a restart. */
  recordMisdirected(upstream: Upstream): void {
    this.recordAttempt(upstream, 'gone', `status ${MISDIRECTED}`)
    this.#attempts.recordMisdirected()
  }

  /** Records how an attempt ended, for the log and the upstream's health. */
  recordAttempt(upstream: Upstream, outcome: ExchangeOutcome | undefined, detail: string): void {
    this.#attemptLog.end(detail)
    if (this.#lastAttempt) this.#lastAttempt.isOver = true
    this.#search.endRun()
    // A rejected attempt does not restart the wait, so that rejections cannot prolong it.
    if (outcome !== 'shed' && outcome !== 'gone') this.#search.restartWait()
    if (outcome) this.services.outcomes.record(upstream, outcome)
    if (outcome === 'good') this.#heldRoom?.recordAnswer(this.#attemptLog.lastPieces)
  }

  /**
   * The connection broke during the exchange. It counts against the version only if the process
   * still runs: engines that crash or lose power together must not cause the rollback of a good
   * version.
   */
  recordReset(upstream: Upstream, sign: CrashSign = 'reset'): void {
    const attempt = this.#lastAttempt
    if (attempt)
      this.#crashProbe.probe(attempt, sign, () => this.evidence.recordOutcome(upstream, false))
  }

  /**
   * Whether an answer without a length may have ended because its upstream did. Nothing can be told
   * of one that leaves, since it takes no connections in any case.
   */
  async hasEndedWithUpstream(upstream: Upstream): Promise<boolean> {
    const { reachability, clock } = this.services
    if (upstream.advertised.isLeaving || upstream.listed.state !== 'ready') return false
    return hasSenderEnded(() => reachability.accepts(upstream), clock)
  }

  /** Whether an upstream goes on some time after it ended an answer, and is not about to leave. */
  async isStillThere(upstream: Upstream): Promise<boolean> {
    const { reachability, upstreams } = this.services
    if (upstream.advertised.isLeaving || upstream.listed.state !== 'ready') return false
    return upstreams.isListed(upstream) && reachability.accepts(upstream)
  }

  /** An upstream was found to take no connections: those that are open may stay silent for good. */
  recordUnreachable(upstream: Upstream): void {
    const attempt = this.#lastAttempt
    if (attempt?.upstream !== upstream || attempt.isOver || this.#exchange?.isUnsent) return
    this.#crashProbe.probeSilent(attempt)
  }

  /** The last attempt was given up since nothing came any more: its upstream may be gone. */
  recordStalled(): void {
    if (this.#lastAttempt) this.#crashProbe.probeSilent(this.#lastAttempt)
  }

  /** The answer that ended had no length, so that its upstream is looked for once more. */
  watchAfterEnd(): void {
    if (this.#lastAttempt) this.#watch = this.#crashProbe.watchAfterEnd(this.#lastAttempt)
  }

  /** Resolves when it is known whether the upstream of the last answer without a length goes on. */
  awaitWatch(): Promise<void> {
    return this.#watch ?? Promise.resolve()
  }

  /** A complete, framed answer shows that the request did not crash the upstream. */
  recordCompletion(head: ResponseHead): void {
    if (head.fields.isFramed) this.#suspect.recordCompleteAnswer()
  }

  /** A complete, framed stream shows that no part of its prompt did either. */
  recordWholeStream(): void {
    this.#suspect.recordCompleteAnswer(this.#lastAttempt?.begunAt)
  }

  recordConfidence(confidence: number): void {
    this.#attemptLog.recordConfidence(confidence)
  }

  /** Records a chunk, `pause` after the previous one; undefined for the first. */
  recordChunk(pause: Milliseconds | undefined): void {
    this.#attemptLog.recordChunk(pause)
  }

  /** The upstream reported that it did not process the request. */
  recordRefusal(upstream: Upstream, { status, fields }: ResponseHead): void {
    this.#attempts.recordNotRun()
    // With a Retry-After it asks for back-off, whatever its room.
    if (status === NOT_RUN_STATUS && fields.retryAfter === undefined)
      this.services.upstreams.recordFull(upstream, totalLoadOf(fields))
  }

  /**
   * Sends an upstream's complete answer to the caller unchanged. `isWhole`: it is known to be, though
   * it may have no length of its own.
   */
  deliver(head: ResponseHead, body: Buffer, isWhole = false): void {
    if (this.isOver) return
    const headers = this.services.dialect.writeResponse(head.headers)
    const isFramed = head.fields.isFramed || isWhole
    // An unframed answer may be truncated; a length would make it look complete.
    if (isFramed) headers.push('content-length', String(body.length))
    this.answer.start(head.status, headers, isFramed)
    this.answer.end(body)
    this.finish('delivered', head.status)
  }

  /** Aborts an answer that has begun, so that the caller does not take it for complete. */
  abort(reason: string): void {
    if (this.isOver) return
    this.answer.abort()
    this.finish(reason, undefined)
  }

  /**
   * Answers with an error: 503 if no upstream processed the request, else 504 after the deadline or
   * 502.
   */
  fail(reason: string): void {
    if (this.isOver) return
    if (this.#mayBeRelayed) {
      this.finish('passed-on', undefined)
      return relayToBox(this.services, this.admitted, this.answer, this.#attempts.sends)
    }
    const isLate = this.timeLeft <= 0
    const status = !this.mayHaveRun ? NOT_RUN_STATUS : isLate ? 504 : 502
    const retryAfter = this.mayHaveRun ? undefined : this.#search.retryAfter()
    const headers = this.services.dialect.writeRejection(this.admitted.fields.id, retryAfter)
    this.answer.start(status, headers, true)
    this.answer.end(reason)
    this.finish(reason, status)
  }

  /** It has run nowhere, and the path to its upstreams was found to be lost meanwhile. */
  get #mayBeRelayed(): boolean {
    const { isRelayed, service } = this.admitted
    return (
      !isRelayed && !this.mayHaveRun && this.#canStillSend && this.services.paths.isLost(service)
    )
  }

  /** Finishes the request: cancels the exchange, writes the log line and ignores later calls. */
  finish(outcome: string, status: number | undefined): void {
    if (this.isOver) return
    this.isOver = true
    this.services.openRequests.delete(this)
    this.#pace.stop()
    if (this.#exchange?.isUnsent) this.recordUnsent()
    this.#attempts.finish()
    this.#exchange?.cancel()
    this.kept.release()
    if (this.#watch) void this.#watch.then(() => this.#suspect.endTrial())
    else this.#suspect.endTrial()
    this.#search.endRun()
    logRequest(this.services, this.admitted, {
      outcome,
      status,
      digest: this.#suspect.computedDigest,
      attempts: this.#attemptLog.records,
      sends: this.#attempts.attempts,
      wait: this.#search.roomWaitFields,
      stream: this.describeStream?.(),
    })
    this.#onFinish?.()
  }

  /** Ends the request before its answer is complete, at its deadline or when the box exits. */
  cutOff(reason: string): void {
    if (this.isOver) return
    this.#onCutOff?.(reason)
    if (this.isOver) return
    if (this.#exchange?.isUnsent) this.recordUnsent()
    this.fail(reason)
  }

  #onCutOff: ((reason: string) => void) | undefined

  /** Calls back when the request is cut off, before it fails. */
  onCutOff(callback: (reason: string) => void): void {
    this.#onCutOff = callback
  }
}

/**
 * Requests are the same if host, target, caller and body are. All keys of an organisation are one
 * caller.
 */
function createSuspectRequest(
  services: GatewayServices,
  admitted: AdmittedRequest,
): SuspectRequest {
  const { request, organisation, fields, service, route } = admitted
  const caller = organisation?.name ?? fields.key ?? ''
  return new SuspectRequest({
    suspects: services.suspects,
    secret: services.settings.peerSecret,
    content: { name: JSON.stringify([request.host, request.target, caller]), body: request.body },
    service,
    organisation: organisation?.name,
    route: route.name,
    parts: {
      clock: services.clock,
      // The last part belongs to the request itself or to its session.
      names: fields.promptParts.slice(0, -1).map(({ id }) => partName(service, id)),
    },
  })
}

/** Requests running and waiting, as an answer tells them. */
function totalLoadOf({ load }: ResponseFields): number | undefined {
  return load?.running === undefined ? undefined : load.running + (load.waiting ?? 0)
}
