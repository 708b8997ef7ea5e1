import type { Milliseconds } from '../types/clock.js'
import { createTransition, type HandlerTable, type MessageOf } from '../types/transition.js'
import { hasMajority, type VoterSet } from '../membership/voters.js'
import { applyChange, type Table, type TableChange } from '../table/table.js'
import { isStoreOut, relevantVoterSets } from './resolveFreshness.js'
import type {
  OpenProposal,
  OwnProposal,
  PeerReport,
  Proposal,
  TableEffect,
  TableMessage,
  TableState,
} from './tableState.js'

type Of<Type extends TableMessage['type']> = MessageOf<TableMessage, Type>

const HANDLERS: HandlerTable<TableState, TableMessage, TableEffect> = {
  propose: startProposal,
  announcement: acknowledgeAnnouncement,
  'announcement-heard': recordAcknowledgement,
  'commit-answered': handleCommitOutcome,
  settled: settleProposal,
  'store-read': applyStoreRead,
  'changes-heard': applyReceivedChanges,
  'table-heard': applyReceivedTable,
  'peer-word': recordPeerReport,
  'voter-gone': removeVoter,
  tick: checkProposalTimeouts,
}

/**
 * Replicates the table to one box: which revision it holds, when that was last confirmed, and how
 * proposed changes are announced, committed and settled.
 */
export const tableTransition = createTransition(HANDLERS)

/** The tables that a request must satisfy: the copy, and the copy with each open change applied. */
export function resolvePossibleTables(state: TableState): Table[] {
  const withOpenChange = [...state.open.values()].flatMap(({ content }) =>
    content.kind === 'change'
      ? [applyChange(state.table, content.change, state.table.revision)]
      : [],
  )
  return [state.table, ...withOpenChange]
}

function startProposal(
  state: TableState,
  { proposal }: Of<'propose'>,
  now: Milliseconds,
): TableEffect[] {
  if (state.own.has(proposal.id)) return []
  const own: OwnProposal = {
    proposal,
    startedAt: now,
    step: 'announcing',
    announcedTo: new Set([state.self]),
  }
  state.own.set(proposal.id, own)
  state.open.set(proposal.id, { ...proposal, receivedAt: now })
  return [{ type: 'announce', proposal }, ...commitAfterMajority(state, own)]
}

function acknowledgeAnnouncement(
  state: TableState,
  { from, proposal }: Of<'announcement'>,
  now: Milliseconds,
): TableEffect[] {
  openProposal(state, proposal, now)
  return [{ type: 'confirm-announcement', to: from, id: proposal.id }]
}

function recordAcknowledgement(
  state: TableState,
  { id, by }: Of<'announcement-heard'>,
): TableEffect[] {
  const own = state.own.get(id)
  if (!own || own.step !== 'announcing') return []
  own.announcedTo.add(by)
  return commitAfterMajority(state, own)
}

/**
 * Commits once a majority of each relevant voter set has acknowledged the announcement or is gone.
 */
function commitAfterMajority(state: TableState, own: OwnProposal): TableEffect[] {
  const others = relevantVoterSets(state).filter(set => !proposesSet(own.proposal, set))
  const isAcknowledged = others.every(set =>
    hasMajority(set, voter => own.announcedTo.has(voter) || state.gone.has(voter)),
  )
  if (!isAcknowledged) return []
  own.step = 'committing'
  return [{ type: 'commit', proposal: own.proposal }]
}

function proposesSet(proposal: Proposal, set: VoterSet): boolean {
  return proposal.content.kind === 'voters' && proposal.content.set === set
}

function handleCommitOutcome(
  state: TableState,
  { id, outcome }: Of<'commit-answered'>,
): TableEffect[] {
  if (!state.own.delete(id)) return []
  const answer: TableEffect = { type: 'answer', id, outcome }
  // The write may or may not have been applied, so the proposal stays open on all boxes.
  if (outcome.outcome === 'pending') return [answer]
  const settled =
    outcome.outcome === 'accepted'
      ? { id, accepted: true, revision: outcome.revision }
      : { id, accepted: false }
  return [
    answer,
    { type: 'tell-settled', ...settled },
    ...settleProposal(state, { type: 'settled', ...settled }),
  ]
}

function settleProposal(
  state: TableState,
  { id, accepted, revision }: Of<'settled'>,
): TableEffect[] {
  const open = state.open.get(id)
  if (!open) return []
  if (!accepted) {
    state.open.delete(id)
    return []
  }
  if (open.content.kind === 'voters') {
    state.open.delete(id)
    adoptVoterSet(state, open.content.set)
    return []
  }
  return applyAcceptedChange(state, open, open.content.change, revision ?? state.table.revision + 1)
}

/**
 * Applies the next revision; a later one stays open, and so enforced, until the copy contains it.
 */
function applyAcceptedChange(
  state: TableState,
  open: OpenProposal,
  change: TableChange,
  revision: number,
): TableEffect[] {
  open.acceptedRevision = revision
  state.floor = Math.max(state.floor, revision)
  if (revision <= state.table.revision) {
    state.open.delete(open.id)
    return []
  }
  if (revision > state.table.revision + 1) return []
  return replaceTable(state, applyChange(state.table, change, revision))
}

function applyStoreRead(
  state: TableState,
  { startedAt, table, voters }: Of<'store-read'>,
): TableEffect[] {
  state.storeReadAt = Math.max(state.storeReadAt ?? startedAt, startedAt)
  if (table.revision < Math.max(state.floor, state.table.revision)) {
    return reportStoreRegression(state, startedAt, table.revision)
  }
  state.storeWentBack = false
  adoptVoterSet(state, voters)
  const effects = replaceTable(state, table)
  confirm(state, startedAt)
  return effects
}

/**
 * Reports a revision rollback of the store. Reads sent before the last confirmation may be older
 * and are ignored.
 */
function reportStoreRegression(
  state: TableState,
  startedAt: Milliseconds,
  shown: number,
): TableEffect[] {
  const isLate = state.confirmedAt !== undefined && startedAt <= state.confirmedAt
  if (isLate || state.storeWentBack) return []
  state.storeWentBack = true
  return [{ type: 'store-went-back', floor: Math.max(state.floor, state.table.revision), shown }]
}

function applyReceivedChanges(state: TableState, { changes }: Of<'changes-heard'>): TableEffect[] {
  const inOrder = changes.toSorted((left, right) => left.revision - right.revision)
  let table = state.table
  for (const change of inOrder) {
    state.floor = Math.max(state.floor, change.revision)
    if (change.revision === table.revision + 1) table = applyChange(table, change, change.revision)
    const open = state.open.get(change.changeId)
    if (open) open.acceptedRevision = change.revision
  }
  closeAppliedProposals(state, table)
  return replaceTable(state, table)
}

/** Closes accepted proposals that `table` contains. */
function closeAppliedProposals(state: TableState, table: Table): void {
  for (const [id, open] of state.open) {
    if ((open.acceptedRevision ?? Infinity) <= table.revision) state.open.delete(id)
  }
}

function applyReceivedTable(
  state: TableState,
  { table, voters }: Of<'table-heard'>,
): TableEffect[] {
  adoptVoterSet(state, voters)
  if (table.revision <= state.table.revision) return []
  return replaceTable(state, table)
}

function recordPeerReport(
  state: TableState,
  { from, word: report, open, voters }: Of<'peer-word'>,
  now: Milliseconds,
): TableEffect[] {
  const known = state.peers.get(from)
  if (known && known.asOf > report.asOf) return []
  state.peers.set(from, report)
  adoptVoterSet(state, voters)
  for (const proposal of open) openProposal(state, proposal, now)
  state.floor = Math.max(state.floor, report.revision)
  if (report.revision > state.table.revision) {
    return [{ type: 'fetch-table', from, above: state.table.revision }]
  }
  confirmFromPeer(state, report)
  return []
}

function confirmFromPeer(state: TableState, report: PeerReport): void {
  if (report.revision !== state.table.revision || report.confirmedAt === undefined) return
  confirm(state, report.confirmedAt)
}

function removeVoter(state: TableState, { voter }: Of<'voter-gone'>): TableEffect[] {
  state.gone.add(voter)
  state.peers.delete(voter)
  return [...state.own.values()]
    .filter(own => own.step === 'announcing')
    .flatMap(own => commitAfterMajority(state, own))
}

function checkProposalTimeouts(
  state: TableState,
  _message: Of<'tick'>,
  now: Milliseconds,
): TableEffect[] {
  const effects: TableEffect[] = []
  for (const [id, own] of state.own) {
    if (own.step !== 'announcing' || now - own.startedAt <= state.limits.announceFor) continue
    const message =
      'no majority of the boxes could be told of the change, so it was not written; try again when they can be reached'
    effects.push(
      ...handleCommitOutcome(state, {
        type: 'commit-answered',
        id,
        outcome: { outcome: 'refused', message },
      }),
    )
  }
  if (isStoreOut(state, now)) return effects
  for (const open of state.open.values()) {
    if (state.own.has(open.id) || now - open.receivedAt <= state.limits.settleAfter) continue
    open.receivedAt = now
    effects.push({ type: 'settle', proposal: { id: open.id, content: open.content } })
  }
  return effects
}

function openProposal(state: TableState, proposal: Proposal, now: Milliseconds): void {
  if (state.open.has(proposal.id) || isInForce(state, proposal)) return
  state.open.set(proposal.id, { ...proposal, receivedAt: now })
}

function isInForce(state: TableState, { content }: Proposal): boolean {
  return content.kind === 'voters' && content.set.epoch <= (state.voters?.epoch ?? 0)
}

function adoptVoterSet(state: TableState, voters: VoterSet | undefined): void {
  if (!voters || voters.epoch <= (state.voters?.epoch ?? 0)) return
  state.voters = voters
  for (const [id, open] of state.open) {
    if (isInForce(state, open)) state.open.delete(id)
  }
}

function replaceTable(state: TableState, table: Table): TableEffect[] {
  if (table.revision <= state.table.revision) return []
  state.table = table
  state.floor = Math.max(state.floor, table.revision)
  closeAppliedProposals(state, table)
  // The confirmation was for the previous revision.
  delete state.confirmedAt
  for (const report of state.peers.values()) confirmFromPeer(state, report)
  return [{ type: 'table-changed', table }]
}

function confirm(state: TableState, at: Milliseconds): void {
  state.confirmedAt = Math.max(state.confirmedAt ?? at, at)
}
