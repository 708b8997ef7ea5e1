import type { Milliseconds } from '../types/clock.js'

/**
 * Outcome of one exchange with an upstream. `shed`: it rejected the request without running it.
 * `failed`: it ran the request and answered with an error or malformed data. `lost`: no answer, or
 * a connection reset. `unreachable`: no connection opened while other upstreams did respond.
 * `gone`: another process answers at its address.
 */
export type ExchangeOutcome = 'good' | 'shed' | 'failed' | 'lost' | 'unreachable' | 'gone'

/** Passive health state of one upstream, from this box's own exchanges. */
export interface ExchangeHealth {
  /** Moving average of the share of bad outcomes, 0 to 1. */
  badShare: number
  /** Exchanges counted since the upstream was listed. */
  samples: number
  consecutiveLosses: number
  /** Ejections since the upstream last recovered; sets the length of the next one. */
  ejections: number
  ejectedUntil: Milliseconds
  /** When the upstream last responded. */
  lastHeardAt: Milliseconds
  /** Ejected with no time limit, until a connection opens again. */
  isUnreachable: boolean
  /** Another process answers at its address: this run of the upstream has ended for good. */
  isGone: boolean
}

/** Weight of the newest exchange in `badShare`; averages over roughly ten exchanges. */
const EWMA_WEIGHT = 0.12
/** Exchanges before `badShare` can eject an upstream. */
const MIN_SAMPLES = 5
/** Ejects an upstream whose bad share exceeds this multiple of its service's average ... */
const OUTLIER_FACTOR = 2.5
/** ... and this absolute share. */
const MIN_OUTLIER_SHARE = 0.22
const MAX_CONSECUTIVE_LOSSES = 3
/** Length of the first ejection; each further one doubles it. */
const BASE_EJECTION: Milliseconds = 1_000
const MAX_EJECTION: Milliseconds = 6_000

export function createExchangeHealth(now: Milliseconds): ExchangeHealth {
  return {
    badShare: 0,
    samples: 0,
    consecutiveLosses: 0,
    ejections: 0,
    ejectedUntil: 0,
    lastHeardAt: now,
    isUnreachable: false,
    isGone: false,
  }
}

const IS_BAD: Record<ExchangeOutcome, number> = {
  good: 0,
  shed: 0,
  failed: 1,
  lost: 1,
  unreachable: 1,
  gone: 1,
}

/**
 * Records the outcome of one exchange. `othersBadShare` is the mean `badShare` of the service's
 * other upstreams; faults common to all of them eject none. Returns whether this outcome ejects the
 * upstream.
 */
export function recordExchange(
  health: ExchangeHealth,
  outcome: ExchangeOutcome,
  othersBadShare: number,
  now: Milliseconds,
): boolean {
  health.badShare += EWMA_WEIGHT * (IS_BAD[outcome] - health.badShare)
  health.samples++
  if (outcome === 'unreachable') {
    const isNew = !health.isUnreachable
    health.isUnreachable = true
    return isNew
  }
  if (outcome === 'gone') return recordProcessReplaced(health)
  health.consecutiveLosses = outcome === 'lost' ? health.consecutiveLosses + 1 : 0
  if (outcome !== 'lost') health.lastHeardAt = now
  if (outcome === 'good' && health.badShare < EWMA_WEIGHT) health.ejections = 0
  if (now < health.ejectedUntil || !isOutlier(health, othersBadShare)) return false
  eject(health, now)
  return true
}

function isOutlier(health: ExchangeHealth, othersBadShare: number): boolean {
  if (health.consecutiveLosses >= MAX_CONSECUTIVE_LOSSES) return true
  const limit = Math.max(MIN_OUTLIER_SHARE, OUTLIER_FACTOR * othersBadShare)
  return health.samples >= MIN_SAMPLES && health.badShare > limit
}

function eject(health: ExchangeHealth, now: Milliseconds): void {
  const duration = Math.min(MAX_EJECTION, BASE_EJECTION * 2 ** health.ejections)
  health.ejections++
  health.ejectedUntil = now + duration
  health.consecutiveLosses = 0
  // Just below the limit: one more bad outcome ejects the upstream again, unless others fail too.
  health.badShare = MIN_OUTLIER_SHARE * 0.75
}

/** Records that another process has the upstream's address. Returns whether this was unknown. */
export function recordProcessReplaced(health: ExchangeHealth): boolean {
  const isNew = !health.isGone
  health.isGone = true
  return isNew
}

/** Records that the upstream accepts connections again. */
export function recordReachable(health: ExchangeHealth): void {
  health.isUnreachable = false
}

/** Records that what failed lately was this box's path, not the upstream. */
export function recordReconnected(health: ExchangeHealth): void {
  health.consecutiveLosses = 0
  health.ejections = 0
  health.ejectedUntil = 0
  health.badShare = 0
  health.isUnreachable = false
}

export function isEjected(health: ExchangeHealth, now: Milliseconds): boolean {
  return health.isGone || health.isUnreachable || now < health.ejectedUntil
}
