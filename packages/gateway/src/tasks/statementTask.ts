import type { Clock, Milliseconds } from '@yewkeel/decisions'
import type { AnswerHead } from '../requests/exchangeWithUpstream.js'
import type { AnswerFields, EventLog, GatewayMetrics } from '../types/ports.js'
import type { Upstream } from './upstreamDirectory.js'

export interface StatementTaskOptions {
  clock: Clock
  log: EventLog
  metrics: GatewayMetrics
}

/** What was last heard from one upstream, for the log. */
interface Heard {
  limit: number | undefined
  limitSince: Milliseconds
  isLeaving: boolean
  /** Requests that this box has sent there since the last line about it. */
  sent: number
  /** One line for each upstream tells what nobody can read. */
  hasUnreadable: boolean
}

/** Statuses by which an upstream turns a request away, and may ask for rest. */
const TURNS_AWAY = new Set([429, 503])
const SECOND: Milliseconds = 1_000

/** Follows what upstreams say of themselves in their answers: a line for each change, with what was sent there since the last. */
export class StatementTask {
  readonly #heard = new WeakMap<Upstream, Heard>()

  constructor(private readonly options: StatementTaskOptions) {}

  /** A request is about to be sent there. */
  noteSent(upstream: Upstream): void {
    this.#of(upstream).sent++
  }

  /** An upstream answered. */
  take(upstream: Upstream, { status, fields }: AnswerHead): void {
    const heard = this.#of(upstream)
    if (fields.unreadable) this.#noteUnreadable(upstream, heard, fields.unreadable)
    if (fields.limit !== heard.limit) this.#noteLimit(upstream, heard, fields)
    if (fields.isLeaving && !heard.isLeaving) {
      heard.isLeaving = true
      this.#note('leaving', upstream, heard, { state: upstream.listed.state })
    }
    if (TURNS_AWAY.has(status) && fields.retryAfter !== undefined)
      this.#note('rest', upstream, heard, { status, span: fields.retryAfter * SECOND })
  }

  #of(upstream: Upstream): Heard {
    const known = this.#heard.get(upstream)
    if (known) return known
    const heard: Heard = {
      limit: undefined,
      limitSince: 0,
      isLeaving: false,
      sent: 0,
      hasUnreadable: false,
    }
    this.#heard.set(upstream, heard)
    return heard
  }

  #noteLimit(upstream: Upstream, heard: Heard, { limit }: AnswerFields): void {
    const now = this.options.clock.now()
    const before = heard.limit
    const age = before === undefined ? undefined : Math.round(now - heard.limitSince)
    this.#note('limit', upstream, heard, { limit, before, age })
    heard.limit = limit
    heard.limitSince = now
  }

  #noteUnreadable(upstream: Upstream, heard: Heard, unreadable: readonly string[]): void {
    if (heard.hasUnreadable) return
    heard.hasUnreadable = true
    this.#note('unreadable', upstream, heard, { unreadable })
  }

  #note(kind: string, upstream: Upstream, heard: Heard, fields: object): void {
    const { log, metrics } = this.options
    const { id, service, address } = upstream.listed
    metrics.count('statements', kind)
    const { sent } = heard
    heard.sent = 0
    log.note(`upstream-${kind}`, { upstream: id, service, address, ...fields, sent })
  }
}
