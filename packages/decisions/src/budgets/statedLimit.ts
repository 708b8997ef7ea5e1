import type { Milliseconds } from '../types/clock.js'

/** What all boxes know together of the limit that an upstream names. */
export interface SharedLimit {
  /** Requests a second of all boxes together; undefined where the newest answer names none. */
  perSecond?: number
  /** Rises with each answer that is told of: the higher is the newer, at whatever box it came. */
  version: number
  /** The group of boxes that sends; the next follows when nothing was heard for a while. */
  turn: number
}

/** What a box knows of the limit that one run of an upstream names. */
export interface StatedLimit extends SharedLimit {
  /** When this box last heard of an answer, of its own or another's. */
  heardAt: Milliseconds
  /** The newest answer to this box itself. */
  own: { perSecond: number; at: Milliseconds }
}

/** Others hear again of a limit that stands: after this, and where many upstreams name one, so many a second at the most ... */
const TELL_AGAIN_AFTER: Milliseconds = 2_000
const TOLD_PER_SECOND = 10
/** ... but in time for it not to lapse. */
const LONGEST_UNTOLD: Milliseconds = 20_000
/**
 * News of others that are looser than what the upstream has just said to this box are older than it. Later they may not be: messages between
 * boxes that are held up for so long are dropped with their link.
 */
const OWN_COUNTS_FOR: Milliseconds = 1_000
/** A limit of which nothing is heard for so long holds no more: nobody has asked, or the upstream answers nobody. */
const LAPSES_AFTER: Milliseconds = 60_000
/** A group of senders that has no callers gives way to the next when it could have been heard twice ... */
const TURN_TELLINGS = 2
/** ... and has had time for so many requests. */
const TURN_REQUESTS = 2.5
const SECOND: Milliseconds = 1_000

export function createStatedLimit(now: Milliseconds): StatedLimit {
  return { version: 0, turn: 0, heardAt: now, own: { perSecond: Infinity, at: -Infinity } }
}

/** After how long others hear again of a limit that stands, where so many upstreams name one. */
export function tellAgainAfter(limited: number): Milliseconds {
  const spread = (limited * SECOND) / TOLD_PER_SECOND
  return Math.min(LONGEST_UNTOLD, Math.max(TELL_AGAIN_AFTER, spread))
}

/** An answer to this box names a limit, or none. True if the other boxes are to hear of it. */
export function noteStatedLimit(
  state: StatedLimit,
  perSecond: number | undefined,
  limited: number,
  now: Milliseconds,
): boolean {
  const isSame = state.perSecond === perSecond
  state.own = { perSecond: perSecond ?? Infinity, at: now }
  const isOld = perSecond !== undefined && now - state.heardAt >= tellAgainAfter(limited)
  if (isSame && !isOld) return false
  const turn = limitTurn(state, limited, now)
  setLimit(state, {
    ...(perSecond !== undefined && { perSecond }),
    version: state.version + 1,
    turn,
  })
  state.heardAt = now
  return true
}

/** Another box tells of a limit. True if that is news, which are told on. In whatever order news come, all boxes end at the same. */
export function takeSharedLimit(state: StatedLimit, told: SharedLimit, now: Milliseconds): boolean {
  const { version, perSecond = Infinity } = told
  const isTighter = version === state.version && perSecond < (state.perSecond ?? Infinity)
  if (version < state.version || (version === state.version && !isTighter)) return false
  setLimit(state, told)
  state.heardAt = now
  return true
}

function setLimit(state: StatedLimit, { perSecond, version, turn }: SharedLimit): void {
  if (perSecond === undefined) delete state.perSecond
  else state.perSecond = perSecond
  state.version = version
  state.turn = turn
}

/** The limit that holds now; undefined where there is none. */
export function limitNow(state: StatedLimit, now: Milliseconds): number | undefined {
  const { perSecond = Infinity, heardAt, own } = state
  const shared = now - heardAt < LAPSES_AFTER ? perSecond : Infinity
  const said = now - own.at < OWN_COUNTS_FOR ? own.perSecond : Infinity
  const least = Math.min(shared, said)
  return least === Infinity ? undefined : least
}

/** The group of boxes that sends now, where so many upstreams name a limit. */
export function limitTurn(state: StatedLimit, limited: number, now: Milliseconds): number {
  if (state.perSecond === undefined) return 0
  const forRequests = (TURN_REQUESTS * SECOND) / state.perSecond
  const span = Math.min(
    LAPSES_AFTER,
    Math.max(TURN_TELLINGS * tellAgainAfter(limited), forRequests),
  )
  return state.turn + Math.max(0, Math.floor((now - state.heardAt) / span))
}
