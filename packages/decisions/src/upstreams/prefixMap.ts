import { hash } from 'node:crypto'

/** Prompt characters per block; about `TOKENS_PER_BLOCK` tokens. */
const BLOCK_CHARACTERS = 1_024
const MAX_BLOCKS = 32
const TOKENS_PER_BLOCK = 256
const MAX_HOLDERS = 4

/**
 * Bounded map from prompt prefix blocks to the upstreams that likely have them cached. Fed by this
 * box's own requests and by cache events, which may be late or lost: a wrong entry only costs a
 * prefill.
 */
export class PrefixMap {
  readonly #holders = new Map<number, string[]>()
  readonly #capacity: number

  constructor(capacity = 20_000) {
    this.#capacity = capacity
  }

  get size(): number {
    return this.#holders.size
  }

  /** Records that an upstream has the blocks cached, and marks them as recently used. */
  record(blocks: readonly number[], upstream: string): void {
    for (const block of blocks) {
      const others = (this.#holders.get(block) ?? []).filter(holder => holder !== upstream)
      this.#holders.delete(block)
      this.#holders.set(block, [upstream, ...others].slice(0, MAX_HOLDERS))
    }
    this.#evict()
  }

  /** Records that an upstream evicted a block. */
  forget(block: number, upstream: string): void {
    const holders = this.#holders.get(block)
    if (holders)
      this.#holders.set(
        block,
        holders.filter(holder => holder !== upstream),
      )
  }

  /** Cached prompt tokens by upstream: its longest run of blocks from the start of the prompt. */
  match(blocks: readonly number[]): Map<string, number> {
    const tokens = new Map<string, number>()
    for (const [index, block] of blocks.entries()) {
      const holders = this.#holders.get(block)
      if (!holders) break
      for (const holder of holders) {
        if ((tokens.get(holder) ?? 0) === index * TOKENS_PER_BLOCK) {
          tokens.set(holder, (index + 1) * TOKENS_PER_BLOCK)
        }
      }
    }
    return tokens
  }

  #evict(): void {
    for (const block of this.#holders.keys()) {
      if (this.#holders.size <= this.#capacity) return
      this.#holders.delete(block)
    }
  }
}

/** Chained hashes of a prompt's full blocks within a scope: equal hashes mean equal prefixes. */
export function prefixBlocks(scope: string, prompt: string): number[] {
  const blocks: number[] = []
  let chained = hashBlock(scope, 0)
  const count = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_CHARACTERS))
  for (let index = 0; index < count; index++) {
    const start = index * BLOCK_CHARACTERS
    chained = hashBlock(prompt.slice(start, start + BLOCK_CHARACTERS), chained)
    blocks.push(chained)
  }
  return blocks
}

/** 48-bit hash; a collision only costs a prefill. */
function hashBlock(text: string, previous: number): number {
  return Number.parseInt(hash('md5', `${previous}/${text}`).slice(0, 12), 16)
}
