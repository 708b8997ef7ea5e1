import type { Clock, ListedUpstream, Milliseconds } from '@yewkeel/decisions'
import type { AnswerHead } from './exchangeWithUpstream.js'

/** One try at an upstream, for the log. */
interface TryRecord {
  upstream: string
  version: string
  model?: string
  /** When it began and ended, counted from the request's arrival. */
  from: Milliseconds
  to?: Milliseconds
  outcome?: string
  /** The model's own opinion of its answer. */
  confidence?: number
  /** When the first event came, counted from the request's arrival. */
  firstEvent?: Milliseconds
  /** The longest time between two pieces of the stream. */
  longestPause?: Milliseconds
  /** Pieces of the stream that came, and when the last of them did, counted from the request's arrival. */
  pieces?: number
  lastPiece?: Milliseconds
  /** What the upstream said of itself in its answer. */
  limit?: number
  isLeaving?: boolean
  /** In seconds. */
  retryAfter?: number
}

/** What became of the tries of one request, as its line in the log tells it. */
export class TryLog {
  readonly records: TryRecord[] = []

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

  /** What the upstream says of itself in the head of its answer. */
  says({ fields: { limit, isLeaving, retryAfter } }: AnswerHead): void {
    const record = this.records.at(-1)
    if (!record) return
    if (limit !== undefined) record.limit = limit
    if (isLeaving) record.isLeaving = isLeaving
    if (retryAfter !== undefined) record.retryAfter = retryAfter
  }

  confidence(confidence: number): void {
    const record = this.records.at(-1)
    if (record) record.confidence = confidence
  }

  /** A piece of a stream came `pause` after the one before it, or is the first. */
  piece(pause: Milliseconds | undefined): void {
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
