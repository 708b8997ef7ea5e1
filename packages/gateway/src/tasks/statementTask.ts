import {
  createStatedLimit,
  limitNow,
  noteStatedLimit,
  takeSharedLimit,
  type Clock,
  type Milliseconds,
  type SharedLimit,
  type StatedLimit,
} from '@yewkeel/decisions'
import type { AnswerHead } from '../requests/exchangeWithUpstream.js'
import type { Statement } from '../types/gossip.js'
import type { EventLog, GatewayMetrics } from '../types/ports.js'
import type { PauseWatch } from './pauseWatch.js'
import type { Upstream } from './upstreamDirectory.js'

export interface StatementTaskOptions {
  clock: Clock
  log: EventLog
  metrics: GatewayMetrics
  /** The upstream of a run, as long as it is listed. */
  find(run: string): Upstream | undefined
  /** All upstreams that are listed. */
  all(): Iterable<Upstream>
  pauses: Pick<PauseWatch, 'hasPausedSince'>
  /** Tells the other boxes. */
  tell(entries: readonly Statement[]): void
}

/** What the log has told of one upstream. */
interface Told {
  limit?: number
  isLeaving: boolean
  /** Requests that this box has sent there since the last line about it. */
  sent: number
  /** One line for each upstream tells what nobody can read. */
  hasUnreadable: boolean
}

/** Statuses by which an upstream turns a request away, and may ask for rest. */
const TURNS_AWAY = new Set([429, 503])
const SECOND: Milliseconds = 1_000

/**
 * What upstreams say of themselves in their answers. It holds for the run that said it, beyond the request that was answered, and at all
 * boxes: kept with the request, it would be used up by whoever heard it.
 */
export class StatementTask {
  readonly #told = new WeakMap<Upstream, Told>()

  constructor(private readonly options: StatementTaskOptions) {}

  /** A request is about to be sent there. */
  noteSent(upstream: Upstream): void {
    this.#toldOf(upstream).sent++
  }

  /** An upstream answered a request that was sent at `sentAt`. */
  take(upstream: Upstream, head: AnswerHead, sentAt: Milliseconds): void {
    const { status, fields } = head
    if (fields.unreadable) this.#noteUnreadable(upstream, fields.unreadable)
    if (!isOfRun(head, upstream)) return
    if (fields.limit !== undefined || upstream.limit) this.#takeLimit(upstream, head, sentAt)
    if (fields.isLeaving && !this.#toldOf(upstream).isLeaving) {
      this.#toldOf(upstream).isLeaving = true
      this.#note('leaving', upstream, { state: upstream.listed.state })
    }
    if (TURNS_AWAY.has(status) && fields.retryAfter !== undefined)
      this.#note('rest', upstream, { status, span: fields.retryAfter * SECOND })
  }

  /** Other boxes tell what upstreams said to them. Gives what of it was news. */
  hear(entries: readonly Statement[]): Statement[] {
    return entries.filter(({ run, limit }) => {
      const upstream = this.options.find(run)
      return upstream !== undefined && this.#hearLimit(upstream, limit)
    })
  }

  /** All that holds now, for a box that links to this one. */
  current(): Statement[] {
    const entries: Statement[] = []
    for (const { run, limit } of this.options.all())
      if (limit) entries.push({ run, limit: sharedOf(limit) })
    return entries
  }

  #takeLimit(upstream: Upstream, { fields }: AnswerHead, sentAt: Milliseconds): void {
    const { clock, pauses, tell } = this.options
    const now = clock.now()
    const limit = (upstream.limit ??= createStatedLimit(now))
    const isLooser = (fields.limit ?? Infinity) > (limit.perSecond ?? Infinity)
    // An answer that lay here while the box stood still may be older than what the others know.
    if (isLooser && pauses.hasPausedSince(sentAt)) return
    // It names one, though nobody can read it.
    if (fields.limit === undefined && fields.unreadable) return
    const isNews = noteStatedLimit(limit, fields.limit, now)
    this.#noteLimit(upstream, limit, 'answer')
    if (isNews) tell([{ run: upstream.run, limit: sharedOf(limit) }])
  }

  #hearLimit(upstream: Upstream, told: SharedLimit): boolean {
    const now = this.options.clock.now()
    const limit = (upstream.limit ??= createStatedLimit(now))
    if (!takeSharedLimit(limit, told, now)) return false
    this.#noteLimit(upstream, limit, 'news')
    return true
  }

  /** A line for each change of the limit that this box goes by. */
  #noteLimit(upstream: Upstream, limit: StatedLimit, through: 'answer' | 'news'): void {
    const told = this.#toldOf(upstream)
    const before = told.limit
    const perSecond = limitNow(limit, this.options.clock.now())
    if (perSecond === before) return
    if (perSecond === undefined) delete told.limit
    else told.limit = perSecond
    const { version, turn } = limit
    this.#note('limit', upstream, { limit: perSecond, before, through, version, turn })
  }

  #noteUnreadable(upstream: Upstream, unreadable: readonly string[]): void {
    const told = this.#toldOf(upstream)
    if (told.hasUnreadable) return
    told.hasUnreadable = true
    this.#note('unreadable', upstream, { unreadable })
  }

  #toldOf(upstream: Upstream): Told {
    const known = this.#told.get(upstream)
    if (known) return known
    const told: Told = { isLeaving: false, sent: 0, hasUnreadable: false }
    this.#told.set(upstream, told)
    return told
  }

  #note(kind: string, upstream: Upstream, fields: object): void {
    const { log, metrics } = this.options
    const { id, service, address } = upstream.listed
    const told = this.#toldOf(upstream)
    metrics.count('statements', kind)
    log.note(`upstream-${kind}`, { upstream: id, service, address, ...fields, sent: told.sent })
    told.sent = 0
  }
}

/** Another process at the upstream's address speaks for itself, and bytes that no upstream made for nobody. */
function isOfRun({ fields }: AnswerHead, { listed }: Upstream): boolean {
  if (fields.answeredBy !== undefined && fields.answeredBy !== listed.id) return false
  return fields.isSigned || (fields.isNotRun && fields.id !== undefined)
}

function sharedOf({ perSecond, version, turn }: StatedLimit): SharedLimit {
  return { ...(perSecond !== undefined && { perSecond }), version, turn }
}
