import {
  createTable,
  createTableState,
  DEFAULT_FRESHNESS_LIMITS,
  isStoreOut,
  nextVoterSet,
  resolveFreshness,
  resolveRights,
  resolvePossibleTables,
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
import { logTaskFailure } from './logTaskFailure.js'
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
  /** Whether this box polls the store; the others learn its revision from heartbeats. */
  isPoller(): boolean
}

const POLL_INTERVAL: Milliseconds = 500
/** Age of the last confirmation from which a box that doesn't poll reads the store itself. */
const MAX_CONFIRMATION_AGE: Milliseconds = 1_200
const REGISTER_INTERVAL: Milliseconds = 1_000

/** Owns a box's table replica: polls the store, merges peers' updates, writes changes. */
export class TableTask {
  readonly #state: TableState
  readonly #task: Task<TableMessage>
  readonly #pendingProposals = new Map<string, (outcome: ChangeOutcome) => void>()
  readonly #changeListeners: ((table: Table) => void)[] = []
  #rightsCache: { table: Table; open: string; rights: Rights[] } | undefined
  readonly #writer: ProposalWriter
  #isReading = false
  #isRegistering = false
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
    const { clock, log } = this.options
    void this.readStore()
    this.#timers = [
      every(clock, POLL_INTERVAL, () => this.#poll(), logTaskFailure(log, 'table poll')),
      every(
        clock,
        POLL_INTERVAL,
        () => this.#task.post({ type: 'tick' }),
        logTaskFailure(log, 'table tick'),
      ),
      every(clock, REGISTER_INTERVAL, () => this.#register(), logTaskFailure(log, 'registration')),
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

  /** The table's store, for operators' queries. */
  get store(): TableService {
    return this.options.table
  }

  /** Receives a whole table from a peer. */
  receiveTable(reply: { revision: number; rows: TableRow[]; voters?: VoterSet }): void {
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

  /** Rights that a request must all satisfy: by the replica, and with open changes applied. */
  rights(): Rights[] {
    const { table } = this.#state
    // Cached, because resolving the rights passes over the whole table.
    const open = [...this.#state.open.keys()].join('\n')
    const cached = this.#rightsCache
    if (cached && cached.table === table && cached.open === open) return cached.rights
    const rights = resolvePossibleTables(this.#state).map(resolveRights)
    this.#rightsCache = { table, open, rights }
    return rights
  }

  /** Submits a change. Resolves once accepted or refused, or `pending` while that is unknown. */
  propose(change: TableChange): Promise<ChangeOutcome> {
    return this.#propose({ id: change.changeId, content: { kind: 'change', change } })
  }

  /** Looks up the outcome of a change that was submitted before. */
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

  /** Reads the head revision and the voter set, and updates the replica. */
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
    if (isPoller() || confirmedAge > MAX_CONFIRMATION_AGE) await this.readStore()
  }

  #propose(proposal: Proposal): Promise<ChangeOutcome> {
    return new Promise(resolve => {
      this.#pendingProposals.set(proposal.id, resolve)
      this.#task.post({ type: 'propose', proposal })
    })
  }

  /** Adds this box to the voter set; the first live voter also removes exited ones. */
  async #register(): Promise<void> {
    const { self } = this.options
    const { voters, gone } = this.#state
    if (this.#isRegistering || this.isStoreOut() || this.#state.storeReadAt === undefined) return
    const isMember = voters?.voters.includes(self)
    const hasGoneVoters = voters?.voters.some(voter => gone.has(voter))
    const isFirst = voters?.voters.find(voter => !gone.has(voter)) === self
    if (isMember && !(hasGoneVoters && isFirst)) return
    this.#isRegistering = true
    const set = nextVoterSet(voters, self, gone)
    const id = `voters-${set.epoch}-${self}-${this.options.clock.now().toFixed(3)}`
    await this.#propose({ id, content: { kind: 'voters', set } })
    this.#isRegistering = false
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
        this.#pendingProposals.get(effect.id)?.(effect.outcome)
        this.#pendingProposals.delete(effect.id)
        return
      case 'tell-settled': {
        return this.options.sendToAll({ ...effect, type: 'settled' })
      }
      case 'settle':
        return void this.#settle(effect.proposal)
      case 'table-changed':
        this.options.log.info({ revision: effect.table.revision }, 'the table replica was updated')
        return this.#changeListeners.forEach(listener => listener(effect.table))
      case 'fetch-table':
        return this.options.send(effect.from, { type: 'table-request', above: effect.above })
      case 'store-went-back':
        return this.options.log.error(
          { floor: effect.floor, shown: effect.shown },
          'the store is behind an accepted revision; keeping the newer replica, refusing changes',
        )
    }
  }

  async #commit(proposal: Proposal): Promise<void> {
    const outcome = await this.#writeUnlessRolledBack(proposal)
    this.#task.post({ type: 'commit-answered', id: proposal.id, outcome })
    if (outcome.outcome === 'accepted') void this.readStore()
  }

  #writeUnlessRolledBack(proposal: Proposal): Promise<ChangeOutcome> {
    if (!this.#state.storeWentBack) return this.#writer.write(proposal)
    return Promise.resolve({
      outcome: 'refused',
      message: 'the store was set back to an older table; restore it before changing the table',
    })
  }

  /** Settles a proposal whose proposer has stopped responding. */
  async #settle(proposal: Proposal): Promise<void> {
    const outcome = await this.#writer.resolveOutcome(proposal.id)
    if (!outcome || outcome.outcome === 'pending') return
    const settled =
      outcome.outcome === 'accepted'
        ? { id: proposal.id, accepted: true, revision: outcome.revision }
        : { id: proposal.id, accepted: false }
    this.#task.post({ type: 'settled', ...settled })
    this.options.sendToAll({ type: 'settled', ...settled })
  }
}
