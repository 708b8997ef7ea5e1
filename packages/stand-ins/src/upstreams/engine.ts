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
  jsonResponse,
  type StandInResponse,
  type StandInHandler,
  type StandInRequest,
} from '../types/handler.js'
import type { RatingService } from '../platform/ratingService.js'
import type { WeightStore } from '../platform/weightStore.js'

/** Probability that a version (`model@version`) gives a good answer to a kind of request. */
export type QualityOf = (version: string, kind: string) => number

export interface EngineOptions {
  id: string
  clock: Clock
  random: Random
  /** Versions loaded at the start, as `model@version`. */
  versions: string[]
  /** Maximum concurrent requests. @default 8 */
  slots?: number
  /** Decode time per token. @default 20 */
  tokenInterval?: Milliseconds
  /** Time to first token, without queueing and prefill. @default 40 */
  firstToken?: Milliseconds
  /** Prefill throughput. @default 20 */
  prefillTokensPerMillisecond?: number
  /** Tokens of an answer, unless `max_tokens` of the request is lower. @default 24 */
  answerTokens?: number
  /** Defaults to good answers only. */
  qualityOf?: QualityOf
  ratings?: RatingService
  weights?: WeightStore
  /** Whether load orders with an outdated fencing token are rejected. @default true */
  checksFence?: boolean
  /** Number of versions that fit in memory; reported, not enforced. @default 2 */
  room?: number
}

interface EngineStream {
  id: string
  version: string
  tokens: string[]
  produced: number
  promptTokens: number
  confidence: number
  cancelled: boolean
  done: boolean
  /** Callbacks for the next change of this stream. */
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
const MAX_CACHE_BLOCKS = 512
/** Time for which a finished stream can be resumed. */
const STREAM_TTL: Milliseconds = 60_000

/** Simulated model server with slots, a priority queue, a prefix cache and resumable streams. */
export class Engine {
  readonly faults = {
    ...createFaults(),
    /** Serves requests with another version than the requested one, and reports that version. */
    lies: false,
    /** Tokens after which each stream is cut off. */
    cutAfter: Infinity,
    /** Factor on the time to first token and the time between tokens. */
    slowdown: 1,
  }
  readonly versions: Set<string>
  /** Number of executions by request id. */
  readonly runs = new Map<string, number>()
  /** Whether the engine reports that it drains. */
  isDraining = false
  /** Version being loaded. */
  loading: string | undefined
  /** Highest fencing token of the load orders so far. */
  #fence = 0
  #running = 0
  /** Waiting requests, lowest priority number first. */
  #queue: { priority: number; resume: () => void }[] = []
  #streams = new Map<string, EngineStream>()
  /** Chained hashes of prompt blocks, least recently used first. */
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

  async #route(request: StandInRequest): Promise<StandInResponse> {
    const url = new URL(request.path, 'http://engine')
    if (request.method === 'POST' && url.pathname === '/v1/chat/completions')
      return this.#complete(request)
    if (url.pathname.startsWith('/v1/streams/')) return this.#handleStream(request, url)
    if (url.pathname === '/v1/models') {
      return jsonResponse(200, {
        object: 'list',
        data: [...this.versions].map(id => ({ id, object: 'model' })),
      })
    }
    if (url.pathname === '/load') return jsonResponse(200, this.#loadReport())
    if (request.method === 'POST' && url.pathname === '/orders')
      return this.#handleLoadOrder(request)
    return jsonResponse(404, { error: { message: 'unknown path' } })
  }

  #loadReport() {
    return {
      ...this.load,
      slots: this.slots,
      leaving: this.isDraining,
      versions: [...this.versions],
      room: this.options.room ?? 2,
      ...(this.loading && { loading: this.loading }),
    }
  }

  async #complete(request: StandInRequest): Promise<StandInResponse> {
    const body = JSON.parse(request.body) as CompletionBody
    if (!this.versions.has(body.model)) {
      return jsonResponse(404, {
        error: { message: `the model ${body.model} is not loaded`, type: 'not_found' },
      })
    }
    const stream = this.#startStream(request, body)
    await this.#waitForFirstToken(stream, body)
    void this.#generate(stream)
    if (body.stream) return this.#eventStream(stream, 0, request)
    return this.#wholeResponse(stream, body, request)
  }

  #startStream(request: StandInRequest, body: CompletionBody): EngineStream {
    const id = request.headers['x-request-id'] ?? `stream-${this.#streams.size}`
    const prompt = body.messages.map(message => message.content).join('\n')
    const kind = body.metadata?.kind ?? 'other'
    const good = this.options.random() < (this.options.qualityOf?.(body.model, kind) ?? 1)
    const confidence = good ? 0.6 + 0.4 * this.options.random() : 0.2 + 0.55 * this.options.random()
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1)
    this.options.ratings?.record(id, good)
    const tokenCount = Math.min(body.max_tokens ?? Infinity, this.options.answerTokens ?? 24)
    const stream: EngineStream = {
      id,
      version: this.faults.lies ? `${body.model.split('@')[0]}@other` : body.model,
      tokens: expectedTokens(prompt, tokenCount),
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
    await this.#acquireSlot(body.priority ?? 0)
    const cached = this.#cachedTokens(body)
    const { prefillTokensPerMillisecond = 20, firstToken = 40 } = this.options
    const prefill = Math.max(0, stream.promptTokens - cached) / prefillTokensPerMillisecond
    await sleep(this.options.clock, (firstToken + prefill) * this.faults.slowdown)
  }

  #acquireSlot(priority: number): Promise<void> {
    if (this.#running < this.slots) {
      this.#running++
      return Promise.resolve()
    }
    return new Promise(resume => {
      const position = this.#queue.findIndex(waiter => waiter.priority > priority)
      const waiter = { priority, resume: () => resume() }
      if (position === -1) this.#queue.push(waiter)
      else this.#queue.splice(position, 0, waiter)
    })
  }

  #releaseSlot(): void {
    const next = this.#queue.shift()
    if (next) next.resume()
    else this.#running--
  }

  async #generate(stream: EngineStream): Promise<void> {
    const { clock, tokenInterval = 20 } = this.options
    while (stream.produced < stream.tokens.length && !stream.cancelled) {
      stream.produced++
      notify(stream)
      if (stream.produced < stream.tokens.length)
        await sleep(clock, tokenInterval * this.faults.slowdown)
    }
    stream.done = true
    notify(stream)
    this.#releaseSlot()
    clock.after(STREAM_TTL, () => this.#streams.delete(stream.id))
  }

  #eventStream(stream: EngineStream, from: number, request: StandInRequest): StandInResponse {
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
    const onDisconnect = () => notify(stream)
    request.signal.addEventListener('abort', onDisconnect)
    try {
      for (let index = from; ; index++) {
        while (stream.produced <= index && !stream.done && !request.signal.aborted)
          await nextChange(stream)
        if (request.signal.aborted) return
        if (index >= this.faults.cutAfter)
          throw new Error('the stream was cut off by the cutAfter fault')
        if (index >= stream.produced) break
        const first = index === 0 ? { role: 'assistant' } : {}
        yield event(
          index + 1,
          chunkOf(stream, { delta: { ...first, content: stream.tokens[index] } }),
        )
      }
      const usage = usageOf(stream)
      yield event(stream.produced + 1, {
        ...chunkOf(stream, { delta: {}, finish_reason: 'stop' }),
        usage,
      })
      yield 'data: [DONE]\n\n'
    } finally {
      request.signal.removeEventListener('abort', onDisconnect)
    }
  }

  async #wholeResponse(
    stream: EngineStream,
    body: CompletionBody,
    request: StandInRequest,
  ): Promise<StandInResponse> {
    const cancel = () => {
      stream.cancelled = true
    }
    request.signal.addEventListener('abort', cancel)
    while (!stream.done) await nextChange(stream)
    request.signal.removeEventListener('abort', cancel)
    const logprobs = body.logprobs && {
      logprobs: {
        content: stream.tokens.map(token => ({ token, logprob: Math.log(stream.confidence) })),
      },
    }
    const message = { role: 'assistant', content: stream.tokens.join('') }
    return jsonResponse(200, {
      id: `chatcmpl-${stream.id}`,
      object: 'chat.completion',
      model: stream.version,
      choices: [{ index: 0, message, finish_reason: 'stop', ...logprobs }],
      usage: usageOf(stream),
    })
  }

  #handleStream(request: StandInRequest, url: URL): StandInResponse {
    const id = decodeURIComponent(url.pathname.slice('/v1/streams/'.length))
    const stream = this.#streams.get(id)
    if (!stream) return jsonResponse(404, { error: { message: 'no such stream' } })
    if (request.method === 'DELETE') {
      stream.cancelled = true
      return jsonResponse(200, { usage: usageOf(stream) })
    }
    if (url.searchParams.get('status') === 'only') {
      return jsonResponse(200, { done: stream.done, usage: usageOf(stream), model: stream.version })
    }
    return this.#eventStream(stream, Number(url.searchParams.get('after') ?? 0), request)
  }

  /** Starts loading a version. Rejects an order whose fencing token is outdated. */
  #handleLoadOrder(request: StandInRequest): StandInResponse {
    const order = JSON.parse(request.body) as { fence: number; load: string; unload?: string }
    if ((this.options.checksFence ?? true) && order.fence < this.#fence) {
      return jsonResponse(409, { message: `the fence ${order.fence} is older than ${this.#fence}` })
    }
    this.#fence = Math.max(this.#fence, order.fence)
    if (this.versions.has(order.load) || this.loading === order.load) return jsonResponse(200, {})
    if (order.unload) this.versions.delete(order.unload)
    this.loading = order.load
    void (this.options.weights?.load() ?? Promise.resolve()).then(
      () => {
        if (this.loading === order.load) this.versions.add(order.load)
        this.loading = undefined
      },
      () => (this.loading = undefined),
    )
    return jsonResponse(202, {})
  }

  /** Returns the prompt tokens found in the prefix cache, and caches the blocks of the prompt. */
  #cachedTokens(body: CompletionBody): number {
    const prompt = body.messages.map(message => message.content).join('\n')
    let hash = hashText(body.model)
    let cached = 0
    let isPrefix = true
    for (
      let start = 0;
      start + CACHE_BLOCK_CHARACTERS <= prompt.length;
      start += CACHE_BLOCK_CHARACTERS
    ) {
      hash = hashText(prompt.slice(start, start + CACHE_BLOCK_CHARACTERS), hash)
      if (isPrefix && this.#cache.has(hash)) cached += CACHE_BLOCK_CHARACTERS / 4
      else isPrefix = false
      this.#cache.delete(hash)
      this.#cache.add(hash)
    }
    for (const block of this.#cache) {
      if (this.#cache.size <= MAX_CACHE_BLOCKS) break
      this.#cache.delete(block)
    }
    return cached
  }
}

/** Returns the tokens of the answer to a prompt, deterministic so that callers can check them. */
export function expectedTokens(prompt: string, tokenCount: number): string[] {
  const random = createSeededRandom(hashText(prompt))
  return Array.from({ length: tokenCount }, () => `${Math.floor(random() * 46_656).toString(36)} `)
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

function nextChange(stream: EngineStream): Promise<void> {
  return new Promise(resolve => stream.waiters.push(resolve))
}

function notify(stream: EngineStream): void {
  const waiters = stream.waiters
  stream.waiters = []
  for (const resolve of waiters) resolve()
}
