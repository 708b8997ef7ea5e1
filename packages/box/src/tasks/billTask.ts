import {
  billKey,
  createLedgerState,
  DEFAULT_LEDGER_LIMITS,
  hasRoomForBill,
  isProtected,
  ledgerTransition,
  sleep,
  type Bill,
  type Clock,
  type LedgerEffect,
  type LedgerLimits,
  type LedgerMessage,
  type LedgerState,
  type Milliseconds,
  type TableService,
  type VoterId,
} from '@yewkeel/decisions'
import type { PeerMessage } from '../types/peerMessage.js'
import type { Log, Metrics } from '../types/ports.js'
import { createTask, type Task } from './createTask.js'
import { every } from './every.js'

export interface BillTaskOptions {
  self: VoterId
  table: TableService
  clock: Clock
  log: Log
  metrics: Metrics
  limits?: LedgerLimits
  send(to: VoterId, message: PeerMessage): void
  /** Boxes that are to hold this box's bills now. */
  witnesses(): VoterId[]
  /** Boxes in the system, for the pace of writing. */
  boxCount(): number
  /** Asks the upstream of a cut-off request how it ended; undefined to ask again later. */
  reconcile(bill: Bill): Promise<Bill | 'void' | undefined>
}

/** Batches of all boxes together that may be written each second. */
const BATCHES_PER_SECOND = 40
const SHORTEST_FLUSH: Milliseconds = 1_000
/** Between tries at a planned stop. */
const FLUSH_PAUSE: Milliseconds = 250
const RECONCILE_PAUSE: Milliseconds = 2_000
/** A witness that does not confirm within this time is replaced. */
const WITNESS_PATIENCE: Milliseconds = 1_000

interface Waiter {
  stage: Bill['stage']
  since: Milliseconds
  resolve(): void
}

/** Owns the box's ledger of bills and those that it holds for others. */
export class BillTask {
  readonly #state: LedgerState
  readonly #task: Task<LedgerMessage>
  readonly #waiters = new Map<string, Waiter[]>()
  #timers: { cancel(): void }[] = []

  constructor(private readonly options: BillTaskOptions) {
    const { self, limits = DEFAULT_LEDGER_LIMITS, clock, log } = options
    this.#state = createLedgerState(self, limits)
    this.#task = createTask({
      name: 'bills',
      state: this.#state,
      transition: ledgerTransition,
      run: effect => this.#run(effect),
      clock,
      log,
    })
  }

  start(): void {
    const { clock } = this.options
    const flushEvery = () =>
      Math.max(SHORTEST_FLUSH, (this.options.boxCount() * 1_000) / BATCHES_PER_SECOND)
    this.#timers = [
      every(clock, flushEvery, () => this.post({ type: 'flush' })),
      every(clock, WITNESS_PATIENCE / 2, () => this.#replaceSlowWitnesses()),
    ]
  }

  stop(): void {
    this.#timers.forEach(timer => timer.cancel())
  }

  post(message: LedgerMessage): void {
    this.#task.post(message)
  }

  get hasRoom(): boolean {
    return hasRoomForBill(this.#state)
  }

  /** Bills that the store does not have yet. */
  get unwritten(): number {
    return this.#state.own.size
  }

  get heldForOthers(): number {
    return this.#state.heldCount
  }

  /** Opens a bill. Resolves when it survives the loss of this box. */
  open(bill: Bill): Promise<void> {
    const witnesses = this.options.witnesses()
    this.post({ type: 'open', bill, witnesses })
    // Alone, a box can only write the bill at its end, before the end of the answer goes out.
    return witnesses.length === 0 ? Promise.resolve() : this.#whenProtected(bill.requestId, 'open')
  }

  /** Closes a bill. Resolves when the closed bill survives the loss of this box. */
  close(bill: Bill): Promise<void> {
    this.post({ type: 'close', bill })
    if (!this.#hasWitnesses(bill.requestId)) this.post({ type: 'flush' })
    return this.#whenProtected(bill.requestId, 'closed')
  }

  void(requestId: string): void {
    this.post({ type: 'void', requestId })
  }

  /** A bill that this box holds for a request of another box or of its own. */
  find(requestId: string): Bill | undefined {
    const own = this.#state.own.get(requestId)
    if (own) return own.bill
    for (const held of this.#state.held.values()) {
      const bill = held.get(requestId)
      if (bill) return bill
    }
    return undefined
  }

  /** Resolves when the store has every bill of this box. */
  async flushAll(): Promise<void> {
    while (this.#state.own.size > 0) {
      this.post({ type: 'flush' })
      await sleep(this.options.clock, FLUSH_PAUSE)
    }
  }

  #hasWitnesses(requestId: string): boolean {
    return (this.#state.own.get(requestId)?.witnesses.length ?? 0) > 0
  }

  #whenProtected(requestId: string, stage: Bill['stage']): Promise<void> {
    if (isProtected(this.#state, requestId, stage)) return Promise.resolve()
    return new Promise(resolve => {
      const waiters = this.#waiters.get(requestId) ?? []
      waiters.push({ stage, since: this.options.clock.now(), resolve })
      this.#waiters.set(requestId, waiters)
    })
  }

  #wake(requestId: string, stage?: Bill['stage']): void {
    const waiters = this.#waiters.get(requestId)
    if (!waiters) return
    const left = waiters.filter(waiter => stage === 'open' && waiter.stage === 'closed')
    if (left.length > 0) this.#waiters.set(requestId, left)
    else this.#waiters.delete(requestId)
    waiters.filter(waiter => !left.includes(waiter)).forEach(waiter => waiter.resolve())
  }

  #run(effect: LedgerEffect): void {
    const { send } = this.options
    switch (effect.type) {
      case 'send-hold': {
        const { bills, complete } = effect
        return send(effect.to, { type: 'hold', bills, ...(complete && { complete }) })
      }
      case 'confirm-held':
        return send(effect.to, { type: 'held', stage: effect.stage, requestIds: effect.requestIds })
      case 'protected':
        return this.#wake(effect.requestId, effect.stage)
      case 'send-release':
        return send(effect.to, { type: 'release', requestIds: effect.requestIds })
      case 'write-batch':
        return void this.#writeBatch(effect.id, effect.bills)
      case 'written':
        return effect.requestIds.forEach(requestId => this.#wake(requestId))
      case 'reconcile':
        return void this.#reconcile(effect.bill)
    }
  }

  /** One transaction creates all rows. What stands already is left out of the next try. */
  async #writeBatch(id: number, bills: Bill[]): Promise<void> {
    const { table, metrics } = this.options
    const outcome = await table.commit({
      conditions: bills.map(bill => ({ key: billKey(bill.requestId), version: 0 })),
      writes: bills.map(bill => ({ key: billKey(bill.requestId), value: JSON.stringify(bill) })),
    })
    if (outcome === 'committed') {
      metrics.count('bills.written', bills.length)
      return this.post({ type: 'batch-written', id, requestIds: bills.map(bill => bill.requestId) })
    }
    if (outcome === 'unavailable') return this.#failBatch(id)
    const standing = await table.read(bills.map(bill => billKey(bill.requestId)))
    if (standing.outcome !== 'read') return this.#failBatch(id)
    const keys = new Set(standing.rows.map(row => row.key))
    const requestIds = bills
      .map(bill => bill.requestId)
      .filter(requestId => keys.has(billKey(requestId)))
    this.post({ type: 'batch-written', id, requestIds })
    if (requestIds.length < bills.length) this.post({ type: 'flush' })
  }

  #failBatch(id: number): void {
    this.post({ type: 'batch-failed', id })
  }

  async #reconcile(bill: Bill): Promise<void> {
    const ended = await this.options.reconcile(bill)
    if (ended === 'void') this.post({ type: 'void', requestId: bill.requestId })
    else if (ended) this.post({ type: 'close', bill: ended })
    else this.options.clock.after(RECONCILE_PAUSE, () => void this.#reconcile(bill))
  }

  #replaceSlowWitnesses(): void {
    const now = this.options.clock.now()
    const slow = new Set<VoterId>()
    for (const [requestId, waiters] of this.#waiters) {
      if (!waiters.some(waiter => now - waiter.since > WITNESS_PATIENCE)) continue
      const own = this.#state.own.get(requestId)
      own?.witnesses
        .filter(witness => !own.heldBy.has(witness))
        .forEach(witness => slow.add(witness))
    }
    for (const gone of slow) this.replaceWitness(gone)
  }

  /** Another box takes the place of a witness that is gone or silent. */
  replaceWitness(gone: VoterId): void {
    const by = this.options.witnesses().find(witness => witness !== gone)
    this.post({ type: 'replace-witness', gone, ...(by && { by }) })
    if (this.#state.own.size > 0 && !by) this.post({ type: 'flush' })
  }
}
