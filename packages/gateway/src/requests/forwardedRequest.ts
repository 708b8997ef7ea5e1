import { SuspectRequest } from '@yewkeel/box'
import {
  retryShareOf,
  type ExchangeOutcome,
  type Milliseconds,
  type PromptWork,
} from '@yewkeel/decisions'
import type { GatewayServices } from '../types/services.js'
import type { CallerAnswer, OutgoingFields } from '../types/ports.js'
import type { AnswerKey, TimedAspect } from '../tasks/versionJudge.js'
import type { Upstream } from '../types/upstream.js'
import type { AdmittedRequest } from './admitCaller.js'
import { CrashProbe, type ProbedRun } from './crashProbe.js'
import {
  exchangeWithUpstream,
  MISDIRECTED,
  type AnswerHead,
  type ExchangeHandler,
  type RunningExchange,
} from './exchangeWithUpstream.js'
import { TryAccount } from './tryAccount.js'
import { TryLog } from './tryLog.js'
import { UpstreamSearch } from './upstreamSearch.js'

/** To a request that is run no more. */
const CONDEMNED = 502

/** To a request that no upstream has run. */
const NOT_RUN = 503

/** Time that is kept back for the way to the upstream and back. */
const TIME_KEPT_BACK: Milliseconds = 8
/**
 * A request on its way: which upstreams it was sent to, whether it may have run, and its one final answer.
 */
export class ForwardedRequest {
  /** Runs of upstreams that are not tried again. */
  readonly tried: string[] = []
  readonly #tries: TryAccount
  isOver = false
  readonly #log: TryLog
  readonly #suspect: SuspectRequest
  readonly #crashes: CrashProbe
  /** The newest run at an upstream. */
  #sent: ProbedRun | undefined
  /** Versions that the request may run on, the same for all of its tries unless one of them is rolled back. */
  readonly admits: (version: string) => boolean
  /** The newest opinion that a model gave of its answer to this request. */
  doubted: { model: string; confidence: number } | undefined
  #exchange: RunningExchange | undefined
  readonly #timer: { cancel(): void }
  #onOver: (() => void) | undefined
  readonly #search: UpstreamSearch

  constructor(
    readonly services: GatewayServices,
    readonly admitted: AdmittedRequest,
    readonly answer: CallerAnswer,
  ) {
    const { clock, rollouts, retries, metrics } = services
    this.#log = new TryLog(clock, admitted.request.receivedAt)
    this.#suspect = createSuspect(services, admitted)
    this.#crashes = new CrashProbe(services, admitted, this.#suspect)
    this.admits = rollouts.admission(admitted.service, admitted.fields.session)
    this.#search = new UpstreamSearch({
      services,
      admitted,
      tried: this.tried,
      admits: this.admits,
      crashes: () => this.#suspect.crashes,
      isOver: () => this.isOver,
    })
    this.#tries = new TryAccount({
      clock,
      metrics,
      share: retryShareOf(retries, admitted.service),
      sharingBoxes: () => services.sharingBoxes(),
      maxAttempts: admitted.route.maxAttempts,
    })
    this.#timer = clock.after(admitted.deadline - clock.now(), () => this.#runOutOfTime())
    answer.onGone(() => this.finish('caller-left', undefined))
  }

  get route() {
    return this.admitted.route
  }

  get timeLeft(): Milliseconds {
    return this.admitted.deadline - this.services.clock.now()
  }

  /** Some upstream may have run it, so no answer may say that it did not run. */
  get mayHaveRun(): boolean {
    return this.#tries.mayHaveRun
  }

  /**
   * Whether the request may be sent to an upstream now. One that must not be is answered at once; `hasBegun`: its answer has
   * begun, and is broken off.
   */
  async mayRun(hasBegun = false): Promise<boolean> {
    await this.#crashes.lookedAt
    const turn = await this.#suspect.awaitTurn(this.admitted.deadline - 2 * TIME_KEPT_BACK)
    if (this.isOver) {
      // The caller left while the request waited for its turn.
      this.#suspect.endTrial()
      return false
    }
    if (turn === 'may-run') return true
    if (hasBegun) {
      this.answer.abort()
      this.finish(turn, undefined)
    } else if (turn === 'condemned') this.#refuseForGood()
    else this.giveUp('it is run elsewhere, and upstreams ended under it')
    return false
  }

  /** Resolves once it is known whether the last try's upstream has ended. */
  lookedAt(): Promise<void> {
    return this.#crashes.lookedAt
  }

  /**
   * Nobody runs this request. It has run, so that no status may say that it did not; none asks it to come back.
   */
  #refuseForGood(): void {
    const headers = this.services.dialect.writeRefusal(this.admitted.fields.id, undefined)
    this.answer.start(CONDEMNED, headers, true)
    this.answer.end(
      `upstreams ended under this request, ${this.#suspect.crashes} in a row: it is not run again for now`,
    )
    this.finish('condemned', CONDEMNED)
  }

  /** Called once when the request is over, whoever ended it. */
  onOver(callback: () => void): void {
    this.#onOver = callback
  }

  /** Whether one more upstream could be sent the request now. */
  hasTry(): boolean {
    return this.#isOpen && this.#tries.hasTry
  }

  /** Takes the right to send the request to one more upstream. */
  takeTry(): boolean {
    return this.#isOpen && this.#tries.takeTry()
  }

  get #isOpen(): boolean {
    return !this.isOver && this.timeLeft >= TIME_KEPT_BACK * 2
  }

  /**
   * How long it would take until another model's answer begins, the last upstream included. Infinite when no upstream
   * takes the request.
   */
  beginsWithin(model: string): Milliseconds {
    const prompt = this.services.work.promptWork(this.admitted.fields, model, this.route.models)
    return this.#search.beginsWithin(prompt)
  }

  /** An upstream that takes the request now, or within a short wait. */
  findUpstream(prompt?: PromptWork): Promise<Upstream | undefined> {
    return this.#search.find(prompt)
  }

  /** Sends the request to an upstream. */
  send(
    upstream: Upstream,
    fields: Pick<OutgoingFields, 'copyFrom' | 'lastEventId' | 'model'>,
    handler: ExchangeHandler,
  ): RunningExchange {
    const { clock, dialect, statements } = this.services
    const { request, organisation, route } = this.admitted
    const outgoing: OutgoingFields = {
      timeLeft: Math.max(1, Math.floor(this.timeLeft - TIME_KEPT_BACK)),
      upstreamId: upstream.listed.id,
      ...(organisation && { organisation: organisation.name }),
      ...fields,
      urgency: this.#search.urgency,
    }
    this.tried.push(upstream.run)
    this.#sent = { upstream, send: this.#suspect.noteSent(upstream.run), sentAt: clock.now() }
    this.#tries.noteSent()
    upstream.said.sent++
    this.#log.begin(upstream.listed, fields.model)
    const exchange = exchangeWithUpstream(
      upstream,
      {
        method: request.method,
        target: request.target,
        headers: dialect.writeRequest(request.headers, outgoing),
        body: request.body,
        onFreshChannel: route.kind === 'unsafe',
      },
      this.admitted.fields.id,
      dialect,
      () => clock.now(),
      {
        ...handler,
        onHead: head => {
          statements.take(upstream, head, exchange.startedAt)
          this.#log.says(head)
          return handler.onHead(head)
        },
      },
    )
    this.#exchange = exchange
    return exchange
  }

  /**
   * The upstream did nothing wrong, only its model's answer was doubtful: it may be asked for that of another model.
   */
  forgiveLastTry(): void {
    this.tried.pop()
  }

  /** The last try never left this box. */
  noteUnsent(): void {
    this.#tries.noteUnsent()
  }

  /**
   * Whether another process than the upstream answered, and did not run the request: one that names itself otherwise. Without a
   * name the status may also say that the upstream does not have the model, where the caller chose that.
   */
  isMisdirected({ status, fields }: AnswerHead, upstream: Upstream): boolean {
    if (status !== MISDIRECTED || !fields.isNotRun) return false
    if (fields.answeredBy !== undefined) return fields.answeredBy !== upstream.listed.id
    return this.route.kind !== 'streaming' || this.route.models.length > 0
  }

  /** Another process answered at the upstream's address. Processes that crash stay listed for 4 s. */
  noteMisdirected(upstream: Upstream): void {
    this.noteTry(upstream, 'gone', `status ${MISDIRECTED}`)
    this.#tries.noteTurnedAway()
  }

  /** Notes how a try ended, for the log and for the upstream's health. */
  noteTry(upstream: Upstream, outcome: ExchangeOutcome | undefined, detail: string): void {
    this.#log.end(detail)
    // Whoever is turned away does not wait anew for the next upstream.
    if (outcome !== 'shed' && outcome !== 'gone') this.#search.waitAnew()
    if (outcome) this.services.outcomes.note(upstream, outcome)
  }

  /** Counts an answer for or against its version. */
  noteAnswer(upstream: Upstream, isGood: boolean): void {
    this.services.rollouts.judge.noteOutcome(this.#keyOf(upstream, ''), isGood)
  }

  /** How long an answer took to begin, or from piece to piece. */
  noteTime(
    upstream: Upstream,
    model: string | undefined,
    aspect: TimedAspect,
    sample: number,
  ): void {
    this.services.rollouts.judge.noteTime(this.#keyOf(upstream, model), aspect, sample)
  }

  /** The same of an answer that was ended before it had begun, or had gone on for long. */
  noteUnfinished(
    upstream: Upstream,
    model: string | undefined,
    aspect: TimedAspect,
    sampleSoFar: number,
  ): void {
    this.services.rollouts.judge.noteUnfinished(this.#keyOf(upstream, model), aspect, sampleSoFar)
  }

  #keyOf({ listed }: Upstream, model: string | undefined): AnswerKey {
    const { id, service, version } = listed
    return { service, version, route: this.route.name, model: model ?? '', upstream: id }
  }

  /**
   * An answer broke off. It counts against its version only if the upstream's process goes on: when three or four of
   * eight engines crashed or lost power at once, their broken answers made a good version look bad, and it was rolled back.
   */
  noteBroken(upstream: Upstream): void {
    if (this.#sent) this.#crashes.look(this.#sent, () => this.noteAnswer(upstream, false))
  }

  /** A whole answer came, and its end could be seen: the request crashes nobody. */
  noteWhole(head: AnswerHead): void {
    if (head.fields.isFramed) this.#suspect.noteWhole()
  }

  noteConfidence(confidence: number): void {
    this.#log.confidence(confidence)
  }

  /** A piece of a stream came `pause` after the one before it, or is the first. */
  notePiece(pause: Milliseconds | undefined): void {
    this.#log.piece(pause)
  }

  /** The upstream says that it did not run the request. */
  noteRefusal(): void {
    this.#tries.noteNotRun()
  }

  /** Passes an upstream's whole answer on as it came. */
  deliver(head: AnswerHead, body: Buffer): void {
    if (this.isOver) return
    const headers = this.services.dialect.writeAnswer(head.headers)
    const { isFramed } = head.fields
    // Nobody can say whether an answer without a length is whole: it is passed on as such.
    if (isFramed) headers.push('content-length', String(body.length))
    this.answer.start(head.status, headers, isFramed)
    this.answer.end(body)
    this.finish('delivered', head.status)
  }

  /** The one answer of our own: whether the request can have run decides its status. */
  giveUp(reason: string): void {
    if (this.isOver) return
    const isLate = this.timeLeft <= 0
    const status = !this.mayHaveRun ? NOT_RUN : isLate ? 504 : 502
    const retryAfter = this.mayHaveRun ? undefined : this.#search.comeBackAfter()
    const headers = this.services.dialect.writeRefusal(this.admitted.fields.id, retryAfter)
    this.answer.start(status, headers, true)
    this.answer.end(reason)
    this.finish(reason, status)
  }

  /** Ends the request: what is under way for it stops, and nothing more is written. */
  finish(outcome: string, status: number | undefined): void {
    if (this.isOver) return
    this.isOver = true
    this.#timer.cancel()
    this.#exchange?.cancel()
    this.#suspect.endTrial()
    this.#writeLine(outcome, status)
    this.#onOver?.()
  }

  #runOutOfTime(): void {
    if (this.isOver) return
    this.#onDeadline?.()
    if (!this.isOver) this.giveUp('out of time')
  }

  #onDeadline: (() => void) | undefined

  /** Called when time runs out, before the request is given up. */
  onDeadline(callback: () => void): void {
    this.#onDeadline = callback
  }

  #writeLine(outcome: string, status: number | undefined): void {
    const { services, admitted } = this
    const { request, fields, route, organisation } = admitted
    const duration = services.clock.now() - request.receivedAt
    const isFailure = outcome !== 'delivered'
    services.metrics.observe(route.name, outcome, duration)
    services.log.request(
      {
        id: fields.id,
        ...(this.#suspect.knownDigest !== undefined && { request: this.#suspect.knownDigest }),
        route: route.name,
        service: admitted.service,
        organisation: organisation?.name,
        outcome,
        status,
        duration: Math.round(duration),
        timeLeft: Math.round(this.timeLeft),
        configuration: services.operators.index?.configuration.revision,
        configurationAge: Math.round(services.operators.age),
        tries: this.#log.records,
        ...(status === NOT_RUN && { held: services.upstreams.heldBack(admitted.service) }),
        sends: this.#tries.attempts,
      },
      isFailure,
    )
  }
}

/** The same request is one with the same path, caller and body. An organisation is one caller with all its keys. */
function createSuspect(services: GatewayServices, admitted: AdmittedRequest): SuspectRequest {
  const { request, organisation, fields, service, route } = admitted
  const caller = organisation?.name ?? fields.key ?? ''
  return new SuspectRequest({
    suspects: services.suspects,
    secret: services.settings.peerSecret,
    content: { name: JSON.stringify([request.host, request.target, caller]), body: request.body },
    service,
    organisation: organisation?.name,
    route: route.name,
  })
}
