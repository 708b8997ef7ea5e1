import {
  createTable,
  createTableState,
  DEFAULT_FRESHNESS_LIMITS,
  isStoreOut,
  nextVoterSet,
  resolveFreshness,
  resolveRights,
  resolveTablesInDoubt,
  TABLE_KEYS,
  tableTransition,
  VOTERS_KEY,
  type ChangeOutcome,
  type Clock,
  type Freshness,
  type FreshnessLimits,
  type Milliseconds,
  type Proposal,
  type Rights,
  type Table,
  type TableChange,
  type TableEffect,
  type TableHead,
  type TableMessage,
  type TableRow,
  type TableService,
  type TableState,
  type VoterId,
  type VoterSet,
} from '@yewkeel/decisions'
import type { PeerMessage } from '../types/peerMessage.js'
import type { Log } from '../types/ports.js'
import { createTask, type Task } from './createTask.js'
import { every } from './every.js'
import { ProposalWriter } from './proposalWriter.js'
import { byKey, outcomeOfRow, parseRow, readNewerTable } from './tableRows.js'

export interface TableTaskOptions {
  self: VoterId
  table: TableService
  clock: Clock
  log: Log
  limits?: FreshnessLimits
  send(to: VoterId, message: PeerMessage): void
  sendToAll(message: PeerMessage): void
  /** Whether this box reads the store itself, or lets others tell it. */
  isPoller(): boolean
}

const POLL_EVERY: Milliseconds = 500
/** A box that does not poll still reads the store when others' word is older than this. */
const PEER_CONFIRMATION_FOR: Milliseconds = 1_200
const REGISTER_EVERY: Milliseconds = 1_000

/** Owns a box's copy of the table: reads the store, hears peers, and writes changes for operators. */
export class TableTask {
  readonly #state: TableState
  readonly #task: Task<TableMessage>
  readonly #answers = new Map<string, (outcome: ChangeOutcome) => void>()
  readonly #changeListeners: ((table: Table) => void)[] = []
  #rights: { table: Table; open: string; rights: Rights[] } | undefined
  readonly #writer: ProposalWriter
  #isReading = false
  #registering = false
  #timers: { cancel(): void }[] = []

  constructor(private readonly options: TableTaskOptions) {
    const { self, clock, limits = DEFAULT_FRESHNESS_LIMITS, log } = options
    this.#state = createTableState(self, clock.now(), limits)
    this.#writer = new ProposalWriter(options.table, clock)
    this.#task = createTask({
      name: 'table',
      state: this.#state,
      transition: tableTransition,
      run: effect => this.#run(effect),
      clock,
      log,
    })
  }

  start(): void {
    const { clock } = this.options
    void this.readStore()
    this.#timers = [
      every(clock, POLL_EVERY, () => this.#poll()),
      every(clock, POLL_EVERY, () => this.#task.post({ type: 'tick' })),
      every(clock, REGISTER_EVERY, () => this.#register()),
    ]
  }

  stop(): void {
    this.#timers.forEach(timer => timer.cancel())
  }

  post(message: TableMessage): void {
    this.#task.post(message)
  }

  onChange(listener: (table: Table) => void): void {
    this.#changeListeners.push(listener)
  }

  /** The store that the table lies in, for operators' questions. */
  get store(): TableService {
    return this.options.table
  }

  /** Takes a whole table that a peer sent. */
  takeTable(reply: { revision: number; rows: TableRow[]; voters?: VoterSet }): void {
    const { revision, rows, voters } = reply
    this.post({
      type: 'table-heard',
      table: createTable(revision, rows),
      ...(voters && { voters }),
    })
  }

  get state(): Readonly<TableState> {
    return this.#state
  }

  freshness(): Freshness {
    return resolveFreshness(this.#state, this.options.clock.now())
  }

  isStoreOut(): boolean {
    return isStoreOut(this.#state, this.options.clock.now())
  }

  /** Every table that a request must satisfy: the copy, and what open changes would make of it. */
  rights(): Rights[] {
    const { table } = this.#state
    // Indexing costs a pass over the table; while a change is open it must not fall on every request.
    const open = [...this.#state.open.keys()].join('\n')
    const known = this.#rights
    if (known && known.table === table && known.open === open) return known.rights
    const rights = resolveTablesInDoubt(this.#state).map(resolveRights)
    this.#rights = { table, open, rights }
    return rights
  }

  /** Submits a change. Resolves when it is accepted, refused, or not to be known for now. */
  propose(change: TableChange): Promise<ChangeOutcome> {
    return this.#propose({ id: change.changeId, content: { kind: 'change', change } })
  }

  /** What became of a change that was submitted before. */
  async findChange(changeId: string): Promise<ChangeOutcome> {
    const answer = await this.options.table.read([TABLE_KEYS.changeId(changeId)])
    if (answer.outcome !== 'read') {
      return { outcome: 'pending', message: 'the store does not answer; ask again' }
    }
    const row = answer.rows[0]
    if (row) return outcomeOfRow(row)
    if (this.#state.open.has(changeId)) {
      return { outcome: 'pending', message: 'the change is under way; ask again' }
    }
    return { outcome: 'refused', message: 'no such change was accepted' }
  }

  /** Reads the head, and what is new after it. */
  async readStore(): Promise<void> {
    if (this.#isReading) return
    this.#isReading = true
    try {
      const startedAt = this.options.clock.now()
      const answer = await this.options.table.read([TABLE_KEYS.head, VOTERS_KEY])
      if (answer.outcome !== 'read') return
      const rows = byKey(answer.rows)
      const head = parseRow<TableHead>(rows.get(TABLE_KEYS.head))?.revision ?? 0
      const voters = parseRow<VoterSet>(rows.get(VOTERS_KEY))
      const table = await readNewerTable(this.options.table, this.#state.table, head, changes =>
        this.#task.post({ type: 'changes-heard', changes }),
      )
      if (table) {
        this.#task.post({ type: 'store-read', startedAt, table, ...(voters && { voters }) })
      }
    } finally {
      this.#isReading = false
    }
  }

  async #poll(): Promise<void> {
    const { clock, isPoller } = this.options
    const confirmedAge = clock.now() - (this.#state.confirmedAt ?? -Infinity)
    if (isPoller() || confirmedAge > PEER_CONFIRMATION_FOR) await this.readStore()
  }

  #propose(proposal: Proposal): Promise<ChangeOutcome> {
    return new Promise(resolve => {
      this.#answers.set(proposal.id, resolve)
      this.#task.post({ type: 'propose', proposal })
    })
  }

  /** Becomes a voter, and drops voters that are gone. */
  async #register(): Promise<void> {
    const { self } = this.options
    const { voters, gone } = this.#state
    if (this.#registering || this.isStoreOut() || this.#state.storeReadAt === undefined) return
    const isMember = voters?.voters.includes(self)
    const hasGone = voters?.voters.some(voter => gone.has(voter))
    const isFirst = voters?.voters.find(voter => !gone.has(voter)) === self
    if (isMember && !(hasGone && isFirst)) return
    this.#registering = true
    const set = nextVoterSet(voters, self, gone)
    const id = `voters-${set.epoch}-${self}-${this.options.clock.now().toFixed(3)}`
    await this.#propose({ id, content: { kind: 'voters', set } })
    this.#registering = false
  }

  #run(effect: TableEffect): void {
    switch (effect.type) {
      case 'announce':
        return this.options.sendToAll({ type: 'announcement', proposal: effect.proposal })
      case 'confirm-announcement':
        return this.options.send(effect.to, { type: 'announcement-heard', id: effect.id })
      case 'commit':
        return void this.#commit(effect.proposal)
      case 'answer':
        this.#answers.get(effect.id)?.(effect.outcome)
        this.#answers.delete(effect.id)
        return
      case 'tell-settled': {
        return this.options.sendToAll({ ...effect, type: 'settled' })
      }
      case 'settle':
        return void this.#settle(effect.proposal)
      case 'table-changed':
        this.options.log.info({ revision: effect.table.revision }, 'the table has changed')
        return this.#changeListeners.forEach(listener => listener(effect.table))
      case 'fetch-table':
        return this.options.send(effect.from, { type: 'table-request', above: effect.above })
      case 'store-went-back':
        return this.options.log.error(
          { floor: effect.floor, shown: effect.shown },
          'the store shows an older table than was accepted; the newer copy is kept, changes are refused',
        )
    }
  }

  async #commit(proposal: Proposal): Promise<void> {
    const outcome = await this.#writeUnlessBack(proposal)
    this.#task.post({ type: 'commit-answered', id: proposal.id, outcome })
    if (outcome.outcome === 'accepted') void this.readStore()
  }

  #writeUnlessBack(proposal: Proposal): Promise<ChangeOutcome> {
    if (!this.#state.storeWentBack) return this.#writer.write(proposal)
    return Promise.resolve({
      outcome: 'refused',
      message: 'the store was set back to an older table; restore it before changing the table',
    })
  }

  /** Settles a proposal whose proposer has gone quiet. */
  async #settle(proposal: Proposal): Promise<void> {
    const outcome = await this.#writer.fence(proposal.id)
    if (!outcome || outcome.outcome === 'pending') return
    const settled =
      outcome.outcome === 'accepted'
        ? { id: proposal.id, accepted: true, revision: outcome.revision }
        : { id: proposal.id, accepted: false }
    this.#task.post({ type: 'settled', ...settled })
    this.options.sendToAll({ type: 'settled', ...settled })
  }
}
