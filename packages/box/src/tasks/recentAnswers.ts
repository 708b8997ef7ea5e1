import type { Clock, Milliseconds } from '@yewkeel/decisions'

/** Content of a caller's request. */
export interface RequestContent {
  /** Path, caller and whatever else tells requests with the same body apart. */
  name: string
  body: Buffer
}

interface AnsweredRequest extends RequestContent {
  at: Milliseconds
  /** Number of suspicions that this answer has cleared. */
  clearances: number
}

/** Longer than the longest answers take. */
const ANSWER_TTL: Milliseconds = 30_000
const MAX_ANSWERS = 1_000
/**
 * Suspicions of other boxes that one answer clears. A request that crashes upstreams only since it
 * was answered, such as after a change of their version, gets no new answers and is quarantined.
 */
export const MAX_CLEARANCES_PER_ANSWER = 5
/** Bytes of the bodies that are remembered: some ten seconds of a busy box. */
const MAX_BODY_BYTES = 2_000_000

/**
 * Requests of this box that were answered completely within the last 30 seconds, and so don't crash
 * their upstream. Compares bodies, because hashing each request would slow down all of them and
 * lookups happen only after a crash.
 */
export class RecentAnswers {
  /** By `keyOf`, oldest first. */
  readonly #answered = new Map<string, AnsweredRequest>()
  #bytes = 0

  constructor(private readonly clock: Clock) {}

  record({ name, body }: RequestContent): void {
    const key = keyOf(name, body)
    this.#remove(key)
    this.#answered.set(key, { name, body, at: this.clock.now(), clearances: 0 })
    this.#bytes += body.length
    while (this.#answered.size > MAX_ANSWERS || this.#bytes > MAX_BODY_BYTES) {
      const [oldest] = this.#answered.keys()
      this.#remove(oldest!)
    }
  }

  has(content: RequestContent): boolean {
    return this.#find(content) !== undefined
  }

  /** Whether the latest answer of the request may clear another suspicion. Counts it if so. */
  takeClearance(content: RequestContent): boolean {
    const answered = this.#find(content)
    if (!answered || answered.clearances >= MAX_CLEARANCES_PER_ANSWER) return false
    answered.clearances++
    return true
  }

  #find({ name, body }: RequestContent): AnsweredRequest | undefined {
    const answered = this.#answered.get(keyOf(name, body))
    if (!answered || this.clock.now() - answered.at >= ANSWER_TTL) return undefined
    return answered.body.equals(body) ? answered : undefined
  }

  #remove(key: string): void {
    const answered = this.#answered.get(key)
    if (!answered) return
    this.#bytes -= answered.body.length
    this.#answered.delete(key)
  }
}

/** Requests with equal names and body lengths share a key: only the newest is kept. */
function keyOf(name: string, body: Buffer): string {
  return `${name} ${body.length}`
}
