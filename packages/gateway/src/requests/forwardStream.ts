import {
  nextModel,
  recordConfidences,
  type ExchangeOutcome,
  type PrefillWork,
} from '@yewkeel/decisions'
import type { PrefillTracker } from '../tasks/engineWork.js'
import type { Upstream } from '../types/upstream.js'
import type { CrashSign } from './crashProbe.js'
import { EndProof } from './endProof.js'
import { EventRelay, type RelayOutcome } from './eventRelay.js'
import {
  OUTCOME_OF_FAULT,
  wasCutUnread,
  type ResponseHead,
  type ExchangeFault,
} from './exchangeWithUpstream.js'
import type { ForwardedRequest } from './forwardedRequest.js'
import { GatheredBody } from './gatheredBody.js'
import type { StreamFields } from './logRequest.js'
import { resolveUnprovenEnd } from './resolveUnprovenEnd.js'
import type { WatchedStream } from './stallWatch.js'

/**
 * How one attempt ended. `unproven`: in order, but without a length, so that the stream may go on.
 * `over`: the request finished for another reason, such as its deadline.
 */
type StreamOutcome =
  | { type: 'complete' }
  | { type: 'unproven' }
  | { type: 'doubted'; confidence: number; next: string }
  | { type: 'answer'; head: ResponseHead; body: Buffer }
  | { type: 'fault'; fault: ExchangeFault; wasSent: boolean; detail: string }
  | { type: 'over' }

/** Stall thresholds between chunks, as multiples of the route's pause objective. */
const UPSTREAM_STALL_FRACTION = 0.6
const STREAM_STALL_FACTOR = 2.5
/** Stall thresholds before the first chunk, as multiples of the latency objective. */
const FIRST_EVENT_UPSTREAM_STALL_FRACTION = 0.4
const FIRST_EVENT_STREAM_STALL_FACTOR = 1.5
const DEFAULT_PAUSE_OBJECTIVE = 1_000
/**
 * Chunks after which the pace of an answer, its mean time between chunks, is sampled: 0.6 s of a
 * usual answer, where the longest run for 20 s.
 */
const PACE_SAMPLE_CHUNKS = 16
/** Chunks that a shorter answer needs for a sample. */
const MIN_PACE_CHUNKS = 3

const FAULT_DETAILS: Record<Exclude<RelayOutcome, 'in-order'>, string> = {
  'out-of-order': 'an event was out of order',
  'too-large': 'an event is too large',
}

/**
 * Forwards a request whose answer is a stream of events; a broken stream is resumed if the route
 * allows it.
 */
export async function forwardStream(request: ForwardedRequest): Promise<void> {
  const { models, isResumable } = request.route
  const { lastEventId } = request.admitted.fields
  const relay = new EventRelay(request.answer, request.kept, isResumable ? lastEventId : undefined)
  const proof = createProof(request, relay)
  request.describeStream = () => describe(request, relay, proof)
  let model = models[0]
  let last: { head: ResponseHead; body: Buffer } | undefined
  request.onCutOff(reason => {
    if (relay.hasStarted) request.abort(reason)
  })
  while ((await request.mayRun(relay.hasStarted)) && request.takeAttempt()) {
    const prompt = request.services.work.promptWork(request.admitted.fields, model ?? '', models)
    const upstream = await request.findUpstream(prompt)
    if (request.isOver) return
    if (!upstream) break
    if (request.mustWaitAgain()) continue
    const outcome = await attemptStream(request, upstream, prompt, relay, proof)
    if (outcome.type === 'over') return
    if (outcome.type === 'complete') return endWhole(request)
    if (outcome.type === 'doubted') {
      request.allowLastUpstream()
      model = outcome.next
      continue
    }
    if (outcome.type === 'unproven') {
      // Its upstream may have ended with it, as others would under the same request.
      await request.awaitWatch()
      if (request.isOver) return
      // Any can be asked to repeat the last event; this one has read the prompt.
      if (!proof.seeksOther || !request.canMove(prompt)) request.allowLastUpstream()
    } else last = outcome.type === 'answer' ? outcome : undefined
    if (request.mayHaveRun && !isResumable) break
    if (!proof.endedAt || !proof.isSought) continue
    const resolution = await resolveUnprovenEnd(request, proof, proof.endedAt)
    if (resolution === 'over') return
    if (resolution === 'break-off') break
    if (resolution === 'accept' && relay.hasStarted) {
      proof.isAccepted = true
      return endWhole(request)
    }
  }
  await request.awaitCrashProbe()
  if (request.isOver) return
  if (relay.hasStarted)
    return request.abort(
      proof.isSought
        ? 'the stream has no length and its end could not be proved'
        : 'the stream broke and could not go on elsewhere',
    )
  if (last && !last.head.fields.isNotRun && last.head.fields.isSigned && last.head.status === 500)
    return request.deliver(last.head, last.body)
  request.fail(request.mayHaveRun ? 'no answer began' : 'no upstream took the request')
}

function createProof(request: ForwardedRequest, relay: EventRelay): EndProof {
  const { ends } = request.services
  const { service, route, fields } = request.admitted
  return new EndProof({
    relay,
    isResumed: route.isResumable && fields.lastEventId !== undefined,
    areEndsSound: () => ends.areSound(service),
    neededRuns: () => ends.neededRuns(service),
    onSound: runs => ends.record(service, 'sound', runs),
    onEarly: upstream =>
      void request.isStillThere(upstream).then(livesOn => {
        // One that ends or leaves says nothing of the others.
        if (livesOn) ends.record(service, 'early')
      }),
  })
}

function endWhole(request: ForwardedRequest): void {
  request.answer.end()
  request.finish('delivered', 200)
}

function describe(
  { admitted }: ForwardedRequest,
  relay: EventRelay,
  { isAccepted }: EndProof,
): StreamFields {
  const { lastEventId } = admitted.fields
  return {
    ...(lastEventId !== undefined && { resumesAfter: lastEventId }),
    ...(relay.lastId !== undefined && { lastEvent: relay.lastId }),
    ...(relay.hasStarted && { endsBy: relay.isFramed ? 'chunk' : 'close' }),
    ...(isAccepted && { isEndAccepted: true }),
  }
}

function attemptStream(
  request: ForwardedRequest,
  upstream: Upstream,
  prompt: PrefillWork,
  relay: EventRelay,
  proof: EndProof,
): Promise<StreamOutcome> {
  return new Promise(resolve => {
    new StreamAttempt(request, upstream, prompt, relay, proof, resolve).start()
  })
}

/** One attempt at a streamed answer, at one upstream. */
class StreamAttempt {
  /** The body of an answer that is not a stream. */
  readonly #body: GatheredBody
  #head: ResponseHead | undefined
  #watched: WatchedStream | undefined
  #firstEventAt: number | undefined
  #lastChunkAt: number | undefined
  #isSettled = false
  #chunkCount = 0
  #hasPace = false
  #prefill: PrefillTracker | undefined
  readonly #startedAt: number

  constructor(
    private readonly request: ForwardedRequest,
    private readonly upstream: Upstream,
    private readonly prompt: PrefillWork,
    private readonly relay: EventRelay,
    private readonly proof: EndProof,
    private readonly resolve: (outcome: StreamOutcome) => void,
  ) {
    this.#startedAt = request.services.clock.now()
    this.#body = new GatheredBody(request.kept)
  }

  /** Undefined if the caller chose the model. */
  get #model(): string | undefined {
    return this.prompt.model || undefined
  }

  start(): void {
    const { request, upstream, relay } = this
    const model = this.#model
    const repeatsLast = this.proof.isSought
    relay.beginAttempt(repeatsLast)
    const { promptTokens } = request.admitted.fields
    const { id, service, version } = upstream.listed
    const isUsual = !request.services.rollouts.isOnTrial(service, version)
    this.#prefill = request.services.work.begin(id, this.prompt, promptTokens, isUsual)
    request.onFinish(() => this.#endEarly())
    const lastEventId = relay.startOf(repeatsLast)
    const source = request.services.upstreams.copySource(this.prompt, upstream)
    const exchange = request.send(
      upstream,
      {
        ...(model !== undefined && { model }),
        ...(lastEventId !== undefined && { lastEventId }),
        ...(source && { copyFrom: source.listed.address }),
      },
      {
        onHead: head => this.#handleHead(head),
        onChunk: chunk => this.#handleChunk(chunk),
        onEnd: () => this.#handleEnd(),
        onFault: (fault, wasSent, detail) => this.#fail(fault, wasSent, detail),
      },
    )
    const { latencyObjective } = request.route
    this.#watched = {
      exchange,
      expectedDelay: () => request.services.work.waiting(id),
      upstreamStallAfter: FIRST_EVENT_UPSTREAM_STALL_FRACTION * latencyObjective,
      streamStallAfter: FIRST_EVENT_STREAM_STALL_FACTOR * latencyObjective,
      onStall: pause => this.#handleStall(pause),
    }
    request.services.stalls.add(this.#watched)
  }

  #handleHead(head: ResponseHead): boolean {
    const { request, upstream } = this
    const model = this.#model
    this.#head = head
    request.recordLoad(upstream, head.fields)
    if (!isStream(head)) return true
    if (this.#prefill)
      request.evidence.recordDuration(upstream, model, 'start', this.#prefill.recordFirstEvent())
    if (head.fields.confidence !== undefined) this.#recordConfidence(head.fields.confidence)
    const next = this.#largerModel(head, model)
    if (next === undefined) return true
    request.recordAttempt(upstream, 'good', `confidence ${head.fields.confidence}`)
    request.evidence.recordOutcome(upstream, true)
    this.#settle({ type: 'doubted', confidence: head.fields.confidence ?? 0, next })
    return false
  }

  /** The larger model to escalate to, if confidence is too low and time and attempts allow it. */
  #largerModel(head: ResponseHead, model: string | undefined): string | undefined {
    const { request, relay } = this
    if (model === undefined || relay.hasStarted || !request.canAttempt()) return undefined
    const { settings, confidenceGains, clock } = request.services
    return nextModel({
      models: request.route.models,
      model,
      confidence: head.fields.confidence,
      threshold: settings.confidenceThreshold,
      gains: confidenceGains,
      beginsWithin: name => request.estimateTimeToFirstToken(name),
      timeLeft: request.admitted.request.receivedAt + request.route.latencyObjective - clock.now(),
      ...(settings.parts.roomPrice && { roomPrice: name => request.priceOfPlace(name) }),
    })
  }

  /** Records the confidence gain between two models that answered the same request. */
  #recordConfidence(confidence: number): void {
    const { request } = this
    const model = this.#model
    request.recordConfidence(confidence)
    if (model === undefined) return
    const { lastConfidence } = request
    if (lastConfidence && lastConfidence.model !== model)
      recordConfidences(request.services.confidenceGains, lastConfidence, { model, confidence })
    request.lastConfidence = { model, confidence }
  }

  #handleChunk(chunk: Buffer): void {
    const head = this.#head!
    if (!isStream(head)) {
      if (!this.#body.push(chunk)) this.#handleLargeError(head)
      return
    }
    this.#recordChunk()
    const outcome = this.relay.push(chunk, () => this.#startAnswer(head))
    if (this.relay.hasNewEvents) this.proof.recordNewEvents()
    if (outcome !== 'in-order') this.#cancelAndFail('spoiled', FAULT_DETAILS[outcome])
  }

  #startAnswer(head: ResponseHead): void {
    const { request, relay } = this
    // Its caller can rely on the framing, so that the end has to be proved before it is written.
    relay.isFramed = head.fields.isFramed || request.route.isResumable
    const headers = request.services.dialect.writeResponse(head.headers)
    request.answer.start(head.status, headers, relay.isFramed)
  }

  #recordChunk(): void {
    const now = this.#sinceStart()
    const last = this.#lastChunkAt
    const pause = last === undefined ? undefined : this.#isPacedByCaller ? 0 : now - last
    this.request.recordChunk(pause)
    this.#lastChunkAt = now
    this.#chunkCount++
    if (this.#chunkCount === PACE_SAMPLE_CHUNKS) this.#recordPace()
    if (this.#firstEventAt !== undefined) return
    this.#firstEventAt = now
    const objective = this.request.route.pauseObjective ?? DEFAULT_PAUSE_OBJECTIVE
    this.#watched!.upstreamStallAfter = UPSTREAM_STALL_FRACTION * objective
    this.#watched!.streamStallAfter = STREAM_STALL_FACTOR * objective
  }

  #handleEnd(): void {
    const { request, upstream, relay } = this
    const head = this.#head!
    if (!isStream(head)) return this.#handleErrorResponse(head)
    if (relay.hasPartialEvent || (!relay.hasStarted && !this.#mayBeEmpty))
      return this.#fail('reset', true, 'it ended early')
    if (head.fields.isFramed) {
      this.proof.recordFramedEnd()
      return this.#complete(head)
    }
    void request.hasEndedWithUpstream(upstream).then(hasEnded => {
      if (this.#isSettled) return
      if (hasEnded) this.#fail('reset', true, 'its upstream ended', 'end')
      else if (request.route.isResumable) this.#endWithoutLength(head)
      else this.#complete(head)
    })
  }

  #endWithoutLength(head: ResponseHead): void {
    if (!this.relay.canRepeat) return this.#fail('spoiled', true, 'its end cannot be seen')
    const finding = this.proof.recordEnd(this.upstream)
    if (finding === 'agreed') this.#complete(head)
    else if (finding === 'unproven') this.#endUnproven()
    else this.#fail('spoiled', true, 'it ended before the event that it was asked to repeat')
  }

  /** The stream ended in order, but whether that was after its last event is not known. */
  #endUnproven(): void {
    const { request, upstream } = this
    request.recordAttempt(upstream, 'good', 'ended without a length')
    request.watchAfterEnd()
    this.#recordHoldingTime()
    if (this.#chunkCount >= MIN_PACE_CHUNKS) this.#recordPace()
    this.#settle({ type: 'unproven' })
  }

  /** The caller may already have the last event, so that a whole answer has none. */
  get #mayBeEmpty(): boolean {
    return this.request.admitted.fields.lastEventId !== undefined
  }

  #complete(head: ResponseHead): void {
    const { request, upstream, relay } = this
    if (!relay.hasStarted) this.#startAnswer(head)
    request.recordAttempt(upstream, 'good', 'complete')
    request.evidence.recordOutcome(upstream, true)
    // One without new events ran little that could have crashed the upstream.
    if (head.fields.isFramed && relay.hasNewEvents) request.recordWholeStream()
    else if (!head.fields.isFramed) request.watchAfterEnd()
    this.#recordHoldingTime()
    if (this.#chunkCount >= MIN_PACE_CHUNKS) this.#recordPace()
    this.#settle({ type: 'complete' })
  }

  /** Handles an answer that is not a stream and too large to be kept. */
  #handleLargeError(head: ResponseHead): void {
    if (!head.fields.isNotRun) return this.#cancelAndFail('spoiled', 'its error is too large')
    this.#watched?.exchange.cancel()
    this.#handleErrorResponse(head)
  }

  /** Handles an answer that is not a stream: a rejection or an error. */
  #handleErrorResponse(head: ResponseHead): void {
    const { request, upstream } = this
    const { isNotRun } = head.fields
    if (request.isMisdirected(head, upstream)) {
      request.recordMisdirected(upstream)
      return this.#settle({ type: 'answer', head, body: this.#body.take() })
    }
    const outcome: ExchangeOutcome = isNotRun ? 'shed' : 'failed'
    request.recordAttempt(upstream, outcome, `status ${head.status}`)
    if (isNotRun) {
      request.recordRefusal(upstream, head)
    } else {
      request.evidence.recordOutcome(upstream, false)
      request.recordCompletion(head)
    }
    this.#settle({ type: 'answer', head, body: this.#body.take() })
  }

  #fail(fault: ExchangeFault, wasSent: boolean, detail: string, sign?: CrashSign): void {
    const { request, upstream } = this
    if (fault === 'reset' && this.#watched && wasCutUnread(this.#watched.exchange)) {
      request.recordAttempt(upstream, undefined, `unread: ${detail}`)
      return this.#settle({ type: 'fault', fault, wasSent, detail })
    }
    request.recordAttempt(upstream, OUTCOME_OF_FAULT[fault], `${fault}: ${detail}`)
    if (fault === 'full') request.recordFull()
    else if (!wasSent) request.recordUnsent()
    else if (fault === 'reset') request.recordReset(upstream, sign)
    else if (fault === 'silent') this.#recordStalled()
    else if (fault !== 'unreachable') request.evidence.recordOutcome(upstream, false)
    this.#settle({ type: 'fault', fault, wasSent, detail })
  }

  #cancelAndFail(fault: ExchangeFault, detail: string): void {
    this.#watched?.exchange.cancel()
    this.#fail(fault, true, detail)
  }

  /**
   * Ends a stalled attempt if another upstream can resume the stream; silence alone is no reason to
   * give it up. Returns whether it did.
   */
  #handleStall(pause: number): boolean {
    const { request } = this
    if (!request.route.isResumable || !request.claimMove(this.prompt)) return false
    const fault = this.upstream.health.isUnreachable ? 'unreachable' : 'silent'
    this.#cancelAndFail(fault, `nothing came for ${Math.round(pause)} ms`)
    return true
  }

  /** Its caller was slower at times than the upstream, whose pace is unknown therefore. */
  get #isPacedByCaller(): boolean {
    return (this.#watched?.exchange.pausedFor ?? 0) > 0
  }

  /** Records the mean time between chunks, once per attempt. */
  #recordPace(): void {
    if (this.#hasPace || this.#firstEventAt === undefined || this.#isPacedByCaller) return
    this.#hasPace = true
    const pace = (this.#sinceStart() - this.#firstEventAt) / (this.#chunkCount - 1)
    this.request.evidence.recordDuration(this.upstream, this.#model, 'pace', pace)
  }

  /** Records for how long the model held its place, unless the caller made it wait. */
  #recordHoldingTime(): void {
    if (this.#model === undefined || this.#isPacedByCaller) return
    const { service } = this.upstream.listed
    const { holdingTimes } = this.request.services.upstreams
    holdingTimes.record(service, this.#sinceStart(), this.#model)
  }

  #recordStalled(): void {
    this.#recordUnfinished()
    this.request.recordStalled()
  }

  /** Records a cancelled attempt as a lower bound of its time to first event or of its pace. */
  #recordUnfinished(): void {
    const { request, upstream } = this
    if (this.#isPacedByCaller) return
    if (!this.#head) {
      if (this.#prefill)
        request.evidence.recordUnfinished(
          upstream,
          this.#model,
          'start',
          this.#prefill.currentSlowdown(),
        )
    } else if (!this.#hasPace && this.#firstEventAt !== undefined) {
      const paceSoFar = (this.#sinceStart() - this.#firstEventAt) / this.#chunkCount
      request.evidence.recordUnfinished(upstream, this.#model, 'pace', paceSoFar)
    }
  }

  #sinceStart(): number {
    return this.request.services.clock.now() - this.#startedAt
  }

  /** The request finished for another reason. */
  #endEarly(): void {
    if (this.#isSettled) return
    this.#recordUnfinished()
    this.#settle({ type: 'over' })
  }

  #settle(outcome: StreamOutcome): void {
    this.#isSettled = true
    this.#prefill?.end()
    if (this.#watched) this.request.services.stalls.remove(this.#watched)
    this.resolve(outcome)
  }
}

function isStream({ status, fields }: ResponseHead): boolean {
  return status >= 200 && status < 300 && fields.isSigned && !fields.isEncoded
}
