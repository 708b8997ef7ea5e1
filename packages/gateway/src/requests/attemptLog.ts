import type { Clock, Milliseconds, TightestWindow, UpstreamCandidate } from '@yewkeel/decisions'
import type { ResponseHead } from './exchangeWithUpstream.js'

/** One attempt at an upstream, as logged. */
interface AttemptRecord {
  upstream: string
  version: string
  /** Store version and age of the list of upstreams by which it was picked. */
  list: number
  listAge: Milliseconds
  model?: string
  /** Start and end, since the request's arrival. */
  from: Milliseconds
  to?: Milliseconds
  outcome?: string
  /** What was expected of the upstream's room, unless the request was to begin at once. */
  room?: string
  /**
   * What the retry budget held when this attempt was paid: the age of the window that was closest to
   * its budget, the retries in it with this one, and how many it allowed.
   */
  budget?: { age: Milliseconds; retries: number; allowed: number }
  /** The event that the upstream was asked to go on after. */
  after?: string
  /** The answer has neither a length nor chunks, so that its end is that of its connection. */
  isUnframed?: boolean
  /** Time of the first bytes of an answer, since the request's arrival. */
  heard?: Milliseconds
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

/** The list of upstreams that is in force as an upstream is picked. */
export interface ListInUse {
  /** Version of the store at which it was last confirmed. */
  version: number
  age: Milliseconds
}

/** Collects the attempts of one request for its log line. */
export class AttemptLog {
  readonly records: AttemptRecord[] = []

  constructor(
    private readonly clock: Clock,
    private readonly receivedAt: Milliseconds,
  ) {}

  begin(
    { listed, outlook }: UpstreamCandidate,
    list: ListInUse,
    model: string | undefined,
    paidFrom: TightestWindow | undefined,
    after: string | undefined,
  ): void {
    const { id, version } = listed
    const from = this.#sinceArrival()
    const room = outlook && outlook.kind !== 'begins' ? outlook.kind : undefined
    this.records.push({
      upstream: id,
      version,
      list: list.version,
      listAge: Math.round(list.age),
      ...(model !== undefined && { model }),
      from,
      ...(room !== undefined && { room }),
      ...(paidFrom && { budget: roundedWindow(paidFrom) }),
      ...(after !== undefined && { after }),
    })
  }

  end(outcome: string): void {
    const record = this.records.at(-1)
    if (!record) return
    record.to = this.#sinceArrival()
    record.outcome = outcome
  }

  /** Chunks of the last attempt so far. */
  get lastPieces(): number {
    return this.records.at(-1)?.pieces ?? 0
  }

  /** Records when the head of the answer came, its framing and what it tells of its upstream. */
  recordHead({ fields: { limit, isLeaving, retryAfter, isFramed } }: ResponseHead): void {
    const record = this.records.at(-1)
    if (!record) return
    record.heard = this.#sinceArrival()
    if (!isFramed) record.isUnframed = true
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

function roundedWindow({ age, retries, allowed }: TightestWindow): TightestWindow {
  return { age: Math.round(age), retries, allowed: Math.floor(allowed) }
}
