/**
 * Decentralised spend limits. A box draws a part of an organisation's daily limit from the store
 * ahead of use, reserves from it before each request and settles afterwards. Only drawn amounts can
 * be spent, so the total over all boxes never exceeds the limit, even when boxes crash or pause;
 * what a crashed box had drawn but not used is lost for the day. While the store is unavailable a
 * box spends what it has drawn, then refuses.
 */
import type { Milliseconds } from '../types/clock.js'

/**
 * Store row: the total drawn from an organisation's daily limit, in millionths of a currency unit.
 */
export interface SpendRow {
  drawn: number
}

export function spendKey(organisation: string, day: string): string {
  return `spend/${day}/${organisation}`
}

/** Formats the UTC day of a wall-clock time, such as `2026-12-02`. */
export function dayOf(wallTime: Milliseconds): string {
  return new Date(wallTime).toISOString().slice(0, 10)
}

/** One box's part of an organisation's daily limit. Amounts in millionths of a currency unit. */
export interface Allowance {
  day: string
  drawn: number
  reserved: number
  used: number
  /** Decaying estimate of spend, millionths per millisecond. */
  rate: number
  rateAt: Milliseconds
  /** A draw from the store is in progress. */
  drawing: boolean
  /** The daily limit has been drawn completely. */
  exhausted: boolean
}

/** The box draws when what it has left covers less than this time at the current rate. */
const LOW_WATER_MARK: Milliseconds = 180_000
/** Time that a draw covers at the current rate: longer than a store outage to be bridged. */
const DRAW_SPAN: Milliseconds = 480_000
/** Time constant of the decaying spend rate. */
const RATE_TIME_CONSTANT: Milliseconds = 60_000
/** The smallest draw, as a share of the daily limit. */
const MIN_DRAW_SHARE = 1 / 200
/**
 * Largest draw as a share of the undrawn amount, unless a waiting request requires more; all boxes
 * get a part of the last of it.
 */
const MAX_SHARE_OF_UNDRAWN = 1 / 10

export function createAllowance(day: string, now: Milliseconds): Allowance {
  return {
    day,
    drawn: 0,
    reserved: 0,
    used: 0,
    rate: 0,
    rateAt: now,
    drawing: false,
    exhausted: false,
  }
}

/** The amount drawn that is neither used nor reserved. */
export function availableAmount(allowance: Allowance): number {
  return allowance.drawn - allowance.used - allowance.reserved
}

/** Reserves `amount`. Returns false when less than that is left. */
export function reserve(allowance: Allowance, amount: number): boolean {
  if (availableAmount(allowance) < amount) return false
  allowance.reserved += amount
  return true
}

/** Replaces a reservation by the actual cost of the request. */
export function settle(
  allowance: Allowance,
  reserved: number,
  actual: number,
  now: Milliseconds,
): void {
  allowance.reserved -= reserved
  allowance.used += actual
  const kept = Math.exp(-(now - allowance.rateAt) / RATE_TIME_CONSTANT)
  allowance.rate = allowance.rate * kept + actual / RATE_TIME_CONSTANT
  allowance.rateAt = now
}

/**
 * The amount to draw from the store, 0 for none. `needed`: the amount that a waiting request
 * requires.
 */
export function wantedDraw(
  allowance: Allowance,
  dayLimit: number,
  needed: number,
  now: Milliseconds,
): number {
  if (allowance.drawing || allowance.exhausted) return 0
  const rate = allowance.rate * Math.exp(-(now - allowance.rateAt) / RATE_TIME_CONSTANT)
  const left = availableAmount(allowance)
  const isLow = left < needed || left < rate * LOW_WATER_MARK || allowance.drawn === 0
  if (!isLow) return 0
  return Math.ceil(Math.max(needed * 2, rate * DRAW_SPAN, dayLimit * MIN_DRAW_SHARE))
}

/** The part of a wanted draw that the store row grants. */
export function grantOf(row: SpendRow, dayLimit: number, wanted: number, needed: number): number {
  const undrawn = Math.max(0, dayLimit - row.drawn)
  const fair = Math.max(Math.floor(undrawn * MAX_SHARE_OF_UNDRAWN), Math.min(needed, undrawn))
  return Math.min(wanted, fair)
}
