import {
  applyChange,
  boxOfVoter,
  createTable,
  createTableState,
  DEFAULT_FRESHNESS_LIMITS,
  isStoreOut,
  nextVoterSet,
  planAcceptance,
  resolveFreshness,
  resolveRights,
  resolveTablesInDoubt,
  sleep,
  TABLE_KEYS,
  tableTransition,
  VOTERS_KEY,
  type AcceptedChange,
  type ChangeOutcome,
  type Clock,
  type Freshness,
  type FreshnessLimits,
  type Milliseconds,
  type Proposal,
  type Rights,
  type StoreRow,
  type Table,
  type TableChange,
  type TableEffect,
  type TableHead,
  type TableMessage,
  type TableRow,
  type TableService,
  type TableSnapshot,
  type TableState,
  type VoterId,
  type VoterSet,
} from '@yewkeel/decisions'
import type { PeerMessage } from '../types/peerMessage.js'
import type { Log } from '../types/ports.js'
import { createTask, type Task } from './createTask.js'
import { every } from './every.js'

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
/** Beyond this many missing revisions the snapshot is read instead of the changes. */
const LARGEST_CATCH_UP = 64
const RESOLVE_TRIES = 20
const RESOLVE_PAUSE: Milliseconds = 250
const REGISTER_EVERY: Milliseconds = 1_000

/** Owns a box's copy of the table: reads the store, hears peers, and writes changes for operators. */
export class TableTask {
  readonly #state: TableState
  readonly #task: Task<TableMessage>
  readonly #answers = new Map<string, (outcome: ChangeOutcome) => void>()
  readonly #changeListeners: ((table: Table) => void)[] = []
  #rights: { table: Table; open: number; rights: Rights[] } | undefined
  #isReading = false
  #registering = false
  #timers: { cancel(): void }[] = []

  constructor(private readonly options: TableTaskOptions) {
    const { self, clock, limits = DEFAULT_FRESHNESS_LIMITS, log } = options
    this.#state = createTableState(self, clock.now(), limits)
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
    const { table, open } = this.#state
    const known = this.#rights
    if (known && known.table === table && known.open === open.size && open.size === 0) {
      return known.rights
    }
    const rights = resolveTablesInDoubt(this.#state).map(resolveRights)
    this.#rights = { table, open: open.size, rights }
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
      const table = await this.#readTable(head)
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

  async #readTable(head: number): Promise<Table | undefined> {
    const copy = this.#state.table
    if (head === copy.revision) return copy
    if (head < copy.revision) return { revision: head, rows: new Map() }
    if (head - copy.revision <= LARGEST_CATCH_UP) return this.#readChanges(copy, head)
    const answer = await this.options.table.read([TABLE_KEYS.snapshot])
    if (answer.outcome !== 'read') return undefined
    const snapshot = parseRow<TableSnapshot>(answer.rows[0])
    return snapshot && createTable(snapshot.revision, snapshot.rows)
  }

  async #readChanges(copy: Table, head: number): Promise<Table | undefined> {
    const answer = await this.options.table.list(TABLE_KEYS.changePrefix, {
      after: TABLE_KEYS.change(copy.revision),
      limit: LARGEST_CATCH_UP,
    })
    if (answer.outcome !== 'read') return undefined
    const changes = answer.rows.map(row => JSON.parse(row.value) as AcceptedChange)
    this.#task.post({ type: 'changes-heard', changes })
    const table = changes.reduce(
      (table, change) =>
        change.revision === table.revision + 1
          ? applyChange(table, change, change.revision)
          : table,
      copy,
    )
    return table.revision >= head ? table : undefined
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
    const outcome = await this.#write(proposal)
    this.#task.post({ type: 'commit-answered', id: proposal.id, outcome })
    if (outcome.outcome === 'accepted') void this.readStore()
  }

  #write({ id, content }: Proposal): Promise<ChangeOutcome> {
    if (this.#state.storeWentBack) {
      return Promise.resolve({
        outcome: 'refused',
        message: 'the store was set back to an older table; restore it before changing the table',
      })
    }
    return content.kind === 'change'
      ? this.#writeChange(content.change)
      : this.#writeVoters(id, content.set)
  }

  async #writeChange(change: TableChange): Promise<ChangeOutcome> {
    const { table, clock } = this.options
    for (let tries = 0; tries < RESOLVE_TRIES; tries++) {
      const basis = await this.#readBasis(change)
      if (!basis)
        return { outcome: 'refused', message: 'the store does not answer; nothing was written' }
      if ('outcome' in basis) return basis
      const plan = planAcceptance(change, basis, clock.wallTime())
      if (plan.plan === 'stop') return plan.result
      const outcome = await table.commit(plan.transaction)
      if (outcome === 'committed') return { outcome: 'accepted', revision: plan.accepted.revision }
      if (outcome === 'unavailable') {
        return { outcome: 'refused', message: 'the store does not answer; nothing was written' }
      }
      if (outcome === 'unknown') return this.#resolveUnknown(change.changeId)
    }
    return {
      outcome: 'refused',
      message: 'other changes went before this one each time; try again',
    }
  }

  async #readBasis(change: TableChange) {
    const { table } = this.options
    const [rows, later] = await Promise.all([
      table.read([TABLE_KEYS.head, TABLE_KEYS.snapshot, TABLE_KEYS.changeId(change.changeId)]),
      table.list(TABLE_KEYS.changePrefix, { after: TABLE_KEYS.change(change.baseRevision) }),
    ])
    if (rows.outcome !== 'read' || later.outcome !== 'read') return undefined
    const found = byKey(rows.rows)
    const earlier = found.get(TABLE_KEYS.changeId(change.changeId))
    if (earlier) return outcomeOfRow(earlier)
    const snapshot = parseRow<TableSnapshot>(found.get(TABLE_KEYS.snapshot))
    return {
      table: createTable(snapshot?.revision ?? 0, snapshot?.rows ?? []),
      headVersion: found.get(TABLE_KEYS.head)?.version ?? 0,
      laterChanges: later.rows.map(row => JSON.parse(row.value) as AcceptedChange),
    }
  }

  async #writeVoters(id: string, set: VoterSet): Promise<ChangeOutcome> {
    const { table } = this.options
    const answer = await table.read([VOTERS_KEY])
    if (answer.outcome !== 'read')
      return { outcome: 'refused', message: 'the store does not answer' }
    const row = answer.rows[0]
    if ((parseRow<VoterSet>(row)?.epoch ?? 0) !== set.epoch - 1) {
      return { outcome: 'refused', message: 'another set of voters went before' }
    }
    const outcome = await table.commit({
      conditions: [
        { key: VOTERS_KEY, version: row?.version ?? 0 },
        { key: TABLE_KEYS.changeId(id), version: 0 },
      ],
      writes: [
        { key: VOTERS_KEY, value: JSON.stringify(set) },
        { key: TABLE_KEYS.changeId(id), value: JSON.stringify({ revision: set.epoch }) },
      ],
    })
    if (outcome === 'committed') return { outcome: 'accepted', revision: set.epoch }
    if (outcome === 'unknown') return this.#resolveUnknown(id)
    return { outcome: 'refused', message: 'the store did not take the set of voters' }
  }

  /** The answer to a write was lost. A tombstone in its place makes sure that it cannot take effect later. */
  async #resolveUnknown(id: string): Promise<ChangeOutcome> {
    for (let tries = 0; tries < RESOLVE_TRIES; tries++) {
      const outcome = await this.#fence(id)
      if (outcome) return outcome
      await sleep(this.options.clock, RESOLVE_PAUSE)
    }
    return {
      outcome: 'pending',
      message:
        'the store took the write or lost it, and does not answer; ask again with the id of the change',
    }
  }

  async #fence(id: string): Promise<ChangeOutcome | undefined> {
    const key = TABLE_KEYS.changeId(id)
    const written = await this.options.table.commit({
      conditions: [{ key, version: 0 }],
      writes: [{ key, value: JSON.stringify({ refused: true }) }],
    })
    if (written === 'committed') {
      return { outcome: 'refused', message: 'the store lost the write; nothing was written' }
    }
    const answer = await this.options.table.read([key])
    const row = answer.outcome === 'read' ? answer.rows[0] : undefined
    return row && outcomeOfRow(row)
  }

  /** Settles a proposal whose proposer has gone quiet. */
  async #settle(proposal: Proposal): Promise<void> {
    const outcome = await this.#fence(proposal.id)
    if (!outcome || outcome.outcome === 'pending') return
    const settled =
      outcome.outcome === 'accepted'
        ? { id: proposal.id, accepted: true, revision: outcome.revision }
        : { id: proposal.id, accepted: false }
    this.#task.post({ type: 'settled', ...settled })
    this.options.sendToAll({ type: 'settled', ...settled })
  }
}

/** Names of the boxes in a set of voters. */
export function boxesOf(set: VoterSet | undefined): string[] {
  return (set?.voters ?? []).map(boxOfVoter)
}

function outcomeOfRow(row: StoreRow): ChangeOutcome {
  const value = JSON.parse(row.value) as { revision?: number; refused?: boolean }
  if (value.revision !== undefined) return { outcome: 'accepted', revision: value.revision }
  return { outcome: 'refused', message: 'the change was given up after its write was lost' }
}

function byKey(rows: readonly StoreRow[]): Map<string, StoreRow> {
  return new Map(rows.map(row => [row.key, row]))
}

function parseRow<T>(row: StoreRow | undefined): T | undefined {
  return row && (JSON.parse(row.value) as T)
}
