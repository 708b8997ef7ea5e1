import type { Milliseconds } from '../types/clock.js'

/** The rate limit that an upstream advertises, as the boxes gossip it. */
export interface SharedLimit {
  /** Requests a second over all boxes; undefined where the latest answer advertised none. */
  perSecond?: number
  /** Increases with each answer that is gossiped; on all boxes the higher version is the newer. */
  version: number
  /** Number of the group of senders; the next group takes over when this one is idle. */
  turn: number
}

/** A box's state of the limit that one run of an upstream advertises. */
export interface AdvertisedLimit extends SharedLimit {
  /** When this box last gossiped its own answer or accepted one from gossip. */
  receivedAt: Milliseconds
  /** The latest answer to this box; `Infinity` where it advertised no limit. */
  own: { perSecond: number; at: Milliseconds }
}

/**
 * An unchanged limit is gossiped again after this time; later where many upstreams advertise a
 * limit ...
 */
const MIN_GOSSIP_INTERVAL: Milliseconds = 2_000
/** ... so that a box repeats at most this many a second ... */
const MAX_GOSSIP_PER_SECOND = 10
/** ... but well before the limit expires. */
const MAX_GOSSIP_INTERVAL: Milliseconds = 20_000
/**
 * A limit in an answer to this box holds for this time against a looser one from gossip, which may
 * be older.
 */
const OWN_ANSWER_PRECEDENCE: Milliseconds = 1_000
/** A limit expires when no answer has confirmed it for this time. */
const LIMIT_LIFETIME: Milliseconds = 60_000
/** An idle group of senders is replaced after this many gossip intervals ... */
const TURN_GOSSIP_INTERVALS = 2
/** ... and at least the time of this many requests at the limit. */
const TURN_REQUESTS = 2.5
const SECOND: Milliseconds = 1_000

export function createAdvertisedLimit(now: Milliseconds): AdvertisedLimit {
  return { version: 0, turn: 0, receivedAt: now, own: { perSecond: Infinity, at: -Infinity } }
}

/**
 * Interval at which an unchanged limit is gossiped again. `limitedCount`: number of upstreams with
 * a limit.
 */
export function gossipInterval(limitedCount: number): Milliseconds {
  const spread = (limitedCount * SECOND) / MAX_GOSSIP_PER_SECOND
  return Math.min(MAX_GOSSIP_INTERVAL, Math.max(MIN_GOSSIP_INTERVAL, spread))
}

/**
 * Records the limit in an answer to this box, or that it has none. Returns true when it is to be
 * gossiped.
 */
export function recordAdvertisedLimit(
  state: AdvertisedLimit,
  perSecond: number | undefined,
  limitedCount: number,
  now: Milliseconds,
): boolean {
  const isSame = state.perSecond === perSecond
  state.own = { perSecond: perSecond ?? Infinity, at: now }
  const isDue = perSecond !== undefined && now - state.receivedAt >= gossipInterval(limitedCount)
  if (isSame && !isDue) return false
  const turn = senderGroupAt(state, limitedCount, now)
  setLimit(state, {
    ...(perSecond !== undefined && { perSecond }),
    version: state.version + 1,
    turn,
  })
  state.receivedAt = now
  return true
}

/**
 * Merges a limit from gossip. Returns true when it is new and is to be forwarded. The merge is
 * order-independent, so all boxes converge.
 */
export function mergeSharedLimit(
  state: AdvertisedLimit,
  received: SharedLimit,
  now: Milliseconds,
): boolean {
  const { version, perSecond = Infinity } = received
  const isTighter = version === state.version && perSecond < (state.perSecond ?? Infinity)
  if (version < state.version || (version === state.version && !isTighter)) return false
  setLimit(state, received)
  state.receivedAt = now
  return true
}

function setLimit(state: AdvertisedLimit, { perSecond, version, turn }: SharedLimit): void {
  if (perSecond === undefined) delete state.perSecond
  else state.perSecond = perSecond
  state.version = version
  state.turn = turn
}

/** The current limit in requests a second; undefined where there is none. */
export function currentLimit(state: AdvertisedLimit, now: Milliseconds): number | undefined {
  const { perSecond = Infinity, receivedAt, own } = state
  const shared = now - receivedAt < LIMIT_LIFETIME ? perSecond : Infinity
  const ownLimit = now - own.at < OWN_ANSWER_PRECEDENCE ? own.perSecond : Infinity
  const lowest = Math.min(shared, ownLimit)
  return lowest === Infinity ? undefined : lowest
}

/** Number of the current group of senders. `limitedCount`: number of upstreams with a limit. */
export function senderGroupAt(
  state: AdvertisedLimit,
  limitedCount: number,
  now: Milliseconds,
): number {
  if (state.perSecond === undefined) return 0
  const forRequests = (TURN_REQUESTS * SECOND) / state.perSecond
  const span = Math.min(
    LIMIT_LIFETIME,
    Math.max(TURN_GOSSIP_INTERVALS * gossipInterval(limitedCount), forRequests),
  )
  return state.turn + Math.max(0, Math.floor((now - state.receivedAt) / span))
}
