import { hash } from 'node:crypto'

/** Characters of a prompt that one block of the map stands for; about 256 tokens. */
const BLOCK_CHARACTERS = 1_024
const LARGEST_BLOCKS = 32
const TOKENS_PER_BLOCK = 256
const KEPT_HOLDERS = 4

/**
 * Which upstreams likely hold which prompt prefixes: from what this box sent there, and from cache events,
 * which come late and with gaps. A wrong entry costs a prefill, never an answer.
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

  /** Notes that an upstream holds the blocks from now on. */
  note(blocks: readonly number[], upstream: string): void {
    for (const block of blocks) {
      const others = (this.#holders.get(block) ?? []).filter(holder => holder !== upstream)
      this.#holders.delete(block)
      this.#holders.set(block, [upstream, ...others].slice(0, KEPT_HOLDERS))
    }
    this.#evict()
  }

  /** Notes that an upstream dropped a block. */
  forget(block: number, upstream: string): void {
    const holders = this.#holders.get(block)
    if (holders)
      this.#holders.set(
        block,
        holders.filter(holder => holder !== upstream),
      )
  }

  /** Cached prompt tokens by upstream, for the longest run of blocks from the start. */
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

/** The chained hashes of a prompt's blocks: equal hashes mean equal prompts up to there. */
export function prefixBlocks(scope: string, prompt: string): number[] {
  const blocks: number[] = []
  let chained = hashBlock(scope, 0)
  const count = Math.min(LARGEST_BLOCKS, Math.floor(prompt.length / BLOCK_CHARACTERS))
  for (let index = 0; index < count; index++) {
    const start = index * BLOCK_CHARACTERS
    chained = hashBlock(prompt.slice(start, start + BLOCK_CHARACTERS), chained)
    blocks.push(chained)
  }
  return blocks
}

/** 48 bits: a collision costs a prefill and nothing else. */
function hashBlock(text: string, before: number): number {
  return Number.parseInt(hash('md5', `${before}/${text}`).slice(0, 12), 16)
}
