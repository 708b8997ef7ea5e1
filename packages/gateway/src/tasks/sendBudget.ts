import {
  coldShareOf,
  limitNow,
  limitShareOf,
  limitTurn,
  nextSendAt,
  restOpensAt,
  RETURN_EVERY,
  sendersOf,
  type BoxPlace,
  type Clock,
  type ColdStart,
  type Milliseconds,
  type RateShare,
} from '@yewkeel/decisions'
import type { GatewayLimits } from '../types/settings.js'
import type { Upstream } from '../types/upstream.js'

export interface SendBudgetOptions {
  clock: Clock
  /** This box's name. */
  self: string
  /** How upstreams of a service are after their start; undefined where they bear as much as later. */
  startOf(service: string): ColdStart | undefined
  /** What a cold upstream may get beyond what it bears. */
  overage(): GatewayLimits['coldOverage']
  /** Rises with each change of the boxes. */
  boxesVersion(): number
  /** The boxes that are entered, this one among them; none until the entries are known. */
  boxes(): readonly BoxPlace[]
  /** How many those are; 0 until the entries are known. */
  boxCount(): number
  /** How many upstreams name a limit. */
  limited(): number
  /** Whether other boxes were heard of a moment ago. */
  hearsOthers(): boolean
}

/** What may hold an upstream's requests back. */
const BUDGET_SOURCES = ['cold', 'limit', 'rest'] as const
export type BudgetSource = (typeof BUDGET_SOURCES)[number]
/** Of these all boxes together keep to a rate. */
type SharedSource = Exclude<BudgetSource, 'rest'>

/** A rate, and which boxes keep to it now. */
interface SharedRate extends RateShare {
  turn: number
}

/** When this box may next send to an upstream, and how often from then on. */
interface Opening {
  /** Infinite where only others send. */
  at: Milliseconds
  interval: Milliseconds
  /** How long it takes until the upstream takes a request from any box, as far as that is known. */
  reopensIn: Milliseconds
}

/** The boxes that send to an upstream, as of one version of the boxes. */
interface Drawn {
  key: string
  isSender: boolean
}

/**
 * An upstream writes its entry every 1.2 s, the list is read as often, and what changed is told within half a second: with this,
 * a cold start of 3 s lasts until the entry has spoken.
 */
const ENTRY_LAG: Milliseconds = 1_000
/** How often a box sends to a limited upstream while it does not know how many boxes share the limit. */
const ALONE: RateShare = { senders: 1, burst: 1, interval: 10_000 }

/**
 * How many requests this box may send to an upstream now, whatever holds them back: of several sources the least counts.
 */
export class SendBudget {
  readonly #drawn: Record<SharedSource, WeakMap<Upstream, Drawn>> = {
    cold: new WeakMap(),
    limit: new WeakMap(),
  }

  readonly #sources: Record<
    BudgetSource,
    (upstream: Upstream, now: Milliseconds) => Opening | undefined
  > = {
    cold: (upstream, now) => this.#shared('cold', upstream, this.#coldRate(upstream, now)),
    limit: (upstream, now) => this.#shared('limit', upstream, this.#limitRate(upstream, now)),
    rest: (upstream, now) => openingAfterRest(upstream, now),
  }

  constructor(private readonly options: SendBudgetOptions) {}

  /** Whether the upstream may be sent a request now. The caller reads the clock once for all that it compares. */
  admits(upstream: Upstream, now: Milliseconds): boolean {
    const opening = this.#openingOf(upstream, now)
    return opening === undefined || opening.at <= now
  }

  /** What holds requests back there now. */
  holds(upstream: Upstream, now: Milliseconds): BudgetSource[] {
    return BUDGET_SOURCES.filter(source => this.#sources[source](upstream, now) !== undefined)
  }

  /** Whether something holds requests back there, though one may be sent now. */
  isHeld(upstream: Upstream, now: Milliseconds): boolean {
    return this.#openingOf(upstream, now) !== undefined
  }

  /** How many requests this box may send there from now until a moment; infinite where nothing holds them back. */
  openings(upstream: Upstream, now: Milliseconds, until: Milliseconds): number {
    const opening = this.#openingOf(upstream, now)
    if (!opening) return Infinity
    const at = Math.max(now, opening.at)
    return at > until ? 0 : 1 + Math.floor((until - at) / opening.interval)
  }

  /** How long it takes until the upstream takes a request from any box; 0 where nothing holds them back. */
  reopensIn(upstream: Upstream, now: Milliseconds): Milliseconds {
    return this.#openingOf(upstream, now)?.reopensIn ?? 0
  }

  /** It was away, and may be cold although its newest entry does not say so. */
  suspectCold(upstream: Upstream): void {
    const start = this.options.startOf(upstream.listed.service)
    if (!start) return
    const until = this.options.clock.now() + start.lasts + ENTRY_LAG
    upstream.coldUntil = Math.max(upstream.coldUntil, until)
  }

  #openingOf(upstream: Upstream, now: Milliseconds): Opening | undefined {
    let latest: Opening | undefined
    for (const source of BUDGET_SOURCES) {
      const opening = this.#sources[source](upstream, now)
      if (opening) latest = latest ? laterOf(latest, opening) : opening
    }
    return latest
  }

  #shared(
    source: SharedSource,
    upstream: Upstream,
    rate: SharedRate | undefined,
  ): Opening | undefined {
    if (!rate) return undefined
    const { interval, senders } = rate
    const isSender = this.#isSender(source, upstream, rate)
    const at = isSender ? nextSendAt(rate, upstream.sentAt) : Infinity
    return { at, interval, reopensIn: interval / senders }
  }

  /** Undefined while it is warm. */
  #coldRate(upstream: Upstream, now: Milliseconds): SharedRate | undefined {
    if (now >= upstream.coldUntil) return undefined
    const start = this.options.startOf(upstream.listed.service)
    if (!start) return undefined
    const { perSecond } = start
    const { times, slack } = this.options.overage()
    return { ...coldShareOf({ perSecond, most: perSecond * times + slack }), turn: 0 }
  }

  /**
   * The limit is for all boxes together, and none asks the others before it sends: the part of each follows from the boxes that are
   * entered, which do not change when one is cut off or starts again. A limit that falls counts from the requests already sent.
   */
  #limitRate({ said: { limit } }: Upstream, now: Milliseconds): SharedRate | undefined {
    const perSecond = limit && limitNow(limit, now)
    if (!limit || perSecond === undefined) return undefined
    const { boxCount, hearsOthers, limited } = this.options
    const count = boxCount()
    const share = count === 0 ? ALONE : limitShareOf(perSecond, count)
    // To a box that is cut off from the others their silence says nothing.
    return { ...share, turn: hearsOthers() ? limitTurn(limit, limited(), now) : limit.turn }
  }

  #isSender(source: SharedSource, upstream: Upstream, rate: SharedRate): boolean {
    const { self, boxesVersion, boxes } = this.options
    const { senders, turn } = rate
    const key = `${boxesVersion()} ${senders} ${turn}`
    const drawn = this.#drawn[source]
    const known = drawn.get(upstream)
    if (known?.key === key) return known.isSender
    const places = boxes()
    const { nameHash, listed } = upstream
    const ranked = sendersOf({ nameHash, dataCentre: listed.dataCentre, turn }, places, rate)
    // Whoever knows no other box can't tell who sends; a cold upstream has others to wait for.
    const isAlone = source === 'limit' && places.length === 0
    const isSender = isAlone || ranked.some(({ box }) => box === self)
    drawn.set(upstream, { key, isSender })
    return isSender
  }
}

/** The upstream asked this box alone. */
function openingAfterRest({ said, sentAt }: Upstream, now: Milliseconds): Opening | undefined {
  const at = restOpensAt(said.restUntil, sentAt.at(-1), now)
  if (at === undefined) return undefined
  return { at, interval: RETURN_EVERY, reopensIn: Math.max(0, said.restUntil - now) }
}

function laterOf(left: Opening, right: Opening): Opening {
  return {
    at: Math.max(left.at, right.at),
    interval: Math.max(left.interval, right.interval),
    reopensIn: Math.max(left.reopensIn, right.reopensIn),
  }
}
