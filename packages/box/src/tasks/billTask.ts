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
import { logTaskFailure } from './logTaskFailure.js'

export interface BillTaskOptions {
  self: VoterId
  table: TableService
  clock: Clock
  log: Log
  metrics: Metrics
  limits?: LedgerLimits
  send(to: VoterId, message: PeerMessage): void
  /** Boxes to replicate new bills of this box to. */
  witnesses(): VoterId[]
  /** Number of boxes; the interval between writes grows with it. */
  boxCount(): number
  /** Asks the upstream how an interrupted request ended; undefined to retry later. */
  reconcile(bill: Bill): Promise<Bill | 'void' | undefined>
}

/** Limit for all boxes together. */
const MAX_BATCHES_PER_SECOND = 40
const MIN_FLUSH_INTERVAL: Milliseconds = 1_000
const FLUSH_RETRY_DELAY: Milliseconds = 250
const RECONCILE_RETRY_DELAY: Milliseconds = 2_000
const WITNESS_CONFIRMATION_TIMEOUT: Milliseconds = 1_000

interface Waiter {
  stage: Bill['stage']
  since: Milliseconds
  resolve(): void
}

/** Replicates this box's bills to witnesses, stores them, and is a witness for other boxes. */
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
    const { clock, log } = this.options
    const flushInterval = () =>
      Math.max(MIN_FLUSH_INTERVAL, (this.options.boxCount() * 1_000) / MAX_BATCHES_PER_SECOND)
    this.#timers = [
      every(
        clock,
        flushInterval,
        () => this.post({ type: 'flush' }),
        logTaskFailure(log, 'bill flush'),
      ),
      every(
        clock,
        WITNESS_CONFIRMATION_TIMEOUT / 2,
        () => this.#replaceSlowWitnesses(),
        logTaskFailure(log, 'slow witnesses'),
      ),
    ]
  }

  stop(): void {
    this.#timers.forEach(timer => timer.cancel())
  }

  post(message: LedgerMessage): void {
    this.#task.post(message)
  }

  /** Whether the ledger accepts another bill. */
  get hasRoom(): boolean {
    return hasRoomForBill(this.#state)
  }

  /** Number of this box's bills that are not in the store yet. */
  get unwrittenCount(): number {
    return this.#state.own.size
  }

  /** Number of bills that this box holds as a witness. */
  get heldForOthers(): number {
    return this.#state.heldCount
  }

  /** Opens a bill. Resolves once it is replicated, so that it survives the loss of this box. */
  open(bill: Bill): Promise<void> {
    const witnesses = this.options.witnesses()
    this.post({ type: 'open', bill, witnesses })
    // Without witnesses, a bill is only written on closing, before the answer's last byte is sent.
    return witnesses.length === 0 ? Promise.resolve() : this.#whenProtected(bill.requestId, 'open')
  }

  /** Closes a bill. Resolves once the closed bill is replicated or stored. */
  close(bill: Bill): Promise<void> {
    this.post({ type: 'close', bill })
    if (!this.#hasWitnesses(bill.requestId)) this.post({ type: 'flush' })
    return this.#whenProtected(bill.requestId, 'closed')
  }

  /** Discards the bill of a request that is known not to have run. */
  void(requestId: string): void {
    this.post({ type: 'void', requestId })
  }

  /** Finds a bill of this box, or one that it holds as a witness. */
  find(requestId: string): Bill | undefined {
    const own = this.#state.own.get(requestId)
    if (own) return own.bill
    for (const held of this.#state.held.values()) {
      const bill = held.get(requestId)
      if (bill) return bill
    }
    return undefined
  }

  /** Resolves once every bill of this box is in the store. */
  async flushAll(): Promise<void> {
    while (this.#state.own.size > 0) {
      this.post({ type: 'flush' })
      await sleep(this.options.clock, FLUSH_RETRY_DELAY)
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

  #resolveWaiters(requestId: string, stage?: Bill['stage']): void {
    const waiters = this.#waiters.get(requestId)
    if (!waiters) return
    const remaining = waiters.filter(waiter => stage === 'open' && waiter.stage === 'closed')
    if (remaining.length > 0) this.#waiters.set(requestId, remaining)
    else this.#waiters.delete(requestId)
    waiters.filter(waiter => !remaining.includes(waiter)).forEach(waiter => waiter.resolve())
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
        return this.#resolveWaiters(effect.requestId, effect.stage)
      case 'send-release':
        return send(effect.to, { type: 'release', requestIds: effect.requestIds })
      case 'write-batch':
        return void this.#writeBatch(effect.id, effect.bills)
      case 'written':
        return effect.requestIds.forEach(requestId => this.#resolveWaiters(requestId))
      case 'reconcile':
        return void this.#reconcile(effect.bill)
    }
  }

  /** Creates all rows in one transaction. After a conflict, existing rows count as written. */
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
    const existing = await table.read(bills.map(bill => billKey(bill.requestId)))
    if (existing.outcome !== 'read') return this.#failBatch(id)
    const keys = new Set(existing.rows.map(row => row.key))
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
    else this.options.clock.after(RECONCILE_RETRY_DELAY, () => void this.#reconcile(bill))
  }

  #replaceSlowWitnesses(): void {
    const now = this.options.clock.now()
    const slow = new Set<VoterId>()
    for (const [requestId, waiters] of this.#waiters) {
      if (!waiters.some(waiter => now - waiter.since > WITNESS_CONFIRMATION_TIMEOUT)) continue
      const own = this.#state.own.get(requestId)
      own?.witnesses
        .filter(witness => !own.heldBy.has(witness))
        .forEach(witness => slow.add(witness))
    }
    for (const witness of slow) this.replaceWitness(witness)
  }

  /** Replaces a witness that exited or does not respond. If there is no other, flushes bills. */
  replaceWitness(gone: VoterId): void {
    const by = this.options.witnesses().find(witness => witness !== gone)
    this.post({ type: 'replace-witness', gone, ...(by && { by }) })
    if (this.#state.own.size > 0 && !by) this.post({ type: 'flush' })
  }
}
