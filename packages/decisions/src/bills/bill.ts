import type { Milliseconds } from '../types/clock.js'

export interface Usage {
  promptTokens: number
  completionTokens: number
}

/** How a request ended. `cut-off`: the caller received part of the answer. */
export type BillOutcome = 'answered' | 'cancelled' | 'cut-off'

/** One use of an upstream for a request. A cascade that escalates adds one line per stage. */
export interface BillLine {
  model: string
  version: string
  upstream: string
  usage: Usage
  /** Millionths of a currency unit. */
  cost: number
}

/** The cost of a request to its organisation. `open` until the request has ended. */
export interface Bill {
  requestId: string
  organisation: string
  openedAt: Milliseconds
  stage: 'open' | 'closed'
  outcome?: BillOutcome
  /** The upstream's stream, so that another box can query its outcome or resume it. */
  stream?: { upstream: string; id: string }
  lines: BillLine[]
}

export const BILL_PREFIX = 'bill/'

export function billKey(requestId: string): string {
  return `${BILL_PREFIX}${requestId}`
}

/** Total cost in millionths of a currency unit. */
export function billCost(bill: Bill): number {
  return bill.lines.reduce((sum, line) => sum + line.cost, 0)
}
