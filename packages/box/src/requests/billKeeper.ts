import {
  billCost,
  costOf,
  formatVersion,
  type Bill,
  type BillOutcome,
  type ModelVersion,
  type Usage,
} from '@yewkeel/decisions'
import type { RequestContext } from '../types/context.js'

/** Keeps the bill of one request from its first try to its end. */
export class BillKeeper {
  readonly #bill: Bill
  #isOpen = false
  #protected: Promise<void> = Promise.resolve()
  #closed: Promise<void> | undefined

  constructor(private readonly context: RequestContext) {
    this.#bill = {
      requestId: context.billId,
      organisation: context.organisation,
      openedAt: context.services.clock.wallTime(),
      stage: 'open',
      lines: [],
    }
  }

  /** Opens the bill, or notes that another upstream now works on the request. */
  open(upstream: string, streamId: string): void {
    this.#bill.stream = { upstream, id: streamId }
    this.#isOpen = true
    this.#protected = this.context.services.bills.open(this.#snapshot())
  }

  /** Resolves when the open bill survives the loss of this box. Until then nothing goes to the caller. */
  whenOpenIsSafe(): Promise<void> {
    return this.#protected
  }

  /** Adds what one use of an upstream cost. */
  addLine(version: ModelVersion, upstream: string, usage: Usage): void {
    const price = this.context.rights[0]!.priceOf(version)
    this.#bill.lines.push({ ...version, upstream, usage, cost: costOf(price, usage) })
  }

  get cost(): number {
    return billCost(this.#bill)
  }

  /** Closes the bill. Resolves when it survives the loss of this box; the end of the answer waits for that. */
  close(outcome: BillOutcome): Promise<void> {
    if (this.#closed) return this.#closed
    const { services, span } = this.context
    span.set({
      'bill.outcome': outcome,
      'bill.cost': this.cost,
      'bill.versions': this.#bill.lines.map(line => formatVersion(line)).join(' '),
    })
    this.#closed = services.bills.close({ ...this.#snapshot(), stage: 'closed', outcome })
    return this.#closed
  }

  /** The request did not run after all. What ran before, in an earlier stage of a cascade, is billed. */
  async giveUp(): Promise<void> {
    if (!this.#isOpen) return
    if (this.#bill.lines.length > 0) await this.close('cut-off')
    else this.context.services.bills.void(this.#bill.requestId)
  }

  #snapshot(): Bill {
    return { ...this.#bill, lines: [...this.#bill.lines] }
  }
}
