import type { Clock, Milliseconds } from '@yewkeel/decisions'

/** A request as its caller sent it. */
export interface RequestContent {
  /** Path, caller and all else that makes two requests with the same body different. */
  name: string
  body: Buffer
}

interface KeptAnswer extends RequestContent {
  at: Milliseconds
}

/** What came to a whole answer within this does not crash whoever runs it: longer than the longest answers take. */
const KEPT_FOR: Milliseconds = 30_000
const MOST_KEPT = 1_000
/** Bytes of bodies. Some ten seconds of a busy box. */
const MOST_BYTES = 2_000_000

/**
 * Requests of this box that came to a whole answer a moment ago. Bodies are kept and compared: that costs nothing until an upstream ends, where a digest of each
 * request would cost 0.1 ms for 20 KB, a tenth of all that a box spends on it.
 */
export class RecentAnswers {
  /** By name and length, the oldest first. */
  readonly #kept = new Map<string, KeptAnswer>()
  #bytes = 0

  constructor(private readonly clock: Clock) {}

  note({ name, body }: RequestContent): void {
    const key = keyOf(name, body)
    this.#drop(key)
    this.#kept.set(key, { name, body, at: this.clock.now() })
    this.#bytes += body.length
    while (this.#kept.size > MOST_KEPT || this.#bytes > MOST_BYTES) {
      const [oldest] = this.#kept.keys()
      this.#drop(oldest!)
    }
  }

  has({ name, body }: RequestContent): boolean {
    const kept = this.#kept.get(keyOf(name, body))
    return kept !== undefined && this.clock.now() - kept.at < KEPT_FOR && kept.body.equals(body)
  }

  #drop(key: string): void {
    const kept = this.#kept.get(key)
    if (!kept) return
    this.#bytes -= kept.body.length
    this.#kept.delete(key)
  }
}

/** Of requests that differ in their bodies alone the newest is kept. */
function keyOf(name: string, body: Buffer): string {
  return `${name} ${body.length}`
}
