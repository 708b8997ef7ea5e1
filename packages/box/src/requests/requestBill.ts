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

/** The bill of one request, from its first attempt to the end of its answer. */
export class RequestBill {
  readonly #bill: Bill
  #isOpen = false
  #openDurable: Promise<void> = Promise.resolve()
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

  /** Opens the bill, or updates its upstream and stream for a further attempt. */
  open(upstream: string, streamId: string): void {
    this.#bill.stream = { upstream, id: streamId }
    this.#isOpen = true
    this.#openDurable = this.context.services.bills.open(this.#snapshot())
  }

  /**
   * Resolves when the open bill is stored so that it survives the loss of this box. Nothing may be
   * sent to the caller before.
   */
  whenOpenIsDurable(): Promise<void> {
    return this.#openDurable
  }

  /** Adds a line with the cost of one upstream call. */
  addLine(version: ModelVersion, upstream: string, usage: Usage): void {
    const price = this.context.rights[0]!.priceOf(version)
    this.#bill.lines.push({ ...version, upstream, usage, cost: costOf(price, usage) })
  }

  get cost(): number {
    return billCost(this.#bill)
  }

  /**
   * Closes the bill; later calls return the first result. Resolves when the closed bill survives
   * the loss of this box. The end of the answer may not be sent before.
   */
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

  /** Voids the bill of a request that did not run. Closes it if earlier cascade stages have run. */
  async abandon(): Promise<void> {
    if (!this.#isOpen) return
    if (this.#bill.lines.length > 0) await this.close('cut-off')
    else this.context.services.bills.void(this.#bill.requestId)
  }

  #snapshot(): Bill {
    return { ...this.#bill, lines: [...this.#bill.lines] }
  }
}
