import {
  coldSenders,
  coldShareOf,
  type BoxPlace,
  type Clock,
  type ColdShare,
  type ColdStart,
  type Milliseconds,
} from '@yewkeel/decisions'
import type { GatewayLimits } from '../types/settings.js'
import type { Upstream } from './upstreamDirectory.js'

export interface ColdGuardOptions {
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
}

/** Whether this box is one of those that send to a cold upstream, as of one version of the boxes. */
interface Drawn {
  version: number
  isSender: boolean
}

/**
 * An upstream writes its entry every 1.2 s, the list is read as often, and what changed is told within half a second: with this,
 * a cold start of 3 s lasts until the entry has spoken.
 */
const ENTRY_LAG: Milliseconds = 1_000

/** Holds this box to its share of what cold upstreams bear. Warm ones are not held back. */
export class ColdGuard {
  readonly #drawn = new WeakMap<Upstream, Drawn>()

  constructor(private readonly options: ColdGuardOptions) {}

  /** Whether the upstream may be sent a request now. The caller reads the clock once for all that it compares. */
  admits(upstream: Upstream, now: Milliseconds): boolean {
    const share = this.#shareOf(upstream, now)
    if (!share) return true
    if (!this.#isSender(upstream, share)) return false
    return now - upstream.lastSentAt >= share.interval
  }

  /** Whether it may be sent one now or in a moment. */
  admitsSoon(upstream: Upstream, now: Milliseconds): boolean {
    const share = this.#shareOf(upstream, now)
    return !share || this.#isSender(upstream, share)
  }

  /** It was away, and may be cold although its newest entry does not say so. */
  suspect(upstream: Upstream): void {
    const start = this.options.startOf(upstream.listed.service)
    if (!start) return
    const until = this.options.clock.now() + start.lasts + ENTRY_LAG
    upstream.coldUntil = Math.max(upstream.coldUntil, until)
  }

  /** Undefined while it is warm. */
  #shareOf(upstream: Upstream, now: Milliseconds): ColdShare | undefined {
    if (now >= upstream.coldUntil) return undefined
    const start = this.options.startOf(upstream.listed.service)
    if (!start) return undefined
    const { times, slack } = this.options.overage()
    return coldShareOf({ perSecond: start.perSecond, most: start.perSecond * times + slack })
  }

  #isSender(upstream: Upstream, share: ColdShare): boolean {
    const { self, boxesVersion, boxes } = this.options
    const version = boxesVersion()
    const known = this.#drawn.get(upstream)
    if (known?.version === version) return known.isSender
    const senders = coldSenders(upstream.nameHash, upstream.listed.dataCentre, boxes(), share)
    const isSender = senders.some(({ box }) => box === self)
    this.#drawn.set(upstream, { version, isSender })
    return isSender
  }
}
