/** Discrete-event model of an engine: batch slots, a priority queue and an LRU prefix cache. */
import type { ManualClock, Milliseconds } from '@yewkeel/decisions'

export interface EngineJob {
  /** A lower number is served first. */
  priority: number
  /** Hashes of the prompt blocks, from the start of the prompt. */
  blocks: number[]
  promptTokens: number
  completionTokens: number
  onFirstToken(): void
  onEnd(): void
}

export interface SimulatedEngineOptions {
  slots: number
  tokenMilliseconds: Milliseconds
  prefillTokensPerMillisecond: number
  cacheBlocks: number
}

const TOKENS_PER_BLOCK = 256
/** Relative increase of prefill and token time in a full batch. */
const FULL_BATCH_SLOWDOWN_FRACTION = 0.6

export class SimulatedEngine {
  #running = 0
  #queue: EngineJob[] = []
  readonly #cache = new Set<number>()
  /** Completion tokens generated so far. */
  tokens = 0

  constructor(
    private readonly clock: ManualClock,
    readonly options: SimulatedEngineOptions,
  ) {}

  get load(): { running: number; waiting: number } {
    return { running: this.#running, waiting: this.#queue.length }
  }

  submit(job: EngineJob): void {
    if (this.#running < this.options.slots) {
      this.#start(job)
      return
    }
    const index = this.#queue.findIndex(waiting => waiting.priority > job.priority)
    if (index === -1) this.#queue.push(job)
    else this.#queue.splice(index, 0, job)
  }

  #start(job: EngineJob): void {
    this.#running++
    const { tokenMilliseconds, prefillTokensPerMillisecond, slots } = this.options
    const uncachedTokens = Math.max(16, job.promptTokens - this.#touchCache(job.blocks))
    const slowdown = 1 + (FULL_BATCH_SLOWDOWN_FRACTION * this.#running) / slots
    const prefill = (uncachedTokens / prefillTokensPerMillisecond) * slowdown
    this.clock.after(prefill, () => {
      job.onFirstToken()
      this.clock.after(job.completionTokens * tokenMilliseconds * slowdown, () => this.#end(job))
    })
  }

  #end(job: EngineJob): void {
    this.#running--
    this.tokens += job.completionTokens
    job.onEnd()
    const next = this.#queue.shift()
    if (next) this.#start(next)
  }

  /** Returns the tokens of the cached prefix; caches all blocks and evicts the least recently used. */
  #touchCache(blocks: readonly number[]): number {
    let cachedTokens = 0
    let isPrefix = true
    for (const block of blocks) {
      if (isPrefix && this.#cache.has(block)) cachedTokens += TOKENS_PER_BLOCK
      else isPrefix = false
      this.#cache.delete(block)
      this.#cache.add(block)
    }
    for (const block of this.#cache) {
      if (this.#cache.size <= this.options.cacheBlocks) break
      this.#cache.delete(block)
    }
    return cachedTokens
  }
}
