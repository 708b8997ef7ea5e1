import {
  createSeededRandom,
  hashText,
  sleep,
  type Clock,
  type Milliseconds,
  type Random,
} from '@yewkeel/decisions'
import { createFaults, withFaults } from '../types/faults.js'
import {
  answerJson,
  type StandInAnswer,
  type StandInHandler,
  type StandInRequest,
} from '../types/handler.js'
import type { RatingService } from '../platform/ratingService.js'
import type { WeightStore } from '../platform/weightStore.js'

/** How good a version's answers are, by kind of request. */
export type QualityOf = (version: string, kind: string) => number

export interface EngineOptions {
  id: string
  clock: Clock
  random: Random
  /** `model@version` names that it runs at the start. */
  versions: string[]
  /** @default 8 */
  slots?: number
  /** Time between tokens. @default 20 */
  tokenInterval?: Milliseconds
  /** Time to the first token with no queue and an empty prompt. @default 40 */
  firstToken?: Milliseconds
  /** @default 20 */
  prefillTokensPerMillisecond?: number
  /** Tokens of an answer when the request sets none. @default 24 */
  answerTokens?: number
  qualityOf?: QualityOf
  ratings?: RatingService
  weights?: WeightStore
  /** @default true */
  checksFence?: boolean
  /** Versions that it can hold. @default 2 */
  room?: number
}

interface EngineStream {
  id: string
  version: string
  words: string[]
  produced: number
  promptTokens: number
  confidence: number
  cancelled: boolean
  done: boolean
  waiters: (() => void)[]
}

interface CompletionBody {
  model: string
  messages: { role: string; content: string }[]
  stream?: boolean
  max_tokens?: number
  priority?: number
  logprobs?: boolean
  metadata?: { kind?: string }
}

const CACHE_BLOCK_CHARACTERS = 1_024
const CACHE_BLOCKS = 512
const KEPT_STREAM: Milliseconds = 60_000

/** A model engine: slots, a queue by priority, a prefix cache, streams that can be resumed and cancelled. */
export class Engine {
  readonly faults = {
    ...createFaults(),
    /** Says it runs the version asked for and runs another. */
    lies: false,
    /** Breaks each stream after this many tokens. */
    cutAfter: Infinity,
    /** Multiplies the time between tokens. */
    slowdown: 1,
  }
  readonly versions: Set<string>
  readonly runs = new Map<string, number>()
  leaving = false
  loading: string | undefined
  #fence = 0
  #running = 0
  #queue: { priority: number; resume: () => void }[] = []
  #streams = new Map<string, EngineStream>()
  #cache = new Set<number>()

  constructor(readonly options: EngineOptions) {
    this.versions = new Set(options.versions)
  }

  get slots(): number {
    return this.options.slots ?? 8
  }

  get load(): { running: number; waiting: number } {
    return { running: this.#running, waiting: this.#queue.length }
  }

  readonly handler: StandInHandler = request =>
    withFaults(this.faults, this.options, () => this.#route(request))

  async #route(request: StandInRequest): Promise<StandInAnswer> {
    const url = new URL(request.path, 'http://engine')
    if (request.method === 'POST' && url.pathname === '/v1/chat/completions')
      return this.#complete(request)
    if (url.pathname.startsWith('/v1/streams/')) return this.#onStream(request, url)
    if (url.pathname === '/v1/models') {
      return answerJson(200, {
        object: 'list',
        data: [...this.versions].map(id => ({ id, object: 'model' })),
      })
    }
    if (url.pathname === '/load') return answerJson(200, this.#report())
    if (request.method === 'POST' && url.pathname === '/orders') return this.#order(request)
    return answerJson(404, { error: { message: 'unknown path' } })
  }

  #report() {
    return {
      ...this.load,
      slots: this.slots,
      leaving: this.leaving,
      versions: [...this.versions],
      room: this.options.room ?? 2,
      ...(this.loading && { loading: this.loading }),
    }
  }

  async #complete(request: StandInRequest): Promise<StandInAnswer> {
    const body = JSON.parse(request.body) as CompletionBody
    if (!this.versions.has(body.model)) {
      return answerJson(404, {
        error: { message: `the model ${body.model} is not loaded`, type: 'not_found' },
      })
    }
    const stream = this.#start(request, body)
    await this.#waitForFirstToken(stream, body)
    void this.#generate(stream)
    if (body.stream) return this.#eventStream(stream, 0, request)
    return this.#wholeAnswer(stream, body, request)
  }

  #start(request: StandInRequest, body: CompletionBody): EngineStream {
    const id = request.headers['x-request-id'] ?? `stream-${this.#streams.size}`
    const prompt = body.messages.map(message => message.content).join('\n')
    const kind = body.metadata?.kind ?? 'other'
    const good = this.options.random() < (this.options.qualityOf?.(body.model, kind) ?? 1)
    const confidence = good ? 0.6 + 0.4 * this.options.random() : 0.2 + 0.55 * this.options.random()
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1)
    this.options.ratings?.note(id, good)
    const count = Math.min(body.max_tokens ?? Infinity, this.options.answerTokens ?? 24)
    const stream: EngineStream = {
      id,
      version: this.faults.lies ? `${body.model.split('@')[0]}@other` : body.model,
      words: answerWords(prompt, count),
      produced: 0,
      promptTokens: Math.max(1, Math.ceil(prompt.length / 4)),
      confidence,
      cancelled: false,
      done: false,
      waiters: [],
    }
    this.#streams.set(id, stream)
    return stream
  }

  async #waitForFirstToken(stream: EngineStream, body: CompletionBody): Promise<void> {
    await this.#takeSlot(body.priority ?? 0)
    const cached = this.#cachedTokens(body)
    const { prefillTokensPerMillisecond = 20, firstToken = 40 } = this.options
    const prefill = Math.max(0, stream.promptTokens - cached) / prefillTokensPerMillisecond
    await sleep(this.options.clock, (firstToken + prefill) * this.faults.slowdown)
  }

  #takeSlot(priority: number): Promise<void> {
    if (this.#running < this.slots) {
      this.#running++
      return Promise.resolve()
    }
    return new Promise(resume => {
      const place = this.#queue.findIndex(waiter => waiter.priority > priority)
      const waiter = { priority, resume: () => resume() }
      if (place === -1) this.#queue.push(waiter)
      else this.#queue.splice(place, 0, waiter)
    })
  }

  #freeSlot(): void {
    const next = this.#queue.shift()
    if (next) next.resume()
    else this.#running--
  }

  async #generate(stream: EngineStream): Promise<void> {
    const { clock, tokenInterval = 20 } = this.options
    while (stream.produced < stream.words.length && !stream.cancelled) {
      stream.produced++
      wake(stream)
      if (stream.produced < stream.words.length)
        await sleep(clock, tokenInterval * this.faults.slowdown)
    }
    stream.done = true
    wake(stream)
    this.#freeSlot()
    clock.after(KEPT_STREAM, () => this.#streams.delete(stream.id))
  }

  #eventStream(stream: EngineStream, from: number, request: StandInRequest): StandInAnswer {
    return {
      status: 200,
      headers: { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' },
      body: this.#events(stream, from, request),
    }
  }

  async *#events(
    stream: EngineStream,
    from: number,
    request: StandInRequest,
  ): AsyncIterable<string> {
    const wakeOnHangUp = () => wake(stream)
    request.signal.addEventListener('abort', wakeOnHangUp)
    try {
      for (let index = from; ; index++) {
        while (stream.produced <= index && !stream.done && !request.signal.aborted)
          await changed(stream)
        if (request.signal.aborted) return
        if (index >= this.faults.cutAfter) throw new Error('cut')
        if (index >= stream.produced) break
        const first = index === 0 ? { role: 'assistant' } : {}
        yield event(
          index + 1,
          chunkOf(stream, { delta: { ...first, content: stream.words[index] } }),
        )
      }
      const usage = usageOf(stream)
      yield event(stream.produced + 1, {
        ...chunkOf(stream, { delta: {}, finish_reason: 'stop' }),
        usage,
      })
      yield 'data: [DONE]\n\n'
    } finally {
      request.signal.removeEventListener('abort', wakeOnHangUp)
    }
  }

  async #wholeAnswer(
    stream: EngineStream,
    body: CompletionBody,
    request: StandInRequest,
  ): Promise<StandInAnswer> {
    const cancel = () => {
      stream.cancelled = true
    }
    request.signal.addEventListener('abort', cancel)
    while (!stream.done) await changed(stream)
    request.signal.removeEventListener('abort', cancel)
    const logprobs = body.logprobs && {
      logprobs: {
        content: stream.words.map(token => ({ token, logprob: Math.log(stream.confidence) })),
      },
    }
    const message = { role: 'assistant', content: stream.words.join('') }
    return answerJson(200, {
      id: `chatcmpl-${stream.id}`,
      object: 'chat.completion',
      model: stream.version,
      choices: [{ index: 0, message, finish_reason: 'stop', ...logprobs }],
      usage: usageOf(stream),
    })
  }

  #onStream(request: StandInRequest, url: URL): StandInAnswer {
    const id = decodeURIComponent(url.pathname.slice('/v1/streams/'.length))
    const stream = this.#streams.get(id)
    if (!stream) return answerJson(404, { error: { message: 'no such stream' } })
    if (request.method === 'DELETE') {
      stream.cancelled = true
      return answerJson(200, { usage: usageOf(stream) })
    }
    if (url.searchParams.get('status') === 'only') {
      return answerJson(200, { done: stream.done, usage: usageOf(stream), model: stream.version })
    }
    return this.#eventStream(stream, Number(url.searchParams.get('after') ?? 0), request)
  }

  #order(request: StandInRequest): StandInAnswer {
    const order = JSON.parse(request.body) as { fence: number; load: string; unload?: string }
    if ((this.options.checksFence ?? true) && order.fence < this.#fence) {
      return answerJson(409, { message: `the fence ${order.fence} is older than ${this.#fence}` })
    }
    this.#fence = Math.max(this.#fence, order.fence)
    if (this.versions.has(order.load) || this.loading === order.load) return answerJson(200, {})
    if (order.unload) this.versions.delete(order.unload)
    this.loading = order.load
    void (this.options.weights?.load() ?? Promise.resolve()).then(
      () => {
        if (this.loading === order.load) this.versions.add(order.load)
        this.loading = undefined
      },
      () => (this.loading = undefined),
    )
    return answerJson(202, {})
  }

  #cachedTokens(body: CompletionBody): number {
    const prompt = body.messages.map(message => message.content).join('\n')
    let chained = hashText(body.model)
    let cached = 0
    let isPrefix = true
    for (
      let start = 0;
      start + CACHE_BLOCK_CHARACTERS <= prompt.length;
      start += CACHE_BLOCK_CHARACTERS
    ) {
      chained = hashText(prompt.slice(start, start + CACHE_BLOCK_CHARACTERS), chained)
      if (isPrefix && this.#cache.has(chained)) cached += CACHE_BLOCK_CHARACTERS / 4
      else isPrefix = false
      this.#cache.delete(chained)
      this.#cache.add(chained)
    }
    for (const block of this.#cache) {
      if (this.#cache.size <= CACHE_BLOCKS) break
      this.#cache.delete(block)
    }
    return cached
  }
}

/** The words of the answer to a prompt: the same for the same prompt, so that a mixed-up answer shows. */
export function answerWords(prompt: string, count: number): string[] {
  const random = createSeededRandom(hashText(prompt))
  return Array.from({ length: count }, () => `${Math.floor(random() * 46_656).toString(36)} `)
}

function usageOf(stream: EngineStream) {
  return {
    prompt_tokens: stream.promptTokens,
    completion_tokens: stream.produced,
    total_tokens: stream.promptTokens + stream.produced,
  }
}

function chunkOf(stream: EngineStream, choice: object) {
  return {
    id: `chatcmpl-${stream.id}`,
    object: 'chat.completion.chunk',
    model: stream.version,
    choices: [{ index: 0, ...choice }],
  }
}

function event(id: number, data: object): string {
  return `id: ${id}\ndata: ${JSON.stringify(data)}\n\n`
}

function changed(stream: EngineStream): Promise<void> {
  return new Promise(resolve => stream.waiters.push(resolve))
}

function wake(stream: EngineStream): void {
  const waiters = stream.waiters
  stream.waiters = []
  for (const resolve of waiters) resolve()
}
