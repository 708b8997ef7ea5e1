/**
 * Spend limits without a control box. A box draws a part of an organisation's day limit from the store ahead
 * of use, reserves from it before each request, and settles afterwards. What no box has drawn cannot be spent,
 * so the sum over all boxes never passes the limit, whoever dies or pauses; a box that dies takes what it had
 * drawn and not used out of the day. With the store out a box spends what it has drawn and then refuses.
 */
import type { Milliseconds } from '../types/clock.js'

/** Store row: what boxes have drawn of an organisation's day, in millionths of a currency unit. */
export interface SpendRow {
  drawn: number
}

export function spendKey(organisation: string, day: string): string {
  return `spend/${day}/${organisation}`
}

/** The day of a wall time, `2026-12-02`. */
export function dayOf(wallTime: Milliseconds): string {
  return new Date(wallTime).toISOString().slice(0, 10)
}

/** One box's part of one organisation's day. Amounts in millionths of a currency unit. */
export interface Allowance {
  day: string
  drawn: number
  reserved: number
  used: number
  /** Decaying estimate of spend, millionths per millisecond. */
  rate: number
  rateAt: Milliseconds
  drawing: boolean
  /** The store has nothing left for the day. */
  exhausted: boolean
}

/** A draw is asked for when less than this much time's spend is left. */
const DRAW_BELOW: Milliseconds = 180_000
/** A draw asks for this much time's spend: longer than an outage of the store that should not be felt. */
const DRAW_FOR: Milliseconds = 480_000
const RATE_MEMORY: Milliseconds = 60_000
/** The first draw of a day, as a share of the limit. */
const FIRST_DRAW_SHARE = 1 / 200
/** One draw never takes more than this share of what is left, so that the end of a day is shared by all boxes. */
const SHARE_OF_REST = 1 / 10

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

export function leftOf(allowance: Allowance): number {
  return allowance.drawn - allowance.used - allowance.reserved
}

/** Reserves `amount` if the box has drawn that much. */
export function reserve(allowance: Allowance, amount: number): boolean {
  if (leftOf(allowance) < amount) return false
  allowance.reserved += amount
  return true
}

/** Turns a reservation into what the request really cost. */
export function settle(
  allowance: Allowance,
  reserved: number,
  actual: number,
  now: Milliseconds,
): void {
  allowance.reserved -= reserved
  allowance.used += actual
  const kept = Math.exp(-(now - allowance.rateAt) / RATE_MEMORY)
  allowance.rate = allowance.rate * kept + actual / RATE_MEMORY
  allowance.rateAt = now
}

/** How much to ask the store for, 0 when nothing is needed. `needed`: what a waiting request lacks. */
export function wantedDraw(
  allowance: Allowance,
  dayLimit: number,
  needed: number,
  now: Milliseconds,
): number {
  if (allowance.drawing || allowance.exhausted) return 0
  const rate = allowance.rate * Math.exp(-(now - allowance.rateAt) / RATE_MEMORY)
  const left = leftOf(allowance)
  const isLow = left < needed || left < rate * DRAW_BELOW || allowance.drawn === 0
  if (!isLow) return 0
  return Math.ceil(Math.max(needed * 2, rate * DRAW_FOR, dayLimit * FIRST_DRAW_SHARE))
}

/** What the store row grants of a wanted draw. */
export function grantOf(row: SpendRow, dayLimit: number, wanted: number, needed: number): number {
  const rest = Math.max(0, dayLimit - row.drawn)
  const fair = Math.max(Math.floor(rest * SHARE_OF_REST), Math.min(needed, rest))
  return Math.min(wanted, fair)
}
