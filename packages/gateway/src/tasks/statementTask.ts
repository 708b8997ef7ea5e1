import {
  createStatedLimit,
  limitNow,
  NO_REST,
  noteStatedLimit,
  restUntil,
  takeSharedLimit,
  TURNS_AWAY,
  type Clock,
  type Milliseconds,
  type SharedLimit,
  type StatedLimit,
} from '@yewkeel/decisions'
import { MISDIRECTED, type AnswerHead } from '../requests/exchangeWithUpstream.js'
import type { Statement } from '../types/gossip.js'
import type { EventLog, GatewayMetrics } from '../types/ports.js'
import type { PauseWatch } from './pauseWatch.js'
import type { Said, Upstream } from '../types/upstream.js'

export interface StatementTaskOptions {
  clock: Clock
  log: EventLog
  metrics: GatewayMetrics
  /** The listed upstream with this run, if any. */
  find(run: string): Upstream | undefined
  /** All listed upstreams. */
  all(): Iterable<Upstream>
  pauses: Pick<PauseWatch, 'hasPausedSince'>
  /** Broadcasts to the other boxes. */
  tell(entries: readonly Statement[]): void
}

/** Where a statement came from: an upstream's answer or another box. */
type StatementSource = 'answer' | 'news'

const SECOND: Milliseconds = 1_000
const LIMITED_COUNT_LIFETIME: Milliseconds = 200
/** Bound on remembered runs; at the bound those no longer listed are dropped. */
const MAX_RUNS = 5_000

/**
 * Keeps what upstreams advertise in answer headers: rate limit, leaving and back-off. State belongs
 * to a run, not to a request: it outlives the answered request and the list entry, and may arrive
 * before the entry. Limits and leaving are shared with all boxes, back-off is local.
 */
export class StatementTask {
  readonly #said = new Map<string, Said>()
  #limited = 0
  #countedAt: Milliseconds = -Infinity

  constructor(private readonly options: StatementTaskOptions) {}

  /** The state of a run, created when missing. The object is live: later changes show in it. */
  saidBy(run: string): Said {
    const known = this.#said.get(run)
    if (known) return known
    if (this.#said.size >= MAX_RUNS) this.#dropUnlisted()
    const said: Said = { isLeaving: false, restUntil: NO_REST, sent: 0, hasUnreadable: false }
    this.#said.set(run, said)
    return said
  }

  /** Records the headers of an answer to a request sent at `sentAt`. */
  take(upstream: Upstream, head: AnswerHead, sentAt: Milliseconds): void {
    const { status, fields } = head
    const { run, said } = upstream
    if (fields.unreadable) this.#recordUnreadable(run, fields.unreadable)
    if (!isFromRun(head, upstream)) return
    if (fields.limit !== undefined || said.limit) this.#recordLimit(run, head, sentAt)
    if (fields.isLeaving && this.#recordLeaving(run, 'answer'))
      this.options.tell([{ run, isLeaving: true }])
    if (!TURNS_AWAY.has(status)) this.#clearExpiredBackOff(said)
    else if (fields.retryAfter !== undefined)
      this.#startBackOff(run, said, fields.retryAfter * SECOND)
  }

  /** Merges statements from other boxes. Returns those that changed something. */
  hear(entries: readonly Statement[]): Statement[] {
    return entries.filter(({ run, limit, isLeaving }) => {
      const hasNewLeaving = isLeaving === true && this.#recordLeaving(run, 'news')
      const hasNewLimit = limit !== undefined && this.#mergeLimit(run, limit)
      return hasNewLeaving || hasNewLimit
    })
  }

  /** Number of listed upstreams that advertise a limit, cached briefly. */
  get limited(): number {
    const now = this.options.clock.now()
    if (now - this.#countedAt < LIMITED_COUNT_LIFETIME) return this.#limited
    this.#countedAt = now
    this.#limited = 0
    for (const { said } of this.options.all())
      if (said.limit?.perSecond !== undefined) this.#limited++
    return this.#limited
  }

  /** All statements of listed upstreams, for a box that connects. */
  current(): Statement[] {
    const entries: Statement[] = []
    for (const { run, said } of this.options.all()) {
      const { limit, isLeaving } = said
      if (limit) entries.push({ run, limit: toSharedLimit(limit) })
      if (isLeaving) entries.push({ run, isLeaving })
    }
    return entries
  }

  #recordLimit(run: string, { fields }: AnswerHead, sentAt: Milliseconds): void {
    const { clock, pauses, tell } = this.options
    const now = clock.now()
    const said = this.saidBy(run)
    const limit = (said.limit ??= createStatedLimit(now))
    const isLooser = (fields.limit ?? Infinity) > (limit.perSecond ?? Infinity)
    // After a pause of this process the answer may be older than the limit the other boxes know.
    if (isLooser && pauses.hasPausedSince(sentAt)) return
    // An unreadable limit is still a limit: keep the known one.
    if (fields.limit === undefined && fields.unreadable) return
    const isUpdate = noteStatedLimit(limit, fields.limit, this.limited, now)
    this.#logLimit(run, said, limit, 'answer')
    if (isUpdate) tell([{ run, limit: toSharedLimit(limit) }])
  }

  #mergeLimit(run: string, received: SharedLimit): boolean {
    const now = this.options.clock.now()
    const said = this.saidBy(run)
    const limit = (said.limit ??= createStatedLimit(now))
    if (!takeSharedLimit(limit, received, now)) return false
    this.#logLimit(run, said, limit, 'news')
    return true
  }

  /** Logs each change of the effective limit. */
  #logLimit(run: string, said: Said, limit: StatedLimit, through: StatementSource): void {
    const before = said.loggedLimit
    const perSecond = limitNow(limit, this.options.clock.now())
    if (perSecond === before) return
    if (perSecond === undefined) delete said.loggedLimit
    else said.loggedLimit = perSecond
    const { version, turn } = limit
    this.#logStatement('limit', run, { limit: perSecond, before, through, version, turn })
  }

  /**
   * Marks a run as leaving. This overrides its list entry and is final: only a new run accepts
   * requests again.
   */
  #recordLeaving(run: string, through: StatementSource): boolean {
    const said = this.saidBy(run)
    if (said.isLeaving) return false
    said.isLeaving = true
    const upstream = this.options.find(run)
    upstream?.channels.retire()
    this.#logStatement('leaving', run, { state: upstream?.listed.state, through })
    return true
  }

  /**
   * Starts a back-off of `span` for all requests of this box, not only the one that was rejected.
   */
  #startBackOff(run: string, said: Said, span: Milliseconds): void {
    const now = this.options.clock.now()
    const isBackingOff = now < said.restUntil
    said.restUntil = restUntil(said.restUntil, span, now)
    if (!isBackingOff) this.#logStatement('rest', run, { span })
  }

  /**
   * Clears an expired back-off. Until it expires, answers may belong to requests sent before it.
   */
  #clearExpiredBackOff(said: Said): void {
    if (this.options.clock.now() >= said.restUntil) said.restUntil = NO_REST
  }

  #recordUnreadable(run: string, unreadable: readonly string[]): void {
    const said = this.saidBy(run)
    if (said.hasUnreadable) return
    said.hasUnreadable = true
    this.#logStatement('unreadable', run, { unreadable })
  }

  #logStatement(kind: string, run: string, fields: object): void {
    const { log, metrics, find } = this.options
    const said = this.saidBy(run)
    const service = find(run)?.listed.service
    metrics.count('statements', kind)
    log.note(`upstream-${kind}`, { upstream: run, service, ...fields, sent: said.sent })
    said.sent = 0
  }

  #dropUnlisted(): void {
    for (const run of this.#said.keys()) if (!this.options.find(run)) this.#said.delete(run)
  }
}

/**
 * Whether the answer comes from the listed run: not from another process at its address, and not
 * from an unidentified sender.
 */
function isFromRun({ status, fields }: AnswerHead, { listed }: Upstream): boolean {
  if (fields.answeredBy !== undefined) return fields.answeredBy === listed.id
  if (status === MISDIRECTED) return false
  return fields.isSigned || (fields.isNotRun && fields.id !== undefined)
}

function toSharedLimit({ perSecond, version, turn }: StatedLimit): SharedLimit {
  return { ...(perSecond !== undefined && { perSecond }), version, turn }
}
