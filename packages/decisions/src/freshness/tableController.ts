import type { Milliseconds } from '../types/clock.js'
import { createTransition, type HandlerTable, type MessageOf } from '../types/transition.js'
import { hasMajority, type VoterSet } from '../membership/voters.js'
import { applyChange, type Table, type TableChange } from '../table/table.js'
import { isStoreOut, relevantVoterSets } from './resolveFreshness.js'
import type {
  OpenProposal,
  OwnProposal,
  PeerWord,
  Proposal,
  TableEffect,
  TableMessage,
  TableState,
} from './tableState.js'

type Of<Type extends TableMessage['type']> = MessageOf<TableMessage, Type>

const HANDLERS: HandlerTable<TableState, TableMessage, TableEffect> = {
  propose: startProposal,
  announcement: hearAnnouncement,
  'announcement-heard': countAnnouncement,
  'commit-answered': finishProposal,
  settled: settleProposal,
  'store-read': takeStoreRead,
  'changes-heard': takeChanges,
  'table-heard': takeTable,
  'peer-word': takePeerWord,
  'voter-gone': forgetVoter,
  tick: watchProposals,
}

/** Decides which table a box holds, how sure it is of it, and how a change becomes accepted. */
export const tableTransition = createTransition(HANDLERS)

/** The tables that a request must satisfy: the copy, and the copy as each open change would leave it. */
export function resolveTablesInDoubt(state: TableState): Table[] {
  const doubtful = [...state.open.values()].flatMap(({ content }) =>
    content.kind === 'change'
      ? [applyChange(state.table, content.change, state.table.revision)]
      : [],
  )
  return [state.table, ...doubtful]
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
  state.open.set(proposal.id, { ...proposal, heardAt: now })
  return [{ type: 'announce', proposal }, ...commitWhenAnnounced(state, own)]
}

function hearAnnouncement(
  state: TableState,
  { from, proposal }: Of<'announcement'>,
  now: Milliseconds,
): TableEffect[] {
  openProposal(state, proposal, now)
  return [{ type: 'confirm-announcement', to: from, id: proposal.id }]
}

function countAnnouncement(state: TableState, { id, by }: Of<'announcement-heard'>): TableEffect[] {
  const own = state.own.get(id)
  if (!own || own.step !== 'announcing') return []
  own.announcedTo.add(by)
  return commitWhenAnnounced(state, own)
}

/** The store is written to only when a majority of each relevant set knows what may come. */
function commitWhenAnnounced(state: TableState, own: OwnProposal): TableEffect[] {
  const others = relevantVoterSets(state).filter(set => !isOwnSet(own.proposal, set))
  const known = others.every(set =>
    hasMajority(set, voter => own.announcedTo.has(voter) || state.gone.has(voter)),
  )
  if (!known) return []
  own.step = 'committing'
  return [{ type: 'commit', proposal: own.proposal }]
}

function isOwnSet(proposal: Proposal, set: VoterSet): boolean {
  return proposal.content.kind === 'voters' && proposal.content.set === set
}

function finishProposal(state: TableState, { id, outcome }: Of<'commit-answered'>): TableEffect[] {
  if (!state.own.delete(id)) return []
  const answer: TableEffect = { type: 'answer', id, outcome }
  // While nobody knows whether the write took effect, the proposal stays open everywhere.
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
    takeVoters(state, open.content.set)
    return []
  }
  return takeAccepted(state, open, open.content.change, revision ?? state.table.revision + 1)
}

/** Applies the next revision at once; a later one stays open, and so honoured, until the copy holds it. */
function takeAccepted(
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

function takeStoreRead(
  state: TableState,
  { startedAt, table, voters }: Of<'store-read'>,
): TableEffect[] {
  state.storeReadAt = Math.max(state.storeReadAt ?? startedAt, startedAt)
  if (table.revision < Math.max(state.floor, state.table.revision)) {
    return noteStoreWentBack(state, startedAt, table.revision)
  }
  state.storeWentBack = false
  takeVoters(state, voters)
  const effects = replaceTable(state, table)
  confirm(state, startedAt)
  return effects
}

/** A late answer may show an older revision; one that was asked for after the newest was confirmed may not. */
function noteStoreWentBack(
  state: TableState,
  startedAt: Milliseconds,
  shown: number,
): TableEffect[] {
  const isLate = state.confirmedAt !== undefined && startedAt <= state.confirmedAt
  if (isLate || state.storeWentBack) return []
  state.storeWentBack = true
  return [{ type: 'store-went-back', floor: Math.max(state.floor, state.table.revision), shown }]
}

function takeChanges(state: TableState, { changes }: Of<'changes-heard'>): TableEffect[] {
  const inOrder = changes.toSorted((left, right) => left.revision - right.revision)
  let table = state.table
  for (const change of inOrder) {
    state.floor = Math.max(state.floor, change.revision)
    if (change.revision === table.revision + 1) table = applyChange(table, change, change.revision)
    const open = state.open.get(change.changeId)
    if (open) open.acceptedRevision = change.revision
  }
  closeHeld(state, table)
  return replaceTable(state, table)
}

/** A change that the copy holds is no longer in doubt. */
function closeHeld(state: TableState, table: Table): void {
  for (const [id, open] of state.open) {
    if ((open.acceptedRevision ?? Infinity) <= table.revision) state.open.delete(id)
  }
}

function takeTable(state: TableState, { table, voters }: Of<'table-heard'>): TableEffect[] {
  takeVoters(state, voters)
  if (table.revision <= state.table.revision) return []
  return replaceTable(state, table)
}

function takePeerWord(
  state: TableState,
  { from, word, open, voters }: Of<'peer-word'>,
  now: Milliseconds,
): TableEffect[] {
  const known = state.peers.get(from)
  if (known && known.asOf > word.asOf) return []
  state.peers.set(from, word)
  takeVoters(state, voters)
  for (const proposal of open) openProposal(state, proposal, now)
  state.floor = Math.max(state.floor, word.revision)
  if (word.revision > state.table.revision) {
    return [{ type: 'fetch-table', from, above: state.table.revision }]
  }
  confirmFromPeer(state, word)
  return []
}

function confirmFromPeer(state: TableState, word: PeerWord): void {
  if (word.revision !== state.table.revision || word.confirmedAt === undefined) return
  confirm(state, word.confirmedAt)
}

function forgetVoter(state: TableState, { voter }: Of<'voter-gone'>): TableEffect[] {
  state.gone.add(voter)
  state.peers.delete(voter)
  return [...state.own.values()]
    .filter(own => own.step === 'announcing')
    .flatMap(own => commitWhenAnnounced(state, own))
}

function watchProposals(state: TableState, _message: Of<'tick'>, now: Milliseconds): TableEffect[] {
  const effects: TableEffect[] = []
  for (const [id, own] of state.own) {
    if (own.step !== 'announcing' || now - own.startedAt <= state.limits.announceFor) continue
    const message =
      'no majority of the boxes could be told of the change, so it was not written; try again when they can be reached'
    effects.push(
      ...finishProposal(state, {
        type: 'commit-answered',
        id,
        outcome: { outcome: 'refused', message },
      }),
    )
  }
  if (isStoreOut(state, now)) return effects
  for (const open of state.open.values()) {
    if (state.own.has(open.id) || now - open.heardAt <= state.limits.settleAfter) continue
    open.heardAt = now
    effects.push({ type: 'settle', proposal: { id: open.id, content: open.content } })
  }
  return effects
}

function openProposal(state: TableState, proposal: Proposal, now: Milliseconds): void {
  if (state.open.has(proposal.id) || isInForce(state, proposal)) return
  state.open.set(proposal.id, { ...proposal, heardAt: now })
}

function isInForce(state: TableState, { content }: Proposal): boolean {
  return content.kind === 'voters' && content.set.epoch <= (state.voters?.epoch ?? 0)
}

function takeVoters(state: TableState, voters: VoterSet | undefined): void {
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
  closeHeld(state, table)
  // The evidence was for the older copy.
  delete state.confirmedAt
  for (const word of state.peers.values()) confirmFromPeer(state, word)
  return [{ type: 'table-changed', table }]
}

function confirm(state: TableState, at: Milliseconds): void {
  state.confirmedAt = Math.max(state.confirmedAt ?? at, at)
}
