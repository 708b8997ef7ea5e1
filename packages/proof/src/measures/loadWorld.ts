/** Small engines for load measurements: slots, a queue by priority, a prefix cache; callbacks on a moved clock. */
import type { ManualClock, Milliseconds } from '@yewkeel/decisions'

export interface LoadJob {
  priority: number
  /** Prompt blocks, for the prefix cache. */
  blocks: number[]
  promptTokens: number
  completionTokens: number
  onFirstToken(): void
  onEnd(): void
}

export interface LoadEngineOptions {
  slots: number
  tokenMilliseconds: Milliseconds
  prefillTokensPerMillisecond: number
  cacheBlocks: number
}

const TOKENS_PER_BLOCK = 256
/** A full batch makes each token take this much longer. */
const BATCH_SLOWDOWN = 0.6

export class LoadEngine {
  #running = 0
  #queue: LoadJob[] = []
  readonly #cache = new Set<number>()
  /** Tokens made, for the capacity that was used. */
  tokens = 0

  constructor(
    private readonly clock: ManualClock,
    readonly options: LoadEngineOptions,
  ) {}

  get load(): { running: number; waiting: number } {
    return { running: this.#running, waiting: this.#queue.length }
  }

  submit(job: LoadJob): void {
    if (this.#running < this.options.slots) {
      this.#start(job)
      return
    }
    const place = this.#queue.findIndex(waiting => waiting.priority > job.priority)
    if (place === -1) this.#queue.push(job)
    else this.#queue.splice(place, 0, job)
  }

  #start(job: LoadJob): void {
    this.#running++
    const { tokenMilliseconds, prefillTokensPerMillisecond, slots } = this.options
    const uncached = Math.max(16, job.promptTokens - this.#useCache(job.blocks))
    const slowdown = 1 + (BATCH_SLOWDOWN * this.#running) / slots
    const prefill = (uncached / prefillTokensPerMillisecond) * slowdown
    this.clock.after(prefill, () => {
      job.onFirstToken()
      this.clock.after(job.completionTokens * tokenMilliseconds * slowdown, () => this.#end(job))
    })
  }

  #end(job: LoadJob): void {
    this.#running--
    this.tokens += job.completionTokens
    job.onEnd()
    const next = this.#queue.shift()
    if (next) this.#start(next)
  }

  #useCache(blocks: readonly number[]): number {
    let cached = 0
    let isPrefix = true
    for (const block of blocks) {
      if (isPrefix && this.#cache.has(block)) cached += TOKENS_PER_BLOCK
      else isPrefix = false
      this.#cache.delete(block)
      this.#cache.add(block)
    }
    for (const block of this.#cache) {
      if (this.#cache.size <= this.options.cacheBlocks) break
      this.#cache.delete(block)
    }
    return cached
  }
}
