import type { Clock, ListedUpstream, Milliseconds } from '@yewkeel/decisions'
import type { ResponseHead } from './exchangeWithUpstream.js'

/** One attempt at an upstream, as logged. */
interface AttemptRecord {
  upstream: string
  version: string
  model?: string
  /** Start and end, since the request's arrival. */
  from: Milliseconds
  to?: Milliseconds
  outcome?: string
  /** Reported by the model, 0 to 100. */
  confidence?: number
  /** Time of the first chunk, since the request's arrival. */
  firstEvent?: Milliseconds
  /** The longest time between two chunks. */
  longestPause?: Milliseconds
  /** Number of chunks, and the time of the last, since the request's arrival. */
  pieces?: number
  lastPiece?: Milliseconds
  /**
   * Rate limit in requests per second, from the answer's headers; `isLeaving`: the upstream drains.
   */
  limit?: number
  isLeaving?: boolean
  /** From the answer's headers, in seconds. */
  retryAfter?: number
}

/** Collects the attempts of one request for its log line. */
export class AttemptLog {
  readonly records: AttemptRecord[] = []

  constructor(
    private readonly clock: Clock,
    private readonly receivedAt: Milliseconds,
  ) {}

  begin({ id, version }: ListedUpstream, model: string | undefined): void {
    const from = this.#sinceArrival()
    this.records.push({ upstream: id, version, ...(model !== undefined && { model }), from })
  }

  end(outcome: string): void {
    const record = this.records.at(-1)
    if (!record) return
    record.to = this.#sinceArrival()
    record.outcome = outcome
  }

  /** Records rate limit, drain notice and Retry-After of the answer's headers. */
  recordHead({ fields: { limit, isLeaving, retryAfter } }: ResponseHead): void {
    const record = this.records.at(-1)
    if (!record) return
    if (limit !== undefined) record.limit = limit
    if (isLeaving) record.isLeaving = isLeaving
    if (retryAfter !== undefined) record.retryAfter = retryAfter
  }

  recordConfidence(confidence: number): void {
    const record = this.records.at(-1)
    if (record) record.confidence = confidence
  }

  /** Records a chunk, `pause` after the previous one; undefined for the first. */
  recordChunk(pause: Milliseconds | undefined): void {
    const record = this.records.at(-1)
    if (!record) return
    record.pieces = (record.pieces ?? 0) + 1
    record.lastPiece = this.#sinceArrival()
    if (pause === undefined) record.firstEvent = record.lastPiece
    else if (pause > (record.longestPause ?? 0)) record.longestPause = Math.round(pause)
  }

  #sinceArrival(): Milliseconds {
    return Math.round(this.clock.now() - this.receivedAt)
  }
}
