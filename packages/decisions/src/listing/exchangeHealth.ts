import type { Milliseconds } from '../types/clock.js'

/**
 * How one exchange with an upstream went. `shed`: it said that it did not run the request. `failed`: it ran it
 * and answered with an error or with wrong bytes. `lost`: no answer, or a reset. `unreachable`: no connection opened,
 * though other upstreams were heard meanwhile. `gone`: another process answers at its address.
 */
export type ExchangeOutcome = 'good' | 'shed' | 'failed' | 'lost' | 'unreachable' | 'gone'

/** What this box has seen of one upstream. */
export interface ExchangeHealth {
  /** Moving share of exchanges that were `failed` or `lost`, 0 to 1. */
  badShare: number
  /** Exchanges counted, up to where the share is settled. */
  samples: number
  lostInARow: number
  ejections: number
  ejectedUntil: Milliseconds
  lastHeardAt: Milliseconds
  /** Ejected until it answers again, however long that takes. */
  isUnreachable: boolean
  /**
   * Another process answers at its address. This run never returns, so it is asked no more even where there is no other: of 20 requests while ten upstreams were such, 77 arrived in place of 10 (played on loopback).
   */
  isGone: boolean
}

/** Weight of the newest exchange in the moving share: about the last ten count. */
const SHARE_WEIGHT = 0.12
/** Exchanges before a share is believed. */
const LEAST_SAMPLES = 5
/** An upstream is ejected when its share is this far above that of the others of its service ... */
const SHARE_FACTOR = 2.5
/** ... and above this. */
const SHARE_FLOOR = 0.22
const LOST_IN_A_ROW = 3
/** The first ejection; each further one is twice as long. */
const FIRST_EJECTION: Milliseconds = 1_000
const LONGEST_EJECTION: Milliseconds = 6_000

export function createExchangeHealth(now: Milliseconds): ExchangeHealth {
  return {
    badShare: 0,
    samples: 0,
    lostInARow: 0,
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
 * Takes the outcome of one exchange. `othersBadShare` is the mean share of the other upstreams of the
 * service: faults that strike all alike are no reason to send one of them less. True when it is ejected now.
 */
export function noteExchange(
  health: ExchangeHealth,
  outcome: ExchangeOutcome,
  othersBadShare: number,
  now: Milliseconds,
): boolean {
  health.badShare += SHARE_WEIGHT * (IS_BAD[outcome] - health.badShare)
  health.samples++
  if (outcome === 'unreachable') {
    const isNews = !health.isUnreachable
    health.isUnreachable = true
    return isNews
  }
  if (outcome === 'gone') return noteGone(health)
  health.lostInARow = outcome === 'lost' ? health.lostInARow + 1 : 0
  if (outcome !== 'lost') health.lastHeardAt = now
  if (outcome === 'good' && health.badShare < SHARE_WEIGHT) health.ejections = 0
  if (now < health.ejectedUntil || !isOutlier(health, othersBadShare)) return false
  eject(health, now)
  return true
}

function isOutlier(health: ExchangeHealth, othersBadShare: number): boolean {
  if (health.lostInARow >= LOST_IN_A_ROW) return true
  const limit = Math.max(SHARE_FLOOR, SHARE_FACTOR * othersBadShare)
  return health.samples >= LEAST_SAMPLES && health.badShare > limit
}

function eject(health: ExchangeHealth, now: Milliseconds): void {
  const span = Math.min(LONGEST_EJECTION, FIRST_EJECTION * 2 ** health.ejections)
  health.ejections++
  health.ejectedUntil = now + span
  health.lostInARow = 0
  // It comes back on trial: two more bad answers eject it again.
  health.badShare = SHARE_FLOOR * 0.75
}

/** Another process has its address. True if that is news. */
export function noteGone(health: ExchangeHealth): boolean {
  const isNews = !health.isGone
  health.isGone = true
  return isNews
}

/** It answers the opening of connections again. */
export function noteReachable(health: ExchangeHealth): void {
  health.isUnreachable = false
}

export function isEjected(health: ExchangeHealth, now: Milliseconds): boolean {
  return health.isGone || health.isUnreachable || now < health.ejectedUntil
}
