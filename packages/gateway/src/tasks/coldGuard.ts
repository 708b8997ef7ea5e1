import {
  coldSenders,
  coldShareOf,
  type BoxPlace,
  type Clock,
  type ColdLimit,
  type ColdShare,
  type Milliseconds,
} from '@yewkeel/decisions'
import type { Upstream } from './upstreamDirectory.js'

export interface ColdGuardOptions {
  clock: Clock
  /** This box's name. */
  self: string
  /** What a cold upstream of a service bears; undefined where it bears as much as a warm one. */
  limitOf(service: string): ColdLimit | undefined
  /** The boxes that are entered, this one among them; none until the entries are known. Rises with each change: `version`. */
  boxes(): { version: number; places: readonly BoxPlace[] }
}

/** Whether this box is one of those that send to a cold upstream, as of one version of the boxes. */
interface Drawn {
  version: number
  isSender: boolean
}

/** Holds this box to its share of what cold upstreams bear. Warm ones are not held back. */
export class ColdGuard {
  readonly #drawn = new WeakMap<Upstream, Drawn>()

  constructor(private readonly options: ColdGuardOptions) {}

  /** Whether the upstream may be sent a request now. */
  admits(upstream: Upstream): boolean {
    const share = this.#shareOf(upstream)
    if (!share) return true
    if (!this.#isSender(upstream, share)) return false
    return this.options.clock.now() - upstream.lastSentAt >= share.interval
  }

  /** Whether it may be sent one now or in a moment. */
  admitsSoon(upstream: Upstream): boolean {
    const share = this.#shareOf(upstream)
    return !share || this.#isSender(upstream, share)
  }

  /** Undefined while it is warm. */
  #shareOf(upstream: Upstream): ColdShare | undefined {
    if (this.options.clock.now() >= upstream.coldUntil) return undefined
    const limit = this.options.limitOf(upstream.listed.service)
    return limit && coldShareOf(limit)
  }

  #isSender(upstream: Upstream, share: ColdShare): boolean {
    const { version, places } = this.options.boxes()
    const known = this.#drawn.get(upstream)
    if (known?.version === version) return known.isSender
    const senders = coldSenders(upstream.nameHash, upstream.listed.dataCentre, places, share)
    const isSender = senders.some(({ box }) => box === this.options.self)
    this.#drawn.set(upstream, { version, isSender })
    return isSender
  }
}

/** How long an upstream may be cold that has been away, before its entry says whether it is. */
export function coldAfterReturn(startsWithin: Milliseconds): Milliseconds {
  return startsWithin + ENTRY_LAG
}

/**
 * An upstream writes its entry every 1.2 s, the list is read as often, and what changed is told within half a second: together
 * that is as long as a cold start, so that the entry mostly speaks before this is over.
 */
const ENTRY_LAG: Milliseconds = 1_000
