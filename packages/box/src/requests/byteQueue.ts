const DEFAULT_MIN_BLOCK_BYTES = 256
const MAX_BLOCK_BYTES = 64 * 1024
/** A new block holds at least this part of what is kept, so that what is unused of it stays small. */
const BLOCK_PART = 1 / 16

/** A block of memory and the part of it that holds bytes. */
interface Block {
  bytes: Buffer
  start: number
  end: number
}

/**
 * Bytes in the order of their arrival. Copies them into blocks, so that many small pieces cost
 * little more memory than their bytes, and none keeps the larger buffer alive that it came in.
 */
export class ByteQueue {
  readonly #blocks: Block[] = []
  #length = 0

  /** `minBlockBytes`: size of the smallest block, which is what `shift` returns at most of it. */
  constructor(private readonly minBlockBytes = DEFAULT_MIN_BLOCK_BYTES) {}

  /** Number of bytes. */
  get length(): number {
    return this.#length
  }

  /** Bytes of memory that the blocks take. */
  get allocatedBytes(): number {
    return this.#blocks.reduce((sum, { bytes }) => sum + bytes.length, 0)
  }

  /** The last byte, or undefined if there is none. */
  get lastByte(): number | undefined {
    const block = this.#blocks.at(-1)
    return block && this.#length > 0 ? block.bytes[block.end - 1] : undefined
  }

  /** Appends a copy of a piece. */
  push(piece: Uint8Array): void {
    const rest = this.#fillLastBlock(piece)
    this.#length += piece.length
    if (rest.length > 0) this.#addBlock(rest)
  }

  /** Removes and returns the first bytes: at least one if there are any, and `most` at most. */
  shift(most: number): Buffer {
    const block = this.#blocks[0]
    if (!block || this.#length === 0) return EMPTY
    const taken = block.bytes.subarray(block.start, Math.min(block.end, block.start + most))
    block.start += taken.length
    this.#length -= taken.length
    if (block.start === block.end && !this.#mayFill(block)) this.#blocks.shift()
    return taken
  }

  /** Removes and returns all bytes. */
  takeAll(): Buffer {
    const parts = this.#blocks.map(({ bytes, start, end }) => bytes.subarray(start, end))
    this.clear()
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts)
  }

  clear(): void {
    this.#blocks.length = 0
    this.#length = 0
  }

  /** A small last block is filled up after all of it was taken, so that few are made. */
  #mayFill({ bytes, end }: Block): boolean {
    return this.#length === 0 && end < bytes.length && bytes.length <= this.minBlockBytes
  }

  /** Copies what fits into the last block, and returns what does not. */
  #fillLastBlock(piece: Uint8Array): Uint8Array {
    const block = this.#blocks.at(-1)
    if (!block) return piece
    const fitting = Math.min(piece.length, block.bytes.length - block.end)
    block.bytes.set(fitting === piece.length ? piece : piece.subarray(0, fitting), block.end)
    block.end += fitting
    return fitting === piece.length ? EMPTY : piece.subarray(fitting)
  }

  #addBlock(piece: Uint8Array): void {
    const spare = Math.min(MAX_BLOCK_BYTES, Math.max(this.minBlockBytes, this.#length * BLOCK_PART))
    // Not from the shared pool of buffers, which a small one would keep alive.
    const bytes = Buffer.allocUnsafeSlow(Math.max(piece.length, Math.ceil(spare)))
    bytes.set(piece)
    this.#blocks.push({ bytes, start: 0, end: piece.length })
  }
}

const EMPTY = Buffer.alloc(0)
