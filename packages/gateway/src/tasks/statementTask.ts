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
  /** The upstream of a run, as long as it is listed. */
  find(run: string): Upstream | undefined
  /** All upstreams that are listed. */
  all(): Iterable<Upstream>
  pauses: Pick<PauseWatch, 'hasPausedSince'>
  /** Tells the other boxes. */
  tell(entries: readonly Statement[]): void
}

/** How this box heard it. */
type Through = 'answer' | 'news'

const SECOND: Milliseconds = 1_000
const COUNT_EVERY: Milliseconds = 200
/** Runs of which something is remembered. Those that are listed no more are forgotten first. */
const MOST_RUNS = 5_000

/**
 * What upstreams say of themselves in their answers. It holds for the run that said it, beyond the request that was answered, and at all
 * boxes: kept with the request, it would be used up by whoever heard it. It outlasts the run's entry, too, which may go and come back, and
 * may be heard of before it.
 */
export class StatementTask {
  readonly #said = new Map<string, Said>()
  #limited = 0
  #countedAt: Milliseconds = -Infinity

  constructor(private readonly options: StatementTaskOptions) {}

  /** What a run has said, as it is from now on, too. */
  saidBy(run: string): Said {
    const known = this.#said.get(run)
    if (known) return known
    if (this.#said.size >= MOST_RUNS) this.#forgetUnlisted()
    const said: Said = { isLeaving: false, restUntil: NO_REST, sent: 0, hasUnreadable: false }
    this.#said.set(run, said)
    return said
  }

  /** An upstream answered a request that was sent at `sentAt`. */
  take(upstream: Upstream, head: AnswerHead, sentAt: Milliseconds): void {
    const { status, fields } = head
    const { run, said } = upstream
    if (fields.unreadable) this.#noteUnreadable(run, fields.unreadable)
    if (!isOfRun(head, upstream)) return
    if (fields.limit !== undefined || said.limit) this.#takeLimit(run, head, sentAt)
    if (fields.isLeaving && this.#noteLeaving(run, 'answer'))
      this.options.tell([{ run, isLeaving: true }])
    if (!TURNS_AWAY.has(status)) this.#noteTaken(said)
    else if (fields.retryAfter !== undefined) this.#noteRest(run, said, fields.retryAfter * SECOND)
  }

  /** Other boxes tell what upstreams said to them. Gives what of it was news. */
  hear(entries: readonly Statement[]): Statement[] {
    return entries.filter(({ run, limit, isLeaving }) => {
      const hasLeft = isLeaving === true && this.#noteLeaving(run, 'news')
      const hasLimit = limit !== undefined && this.#hearLimit(run, limit)
      return hasLeft || hasLimit
    })
  }

  /** How many upstreams that are listed name a limit, as of a moment ago. */
  get limited(): number {
    const now = this.options.clock.now()
    if (now - this.#countedAt < COUNT_EVERY) return this.#limited
    this.#countedAt = now
    this.#limited = 0
    for (const { said } of this.options.all())
      if (said.limit?.perSecond !== undefined) this.#limited++
    return this.#limited
  }

  /** All that upstreams that are listed have said, for a box that links to this one. */
  current(): Statement[] {
    const entries: Statement[] = []
    for (const { run, said } of this.options.all()) {
      const { limit, isLeaving } = said
      if (limit) entries.push({ run, limit: sharedOf(limit) })
      if (isLeaving) entries.push({ run, isLeaving })
    }
    return entries
  }

  #takeLimit(run: string, { fields }: AnswerHead, sentAt: Milliseconds): void {
    const { clock, pauses, tell } = this.options
    const now = clock.now()
    const said = this.saidBy(run)
    const limit = (said.limit ??= createStatedLimit(now))
    const isLooser = (fields.limit ?? Infinity) > (limit.perSecond ?? Infinity)
    // An answer that lay here while the box stood still may be older than what the others know.
    if (isLooser && pauses.hasPausedSince(sentAt)) return
    // It names one, though nobody can read it.
    if (fields.limit === undefined && fields.unreadable) return
    const isNews = noteStatedLimit(limit, fields.limit, this.limited, now)
    this.#logLimit(run, said, limit, 'answer')
    if (isNews) tell([{ run, limit: sharedOf(limit) }])
  }

  #hearLimit(run: string, told: SharedLimit): boolean {
    const now = this.options.clock.now()
    const said = this.saidBy(run)
    const limit = (said.limit ??= createStatedLimit(now))
    if (!takeSharedLimit(limit, told, now)) return false
    this.#logLimit(run, said, limit, 'news')
    return true
  }

  /** A line for each change of the limit that this box goes by. */
  #logLimit(run: string, said: Said, limit: StatedLimit, through: Through): void {
    const before = said.loggedLimit
    const perSecond = limitNow(limit, this.options.clock.now())
    if (perSecond === before) return
    if (perSecond === undefined) delete said.loggedLimit
    else said.loggedLimit = perSecond
    const { version, turn } = limit
    this.#note('limit', run, { limit: perSecond, before, through, version, turn })
  }

  /** Its own word goes before its entry, and no later one takes it back: only another run under its name takes requests again. */
  #noteLeaving(run: string, through: Through): boolean {
    const said = this.saidBy(run)
    if (said.isLeaving) return false
    said.isLeaving = true
    const upstream = this.options.find(run)
    upstream?.channels.retire()
    this.#note('leaving', run, { state: upstream?.listed.state, through })
    return true
  }

  /**
   * It wants nothing from this box for so long, whichever request comes next: kept with the one that was turned away, the rest was forgotten, and an
   * upstream without load got more than half of all requests.
   */
  #noteRest(run: string, said: Said, span: Milliseconds): void {
    const now = this.options.clock.now()
    const isResting = now < said.restUntil
    said.restUntil = restUntil(said.restUntil, span, now)
    if (!isResting) this.#note('rest', run, { span })
  }

  /** It takes requests again; what was sent before its rest may still be answered meanwhile. */
  #noteTaken(said: Said): void {
    if (this.options.clock.now() >= said.restUntil) said.restUntil = NO_REST
  }

  #noteUnreadable(run: string, unreadable: readonly string[]): void {
    const said = this.saidBy(run)
    if (said.hasUnreadable) return
    said.hasUnreadable = true
    this.#note('unreadable', run, { unreadable })
  }

  #note(kind: string, run: string, fields: object): void {
    const { log, metrics, find } = this.options
    const said = this.saidBy(run)
    const service = find(run)?.listed.service
    metrics.count('statements', kind)
    log.note(`upstream-${kind}`, { upstream: run, service, ...fields, sent: said.sent })
    said.sent = 0
  }

  #forgetUnlisted(): void {
    for (const run of this.#said.keys()) if (!this.options.find(run)) this.#said.delete(run)
  }
}

/** Another process at the upstream's address speaks for itself, and bytes that no upstream made for nobody. */
function isOfRun({ status, fields }: AnswerHead, { listed }: Upstream): boolean {
  if (fields.answeredBy !== undefined) return fields.answeredBy === listed.id
  if (status === MISDIRECTED) return false
  return fields.isSigned || (fields.isNotRun && fields.id !== undefined)
}

function sharedOf({ perSecond, version, turn }: StatedLimit): SharedLimit {
  return { ...(perSecond !== undefined && { perSecond }), version, turn }
}
