import { ByteQueue } from '@yewkeel/box'
import type { KeptAccount } from '../tasks/keptBytes.js'

/** The body of an answer while it is gathered, so that the request can still be retried. */
export class GatheredBody {
  readonly #bytes = new ByteQueue()

  constructor(private readonly account: KeptAccount) {}

  /** Keeps a chunk. Returns false if that is more than may be kept, so that no more must follow. */
  push(chunk: Buffer): boolean {
    this.#bytes.push(chunk)
    this.account.add('gathered', chunk.length)
    return this.#bytes.length <= this.account.allowance
  }

  /** Returns what was gathered, and keeps it no longer. */
  take(): Buffer {
    this.account.remove('gathered', this.#bytes.length)
    return this.#bytes.takeAll()
  }
}
