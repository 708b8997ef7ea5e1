import {
  createTable,
  planAcceptance,
  sleep,
  TABLE_KEYS,
  VOTERS_KEY,
  type AcceptedChange,
  type ChangeOutcome,
  type Clock,
  type Milliseconds,
  type Proposal,
  type TableChange,
  type TableService,
  type TableSnapshot,
  type VoterSet,
} from '@yewkeel/decisions'
import { byKey, outcomeOfRow, parseRow } from './tableRows.js'

/** Applies to writes that conflict with other changes, and to resolving an unknown outcome. */
const MAX_ATTEMPTS = 20
const RESOLVE_RETRY_DELAY: Milliseconds = 250

/** Writes proposals to the store. The caller has announced them to a majority before. */
export class ProposalWriter {
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
  ) {}

  /** Writes a proposal; if the outcome of the write is unknown, resolves it with a tombstone. */
  write({ id, content }: Proposal): Promise<ChangeOutcome> {
    return content.kind === 'change'
      ? this.#writeChange(content.change)
      : this.#writeVoters(id, content.set)
  }

  async #writeChange(change: TableChange): Promise<ChangeOutcome> {
    const { table, clock } = this
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
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
    const { table } = this
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
    const { table } = this
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

  /** Resolves a write with an unknown outcome, retrying while the store is unavailable. */
  async #resolveUnknown(id: string): Promise<ChangeOutcome> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const outcome = await this.resolveOutcome(id)
      if (outcome) return outcome
      await sleep(this.clock, RESOLVE_RETRY_DELAY)
    }
    return {
      outcome: 'pending',
      message:
        'the store took the write or lost it, and does not answer; ask again with the id of the change',
    }
  }

  /**
   * Writes a tombstone for a proposal, so that a delayed write of it fails, or returns its outcome
   * if it already has one. Undefined while the store is unavailable.
   */
  async resolveOutcome(id: string): Promise<ChangeOutcome | undefined> {
    const key = TABLE_KEYS.changeId(id)
    const written = await this.table.commit({
      conditions: [{ key, version: 0 }],
      writes: [{ key, value: JSON.stringify({ refused: true }) }],
    })
    if (written === 'committed') {
      return { outcome: 'refused', message: 'the store lost the write; nothing was written' }
    }
    const answer = await this.table.read([key])
    const row = answer.outcome === 'read' ? answer.rows[0] : undefined
    return row && outcomeOfRow(row)
  }
}
