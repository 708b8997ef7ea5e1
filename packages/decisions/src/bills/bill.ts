import type { Milliseconds } from '../types/clock.js'

export interface Usage {
  promptTokens: number
  completionTokens: number
}

/** How a request ended. `cut-off`: the caller got part of the answer. */
export type BillOutcome = 'answered' | 'cancelled' | 'cut-off'

/** One use of an upstream for a request. A cascade that escalates has several. */
export interface BillLine {
  model: string
  version: string
  upstream: string
  usage: Usage
  /** Millionths of a currency unit. */
  cost: number
}

/** What a request costs its organisation. `open` until it has ended. */
export interface Bill {
  requestId: string
  organisation: string
  openedAt: Milliseconds
  stage: 'open' | 'closed'
  outcome?: BillOutcome
  /** The stream at the upstream, so that another box can ask how it ended or take it up again. */
  stream?: { upstream: string; id: string }
  lines: BillLine[]
}

export const BILL_PREFIX = 'bill/'

export function billKey(requestId: string): string {
  return `${BILL_PREFIX}${requestId}`
}

export function billCost(bill: Bill): number {
  return bill.lines.reduce((sum, line) => sum + line.cost, 0)
}
