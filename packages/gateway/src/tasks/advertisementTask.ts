import {
  createAdvertisedLimit,
  createBrittleHold,
  currentLimit,
  NO_BACK_OFF,
  recordAdvertisedLimit,
  recordBrittleAcceptance,
  recordBrittleRejection,
  extendBackOff,
  mergeSharedLimit,
  BACK_PRESSURE_STATUSES,
  type Clock,
  type Milliseconds,
  type Random,
  type SharedLimit,
  type AdvertisedLimit,
} from '@yewkeel/decisions'
import { MISDIRECTED, type ResponseHead } from '../requests/exchangeWithUpstream.js'
import type { Advertisement } from '../types/gossip.js'
import type { EventLog, GatewayMetrics } from '../types/ports.js'
import type { PauseWatch } from './pauseWatch.js'
import type { AdvertisedState, Upstream } from '../types/upstream.js'

export interface AdvertisementTaskOptions {
  clock: Clock
  random: Random
  log: EventLog
  metrics: GatewayMetrics
  /** Number of registered boxes; 0 until their entries have been read. */
  boxCount(): number
  /** The listed upstream with this run, if any. */
  find(run: string): Upstream | undefined
  /** All listed upstreams. */
  all(): Iterable<Upstream>
  pauses: Pick<PauseWatch, 'hasPausedSince'>
  /** Broadcasts to the other boxes. */
  broadcast(entries: readonly Advertisement[]): void
}

/** Where an advertisement came from: an upstream's answer or another box. */
type AdvertisementSource = 'answer' | 'news'

const SECOND: Milliseconds = 1_000
const LIMITED_COUNT_LIFETIME: Milliseconds = 200
/** Bound on remembered runs; at the bound those no longer listed are dropped. */
const MAX_RUNS = 5_000

/**
 * Keeps what upstreams advertise in answer headers: rate limit, leaving and back-off. State belongs
 * to a run, not to a request: it outlives the answered request and the list entry, and may arrive
 * before the entry. Limits and leaving are shared with all boxes, back-off is local.
 */
export class AdvertisementTask {
  readonly #states = new Map<string, AdvertisedState>()
  #limited = 0
  #countedAt: Milliseconds = -Infinity

  constructor(private readonly options: AdvertisementTaskOptions) {}

  /** The state of a run, created when missing. The object is live: later changes show in it. */
  stateOf(run: string): AdvertisedState {
    const known = this.#states.get(run)
    if (known) return known
    if (this.#states.size >= MAX_RUNS) this.#dropUnlisted()
    const advertised: AdvertisedState = {
      isLeaving: false,
      backOffUntil: NO_BACK_OFF,
      sentSinceLog: 0,
      hasLoggedMalformed: false,
    }
    this.#states.set(run, advertised)
    return advertised
  }

  /** Records the headers of an answer to a request sent at `sentAt`. */
  recordAnswer(upstream: Upstream, head: ResponseHead, sentAt: Milliseconds): void {
    const { status, fields } = head
    const { run, advertised } = upstream
    if (fields.malformedHeaders) this.#recordMalformed(run, fields.malformedHeaders)
    if (!isFromRun(head, upstream)) return
    if (fields.limit !== undefined || advertised.limit) this.#recordLimit(run, head, sentAt)
    if (fields.isLeaving && this.#recordLeaving(run, 'answer'))
      this.options.broadcast([{ run, isLeaving: true }])
    this.#recordBrittle(upstream, head)
    if (!BACK_PRESSURE_STATUSES.has(status)) this.#clearExpiredBackOff(advertised)
    else if (fields.retryAfter !== undefined)
      this.#startBackOff(run, advertised, fields.retryAfter * SECOND)
  }

  /** Merges advertisements from other boxes. Returns those that changed something. */
  merge(entries: readonly Advertisement[]): Advertisement[] {
    return entries.filter(({ run, limit, isLeaving }) => {
      const hasNewLeaving = isLeaving === true && this.#recordLeaving(run, 'news')
      const hasNewLimit = limit !== undefined && this.#mergeLimit(run, limit)
      return hasNewLeaving || hasNewLimit
    })
  }

  /** Number of listed upstreams that advertise a limit, cached briefly. */
  get limitedCount(): number {
    const now = this.options.clock.now()
    if (now - this.#countedAt < LIMITED_COUNT_LIFETIME) return this.#limited
    this.#countedAt = now
    this.#limited = 0
    for (const { advertised } of this.options.all())
      if (advertised.limit?.perSecond !== undefined) this.#limited++
    return this.#limited
  }

  /** All advertisements of listed upstreams, for a box that connects. */
  current(): Advertisement[] {
    const entries: Advertisement[] = []
    for (const { run, advertised } of this.options.all()) {
      const { limit, isLeaving } = advertised
      if (limit) entries.push({ run, limit: toSharedLimit(limit) })
      if (isLeaving) entries.push({ run, isLeaving })
    }
    return entries
  }

  #recordLimit(run: string, { fields }: ResponseHead, sentAt: Milliseconds): void {
    const { clock, pauses, broadcast } = this.options
    const now = clock.now()
    const advertised = this.stateOf(run)
    const limit = (advertised.limit ??= createAdvertisedLimit(now))
    const isLooser = (fields.limit ?? Infinity) > (limit.perSecond ?? Infinity)
    // After a pause of this process the answer may be older than the limit the other boxes know.
    if (isLooser && pauses.hasPausedSince(sentAt)) return
    // A malformed limit is still a limit: keep the known one.
    if (fields.limit === undefined && fields.hasMalformedLimit) return
    const isUpdate = recordAdvertisedLimit(limit, fields.limit, this.limitedCount, now)
    this.#logLimit(run, advertised, limit, 'answer')
    if (isUpdate) broadcast([{ run, limit: toSharedLimit(limit) }])
  }

  #mergeLimit(run: string, received: SharedLimit): boolean {
    const now = this.options.clock.now()
    const advertised = this.stateOf(run)
    const limit = (advertised.limit ??= createAdvertisedLimit(now))
    if (!mergeSharedLimit(limit, received, now)) return false
    this.#logLimit(run, advertised, limit, 'news')
    return true
  }

  /** Logs each change of the effective limit. */
  #logLimit(
    run: string,
    advertised: AdvertisedState,
    limit: AdvertisedLimit,
    through: AdvertisementSource,
  ): void {
    const before = advertised.loggedLimit
    const perSecond = currentLimit(limit, this.options.clock.now())
    if (perSecond === before) return
    if (perSecond === undefined) delete advertised.loggedLimit
    else advertised.loggedLimit = perSecond
    const { version, turn } = limit
    this.#logAdvertisement('limit', run, { limit: perSecond, before, through, version, turn })
  }

  /**
   * Marks a run as leaving. This overrides its list entry and is final: only a new run accepts
   * requests again.
   */
  #recordLeaving(run: string, through: AdvertisementSource): boolean {
    const advertised = this.stateOf(run)
    if (advertised.isLeaving) return false
    advertised.isLeaving = true
    const upstream = this.options.find(run)
    upstream?.connectionPool.retire()
    this.#logAdvertisement('leaving', run, { state: upstream?.listed.state, through })
    return true
  }

  /**
   * Starts a back-off of `span` for all requests of this box, not only the one that was rejected.
   */
  #startBackOff(run: string, advertised: AdvertisedState, span: Milliseconds): void {
    const now = this.options.clock.now()
    const isBackingOff = now < advertised.backOffUntil
    advertised.backOffUntil = extendBackOff(advertised.backOffUntil, span, now)
    if (!isBackingOff) this.#logAdvertisement('rest', run, { span })
  }

  /** A brittle upstream says so in all its answers: one without the header bears any number. */
  #recordBrittle({ run, advertised, inFlight }: Upstream, { status, fields }: ResponseHead): void {
    const { bearableRejections: bearable } = fields
    const before = advertised.brittle?.bearable
    if (before !== bearable) this.#logAdvertisement('brittle', run, { bearable, before })
    if (bearable === undefined) return void delete advertised.brittle
    const { boxCount, clock, random } = this.options
    const now = clock.now()
    const hold = (advertised.brittle ??= createBrittleHold(bearable, inFlight, now))
    hold.bearable = bearable
    const isRejection = BACK_PRESSURE_STATUSES.has(status) && fields.isNotRun
    if (isRejection) recordBrittleRejection(hold, { boxes: boxCount(), inFlight, random }, now)
    else recordBrittleAcceptance(hold, inFlight, now)
  }

  /**
   * Clears an expired back-off. Until it expires, answers may belong to requests sent before it.
   */
  #clearExpiredBackOff(advertised: AdvertisedState): void {
    if (this.options.clock.now() >= advertised.backOffUntil) advertised.backOffUntil = NO_BACK_OFF
  }

  #recordMalformed(run: string, malformedHeaders: readonly string[]): void {
    const advertised = this.stateOf(run)
    if (advertised.hasLoggedMalformed) return
    advertised.hasLoggedMalformed = true
    this.#logAdvertisement('unreadable', run, { unreadable: malformedHeaders })
  }

  #logAdvertisement(kind: string, run: string, fields: object): void {
    const { log, metrics, find } = this.options
    const advertised = this.stateOf(run)
    const service = find(run)?.listed.service
    metrics.count('statements', kind)
    log.event(`upstream-${kind}`, {
      upstream: run,
      service,
      ...fields,
      sent: advertised.sentSinceLog,
    })
    advertised.sentSinceLog = 0
  }

  #dropUnlisted(): void {
    for (const run of this.#states.keys()) if (!this.options.find(run)) this.#states.delete(run)
  }
}

/**
 * Whether the answer comes from the listed run: not from another process at its address, and not
 * from an unidentified sender.
 */
function isFromRun({ status, fields }: ResponseHead, { listed }: Upstream): boolean {
  if (fields.answeredBy !== undefined) return fields.answeredBy === listed.id
  if (status === MISDIRECTED) return false
  return fields.isSigned || (fields.isNotRun && fields.id !== undefined)
}

function toSharedLimit({ perSecond, version, turn }: AdvertisedLimit): SharedLimit {
  return { ...(perSecond !== undefined && { perSecond }), version, turn }
}
