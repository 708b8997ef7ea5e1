import {
  nextModel,
  noteConfidences,
  type ExchangeOutcome,
  type PromptWork,
} from '@yewkeel/decisions'
import type { ReadingPrompt } from '../tasks/engineWork.js'
import type { Upstream } from '../types/upstream.js'
import { EventRelay } from './eventRelay.js'
import { OUTCOME_OF_FAULT, type AnswerHead, type ExchangeFault } from './exchangeWithUpstream.js'
import type { ForwardedRequest } from './forwardedRequest.js'
import type { WatchedStream } from './stallWatch.js'

/** How one try at a stream ended. */
type StreamOutcome =
  | { type: 'complete' }
  | { type: 'doubted'; confidence: number; next: string }
  | { type: 'answer'; head: AnswerHead; body: Buffer }
  | { type: 'fault'; fault: ExchangeFault; wasSent: boolean; detail: string }
  | { type: 'over' }

/** A pause beyond what an engine's unread prompts explain, as a share of the longest pause in time ... */
const SILENT_UPSTREAM_SHARE = 0.6
/** ... and one that is too long whatever the engine is busy with. */
const SILENT_STREAM_SHARE = 2.5
/** Before the first event, shares of the latency objective. */
const FIRST_SILENT_UPSTREAM_SHARE = 0.4
const FIRST_SILENT_STREAM_SHARE = 1.5
const DEFAULT_PAUSE = 1_000
/**
 * After so many pieces an answer's pace is known, and need not wait for its end: 0.6 s of a usual one, where the longest run
 * for 20 s.
 */
const PACE_PIECES = 16
/** Two pauses tell a pace, one does not. */
const LEAST_PACE_PIECES = 3

/** Forwards a request whose answer is a stream of events. */
export async function forwardStream(run: ForwardedRequest): Promise<void> {
  const relay = new EventRelay(run.answer)
  const { models } = run.route
  const isResumable = run.route.isResumable
  let model = models[0]
  let last: { head: AnswerHead; body: Buffer } | undefined
  run.onDeadline(() => {
    if (relay.hasStarted) breakOff(run, 'out of time')
  })
  while ((await run.mayRun(relay.hasStarted)) && run.takeTry()) {
    const prompt = run.services.work.promptWork(run.admitted.fields, model ?? '', models)
    const upstream = await run.findUpstream(prompt)
    if (run.isOver) return
    if (!upstream) break
    const outcome = await tryStream(run, upstream, prompt, relay)
    if (outcome.type === 'over') return
    if (outcome.type === 'complete') {
      run.answer.end()
      run.finish('delivered', 200)
      return
    }
    if (outcome.type === 'doubted') {
      run.forgiveLastTry()
      model = outcome.next
      continue
    }
    last = outcome.type === 'answer' ? outcome : undefined
    if (run.mayHaveRun && !isResumable) break
  }
  await run.lookedAt()
  if (run.isOver) return
  if (relay.hasStarted) return breakOff(run, 'the stream broke and could not go on elsewhere')
  if (last && !last.head.fields.isNotRun && last.head.fields.isSigned && last.head.status === 500)
    return run.deliver(last.head, last.body)
  run.giveUp(run.mayHaveRun ? 'no answer began' : 'no upstream took the request')
}

/** Ends an answer that has begun, so that it does not look complete. */
function breakOff(run: ForwardedRequest, reason: string): void {
  run.answer.abort()
  run.finish(reason, undefined)
}

function tryStream(
  run: ForwardedRequest,
  upstream: Upstream,
  prompt: PromptWork,
  relay: EventRelay,
): Promise<StreamOutcome> {
  return new Promise(resolve => {
    new StreamTry(run, upstream, prompt, relay, resolve).start()
  })
}

/** One run of a streamed answer at one upstream. */
class StreamTry {
  readonly #body: Buffer[] = []
  #head: AnswerHead | undefined
  #watched: WatchedStream | undefined
  #firstEvent: number | undefined
  #lastPiece: number | undefined
  #isSettled = false
  #pieces = 0
  #hasPace = false
  #reading: ReadingPrompt | undefined
  readonly #startedAt: number

  constructor(
    private readonly run: ForwardedRequest,
    private readonly upstream: Upstream,
    private readonly prompt: PromptWork,
    private readonly relay: EventRelay,
    private readonly resolve: (outcome: StreamOutcome) => void,
  ) {
    this.#startedAt = run.services.clock.now()
  }

  /** Undefined where the caller names the model. */
  get #model(): string | undefined {
    return this.prompt.model || undefined
  }

  start(): void {
    const { run, upstream, relay } = this
    const model = this.#model
    relay.beginRun()
    const { promptTokens } = run.admitted.fields
    const { id, service, version } = upstream.listed
    const isUsual = !run.services.rollouts.isOnTrial(service, version)
    this.#reading = run.services.work.begin(id, this.prompt, promptTokens, isUsual)
    run.onOver(() => this.#endEarly())
    const lastEventId = relay.lastId ?? run.admitted.fields.lastEventId
    const source = run.services.upstreams.copySource(this.prompt, upstream)
    const exchange = run.send(
      upstream,
      {
        ...(model !== undefined && { model }),
        ...(lastEventId !== undefined && { lastEventId }),
        ...(source && { copyFrom: source.listed.address }),
      },
      {
        onHead: head => this.#takeHead(head),
        onChunk: chunk => this.#takeChunk(chunk),
        onEnd: () => this.#takeEnd(),
        onFault: (fault, wasSent, detail) => this.#fail(fault, wasSent, detail),
      },
    )
    const { latencyObjective } = run.route
    this.#watched = {
      exchange,
      expected: () => run.services.work.waiting(id),
      silentUpstream: FIRST_SILENT_UPSTREAM_SHARE * latencyObjective,
      silentStream: FIRST_SILENT_STREAM_SHARE * latencyObjective,
      onStall: pause => this.#stall(pause),
    }
    run.services.stalls.add(this.#watched)
  }

  #takeHead(head: AnswerHead): boolean {
    const { run, upstream } = this
    const model = this.#model
    this.#head = head
    if (head.fields.load !== undefined) run.services.upstreams.noteLoad(upstream, head.fields.load)
    if (!isStream(head)) return true
    if (this.#reading) run.noteTime(upstream, model, 'start', this.#reading.answered())
    if (head.fields.confidence !== undefined) this.#compareOpinions(head.fields.confidence)
    const next = this.#largerModel(head, model)
    if (next === undefined) return true
    run.noteTry(upstream, 'good', `confidence ${head.fields.confidence}`)
    run.noteAnswer(upstream, true)
    this.#settle({ type: 'doubted', confidence: head.fields.confidence ?? 0, next })
    return false
  }

  /** The model to ask instead, if this answer is doubtful and another can be asked. */
  #largerModel(head: AnswerHead, model: string | undefined): string | undefined {
    const { run, relay } = this
    if (model === undefined || relay.hasStarted || !run.hasTry()) return undefined
    const { settings, gains, clock } = run.services
    return nextModel({
      models: run.route.models,
      model,
      confidence: head.fields.confidence,
      threshold: settings.confidenceThreshold,
      gains,
      beginsWithin: name => run.beginsWithin(name),
      timeLeft: run.admitted.request.receivedAt + run.route.latencyObjective - clock.now(),
    })
  }

  /** Learns from two models' opinions of their answers to the same request. */
  #compareOpinions(confidence: number): void {
    const { run } = this
    const model = this.#model
    run.noteConfidence(confidence)
    if (model === undefined) return
    const { doubted } = run
    if (doubted && doubted.model !== model)
      noteConfidences(run.services.gains, doubted, { model, confidence })
    run.doubted = { model, confidence }
  }

  #takeChunk(chunk: Buffer): void {
    const head = this.#head!
    if (!isStream(head)) {
      this.#body.push(chunk)
      return
    }
    this.#notePiece()
    const isInOrder = this.relay.push(chunk, () => {
      const { run, relay } = this
      relay.isFramed = head.fields.isFramed
      run.answer.start(head.status, run.services.dialect.writeAnswer(head.headers), relay.isFramed)
    })
    if (!isInOrder) this.#cancelAndFail('spoiled', 'an event was out of order')
  }

  #notePiece(): void {
    const now = this.#sinceStart()
    this.run.notePiece(this.#lastPiece === undefined ? undefined : now - this.#lastPiece)
    this.#lastPiece = now
    this.#pieces++
    if (this.#pieces === PACE_PIECES) this.#notePace()
    if (this.#firstEvent !== undefined) return
    this.#firstEvent = now
    const pause = this.run.route.pauseObjective ?? DEFAULT_PAUSE
    this.#watched!.silentUpstream = SILENT_UPSTREAM_SHARE * pause
    this.#watched!.silentStream = SILENT_STREAM_SHARE * pause
  }

  #takeEnd(): void {
    const { run, upstream, relay } = this
    const head = this.#head!
    if (!isStream(head)) return this.#takeWhole(head)
    if (relay.hasRest || !relay.hasStarted) return this.#fail('reset', true, 'it ended early')
    if (relay.isFramed && !head.fields.isFramed)
      return this.#fail('spoiled', true, 'its end cannot be seen')
    run.noteTry(upstream, 'good', 'complete')
    run.noteAnswer(upstream, true)
    run.noteWhole(head)
    if (this.#pieces >= LEAST_PACE_PIECES) this.#notePace()
    this.#settle({ type: 'complete' })
  }

  /** An answer that is no stream: a refusal or a failure. */
  #takeWhole(head: AnswerHead): void {
    const { run, upstream } = this
    const { isNotRun } = head.fields
    if (run.isMisdirected(head, upstream)) {
      run.noteMisdirected(upstream)
      return this.#settle({ type: 'answer', head, body: Buffer.concat(this.#body) })
    }
    const outcome: ExchangeOutcome = isNotRun ? 'shed' : 'failed'
    run.noteTry(upstream, outcome, `status ${head.status}`)
    if (isNotRun) {
      run.noteRefusal()
    } else {
      run.noteAnswer(upstream, false)
      run.noteWhole(head)
    }
    this.#settle({ type: 'answer', head, body: Buffer.concat(this.#body) })
  }

  #fail(fault: ExchangeFault, wasSent: boolean, detail: string): void {
    const { run, upstream } = this
    run.noteTry(upstream, OUTCOME_OF_FAULT[fault], `${fault}: ${detail}`)
    if (!wasSent) run.noteUnsent()
    else if (fault === 'reset') run.noteBroken(upstream)
    else if (fault === 'silent') this.#noteUnfinished()
    else if (fault !== 'unreachable') run.noteAnswer(upstream, false)
    this.#settle({ type: 'fault', fault, wasSent, detail })
  }

  #cancelAndFail(fault: ExchangeFault, detail: string): void {
    this.#watched?.exchange.cancel()
    this.#fail(fault, true, detail)
  }

  /** Moves a stalled stream elsewhere, if that may be done. */
  #stall(pause: number): boolean {
    const { run } = this
    if (!run.route.isResumable || !run.hasTry()) return false
    const fault = this.upstream.health.isUnreachable ? 'unreachable' : 'silent'
    this.#cancelAndFail(fault, `nothing came for ${Math.round(pause)} ms`)
    return true
  }

  /** How fast the answer goes on, once. */
  #notePace(): void {
    if (this.#hasPace || this.#firstEvent === undefined) return
    this.#hasPace = true
    const pace = (this.#sinceStart() - this.#firstEvent) / (this.#pieces - 1)
    this.run.noteTime(this.upstream, this.#model, 'pace', pace)
  }

  /** An answer that was given up for its slowness never comes to its end, and counts by how long it took until then. */
  #noteUnfinished(): void {
    const { run, upstream } = this
    if (!this.#head) {
      if (this.#reading) run.noteUnfinished(upstream, this.#model, 'start', this.#reading.waited())
    } else if (!this.#hasPace && this.#firstEvent !== undefined) {
      const paceSoFar = (this.#sinceStart() - this.#firstEvent) / this.#pieces
      run.noteUnfinished(upstream, this.#model, 'pace', paceSoFar)
    }
  }

  #sinceStart(): number {
    return this.run.services.clock.now() - this.#startedAt
  }

  /** The request ended, for another reason than this try. */
  #endEarly(): void {
    if (this.#isSettled) return
    this.#noteUnfinished()
    this.#settle({ type: 'over' })
  }

  #settle(outcome: StreamOutcome): void {
    this.#isSettled = true
    this.#reading?.end()
    if (this.#watched) this.run.services.stalls.remove(this.#watched)
    this.resolve(outcome)
  }
}

function isStream({ status, fields }: AnswerHead): boolean {
  return status >= 200 && status < 300 && fields.isSigned && !fields.isEncoded
}
