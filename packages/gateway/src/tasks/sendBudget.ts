import {
  BRITTLE_CHECK,
  coldShareOf,
  currentLimit,
  limitShareOf,
  senderGroupAt,
  nextSendAt,
  nextSendAfterBackOff,
  nextSendToBrittle,
  RECOVERY_INTERVAL,
  sendersOf,
  type BoxLocation,
  type Clock,
  type ColdStart,
  type Milliseconds,
  type RateShare,
} from '@yewkeel/decisions'
import type { GatewayLimits } from '../types/settings.js'
import type { Upstream } from '../types/upstream.js'

export interface SendBudgetOptions {
  clock: Clock
  self: string
  /** The cold-start limit of a service; undefined where its upstreams start at full capacity. */
  coldStartOf(service: string): ColdStart | undefined
  /** How far the rate of a cold upstream may exceed its cold-start limit. */
  overage(): GatewayLimits['coldOverage']
  /** Increases with each change of `boxes()`. */
  boxesVersion(): number
  /** The registered boxes, including this one; empty until their entries have been read. */
  boxes(): readonly BoxLocation[]
  /** Number of registered boxes; 0 until their entries have been read. */
  boxCount(): number
  /** Number of listed upstreams that advertise a rate limit. */
  limitedCount(): number
  /** Whether this box has received recent gossip from other boxes. */
  hasRecentGossip(): boolean
}

/** Reasons to throttle requests to an upstream. */
const BUDGET_SOURCES = ['cold', 'limit', 'rest', 'brittle'] as const
export type BudgetSource = (typeof BUDGET_SOURCES)[number]
/** Sources whose rate is shared by all boxes. */
type SharedSource = Exclude<BudgetSource, 'rest' | 'brittle'>

/** A shared rate and the index of the sender group that may use it now. */
interface SharedRate extends RateShare {
  turn: number
}

/** When and how often this box may send to an upstream. */
interface SendSchedule {
  /** When the next request may be sent; infinite where this box is not a sender. */
  at: Milliseconds
  interval: Milliseconds
  /** Estimated time until the upstream accepts a request from any box. */
  availableIn: Milliseconds
}

/** Whether this box is a sender; cached until the boxes, the rate or the sender group change. */
interface SenderSelection {
  key: string
  isSender: boolean
}

/**
 * Covers the delay until the list shows the new state of an upstream that was away: its entry is
 * written and the list read every 1.2 s, and changes reach other boxes within half a second.
 */
const ENTRY_UPDATE_DELAY: Milliseconds = 1_000
/** Rate at a limited upstream while the number of boxes that share the limit is unknown. */
const UNKNOWN_BOXES_RATE: RateShare = { senders: 1, burst: 1, interval: 10_000 }

/**
 * Limits the rate at which this box sends to each upstream. Where several limits apply, the
 * strictest counts.
 */
export class SendBudget {
  readonly #selections: Record<SharedSource, WeakMap<Upstream, SenderSelection>> = {
    cold: new WeakMap(),
    limit: new WeakMap(),
  }

  readonly #sources: Record<
    BudgetSource,
    (upstream: Upstream, now: Milliseconds) => SendSchedule | undefined
  > = {
    cold: (upstream, now) => this.#sharedSchedule('cold', upstream, this.#coldRate(upstream, now)),
    limit: (upstream, now) =>
      this.#sharedSchedule('limit', upstream, this.#limitRate(upstream, now)),
    rest: (upstream, now) => scheduleAfterBackOff(upstream, now),
    brittle: (upstream, now) => this.#brittleSchedule(upstream, now),
  }

  constructor(private readonly options: SendBudgetOptions) {}

  /**
   * Whether a request may be sent now. `now` is a parameter so that one decision uses one clock
   * reading.
   */
  admits(upstream: Upstream, now: Milliseconds): boolean {
    const schedule = this.#scheduleFor(upstream, now)
    return schedule === undefined || schedule.at <= now
  }

  /** The sources that throttle the upstream now. */
  activeSources(upstream: Upstream, now: Milliseconds): BudgetSource[] {
    return BUDGET_SOURCES.filter(source => this.#sources[source](upstream, now) !== undefined)
  }

  /** Whether any source throttles the upstream, even if a request may be sent now. */
  isThrottled(upstream: Upstream, now: Milliseconds): boolean {
    return this.#scheduleFor(upstream, now) !== undefined
  }

  /** Number of requests this box may send from `now` to `until`; infinite without a limit. */
  allowedSends(upstream: Upstream, now: Milliseconds, until: Milliseconds): number {
    const schedule = this.#scheduleFor(upstream, now)
    if (!schedule) return Infinity
    const at = Math.max(now, schedule.at)
    return at > until ? 0 : 1 + Math.floor((until - at) / schedule.interval)
  }

  /** Estimated time until the upstream accepts a request from any box; 0 without a limit. */
  availableIn(upstream: Upstream, now: Milliseconds): Milliseconds {
    return this.#scheduleFor(upstream, now)?.availableIn ?? 0
  }

  /** Treats an upstream that was away as cold, even if its newest entry does not say so. */
  suspectCold(upstream: Upstream): void {
    const start = this.options.coldStartOf(upstream.listed.service)
    if (!start) return
    const until = this.options.clock.now() + start.lasts + ENTRY_UPDATE_DELAY
    upstream.coldUntil = Math.max(upstream.coldUntil, until)
  }

  #scheduleFor(upstream: Upstream, now: Milliseconds): SendSchedule | undefined {
    let combined: SendSchedule | undefined
    for (const source of BUDGET_SOURCES) {
      const schedule = this.#sources[source](upstream, now)
      if (schedule) combined = combined ? combineSchedules(combined, schedule) : schedule
    }
    return combined
  }

  #sharedSchedule(
    source: SharedSource,
    upstream: Upstream,
    rate: SharedRate | undefined,
  ): SendSchedule | undefined {
    if (!rate) return undefined
    const { interval, senders } = rate
    const isSender = this.#isSender(source, upstream, rate)
    const at = isSender ? nextSendAt(rate, upstream.sentAt) : Infinity
    return { at, interval, availableIn: interval / senders }
  }

  /** The rate during a cold start; undefined once the upstream is warm. */
  #coldRate(upstream: Upstream, now: Milliseconds): SharedRate | undefined {
    if (now >= upstream.coldUntil) return undefined
    const start = this.options.coldStartOf(upstream.listed.service)
    if (!start) return undefined
    const { perSecond } = start
    const { times, slack } = this.options.overage()
    return { ...coldShareOf({ perSecond, most: perSecond * times + slack }), turn: 0 }
  }

  /**
   * An upstream's limit covers all boxes, which split it without coordination: each share follows
   * from the number of registered boxes, which does not change when one is partitioned or restarts.
   * A lower limit also counts requests already sent.
   */
  #limitRate({ advertised: { limit } }: Upstream, now: Milliseconds): SharedRate | undefined {
    const perSecond = limit && currentLimit(limit, now)
    if (!limit || perSecond === undefined) return undefined
    const { boxCount, hasRecentGossip, limitedCount } = this.options
    const count = boxCount()
    const share = count === 0 ? UNKNOWN_BOXES_RATE : limitShareOf(perSecond, count)
    // While partitioned, this box cannot see whether the current senders are idle: keep the known
    // turn.
    return {
      ...share,
      turn: hasRecentGossip() ? senderGroupAt(limit, limitedCount(), now) : limit.turn,
    }
  }

  /** Each box may cause an equal part of the rejections that the upstream bears. */
  #brittleSchedule(
    { advertised: { brittle }, inFlight }: Upstream,
    now: Milliseconds,
  ): SendSchedule | undefined {
    if (!brittle) return undefined
    const at = nextSendToBrittle(brittle, { boxes: this.options.boxCount(), inFlight }, now)
    if (at === undefined) return undefined
    return { at, interval: BRITTLE_CHECK, availableIn: Math.max(0, brittle.until - now) }
  }

  #isSender(source: SharedSource, upstream: Upstream, rate: SharedRate): boolean {
    const { self, boxesVersion, boxes } = this.options
    const { senders, turn } = rate
    const key = `${boxesVersion()} ${senders} ${turn}`
    const selections = this.#selections[source]
    const known = selections.get(upstream)
    if (known?.key === key) return known.isSender
    const places = boxes()
    const { nameHash, listed } = upstream
    const ranked = sendersOf({ nameHash, dataCentre: listed.dataCentre, turn }, places, rate)
    // Without known boxes no sender can be selected: a limited upstream may then be sent to, a cold
    // one waits for the boxes' entries.
    const isUnassigned = source === 'limit' && places.length === 0
    const isSender = isUnassigned || ranked.some(({ box }) => box === self)
    selections.set(upstream, { key, isSender })
    return isSender
  }
}

/** A back-off applies only to the box that was asked, so it is not shared. */
function scheduleAfterBackOff(
  { advertised, sentAt }: Upstream,
  now: Milliseconds,
): SendSchedule | undefined {
  const at = nextSendAfterBackOff(advertised.backOffUntil, sentAt.at(-1), now)
  if (at === undefined) return undefined
  return {
    at,
    interval: RECOVERY_INTERVAL,
    availableIn: Math.max(0, advertised.backOffUntil - now),
  }
}

function combineSchedules(left: SendSchedule, right: SendSchedule): SendSchedule {
  return {
    at: Math.max(left.at, right.at),
    interval: Math.max(left.interval, right.interval),
    availableIn: Math.max(left.availableIn, right.availableIn),
  }
}
