/**
 * Keeps bills from the moment a request goes to an upstream until the store has them.
 *
 * A bill is one row of the store under the request's id, created only if absent: whoever writes it and
 * however often, it stands once. Until it is written it is held by this box and by witnesses in other data
 * centres. The caller gets the first byte only when the witnesses hold the open bill, and the last byte only
 * when they hold the closed one. A witness that finds the owner gone takes its bills over as its own.
 */
import { createTransition, type HandlerTable, type MessageOf } from '../types/transition.js'
import type { VoterId } from '../membership/voters.js'
import type { Bill } from './bill.js'

/** Limits of a ledger. */
export interface LedgerLimits {
  /** Bills of this box that wait for the store. Beyond it new work is refused. */
  waitingBills: number
  /** Bills held for other boxes. */
  heldBills: number
  /** Bills in one transaction. */
  batchBills: number
}

export const DEFAULT_LEDGER_LIMITS: LedgerLimits = {
  waitingBills: 60_000,
  heldBills: 160_000,
  batchBills: 270,
}

interface OwnBill {
  bill: Bill
  witnesses: VoterId[]
  /** Witnesses that hold the bill at its present stage. */
  heldBy: Set<VoterId>
}

/** State of one box's ledger. */
export interface LedgerState {
  self: VoterId
  limits: LedgerLimits
  own: Map<string, OwnBill>
  /** Bills held as a witness, by owner. */
  held: Map<VoterId, Map<string, Bill>>
  heldCount: number
  /** Closed bills that no batch holds, oldest first. */
  queue: string[]
  batch?: { id: number; requestIds: string[] }
  nextBatch: number
}

export type LedgerMessage =
  | { type: 'open'; bill: Bill; witnesses: VoterId[] }
  | { type: 'close'; bill: Bill }
  /** The request is known not to have run: there is nothing to bill. */
  | { type: 'void'; requestId: string }
  | { type: 'held'; requestId: string; stage: Bill['stage']; by: VoterId }
  | { type: 'replace-witness'; gone: VoterId; by?: VoterId }
  /** `complete`: the owner has no other bills that this box should hold. */
  | { type: 'hold'; owner: VoterId; bills: Bill[]; complete?: boolean }
  /** The link to a peer is new: what was sent before may be lost. */
  | { type: 'peer-connected'; peer: VoterId }
  | { type: 'release'; owner: VoterId; requestIds: string[] }
  | { type: 'owner-gone'; owner: VoterId; witnesses: VoterId[] }
  | { type: 'flush' }
  | { type: 'batch-written'; id: number; requestIds: string[] }
  | { type: 'batch-failed'; id: number }

export type LedgerEffect =
  | { type: 'send-hold'; to: VoterId; bills: Bill[]; complete?: boolean }
  | { type: 'confirm-held'; to: VoterId; stage: Bill['stage']; requestIds: string[] }
  | { type: 'protected'; requestId: string; stage: Bill['stage'] }
  | { type: 'send-release'; to: VoterId; requestIds: string[] }
  | { type: 'write-batch'; id: number; bills: Bill[] }
  | { type: 'written'; requestIds: string[] }
  /** An open bill of a box that is gone: ask the upstream how the stream ended, then `close`. */
  | { type: 'reconcile'; bill: Bill }

type Of<Type extends LedgerMessage['type']> = MessageOf<LedgerMessage, Type>

const HANDLERS: HandlerTable<LedgerState, LedgerMessage, LedgerEffect> = {
  open: openBill,
  close: closeBill,
  void: voidBill,
  held: countHeld,
  'replace-witness': replaceWitness,
  'peer-connected': resendBills,
  hold: holdForPeer,
  release: releaseForPeer,
  'owner-gone': adoptBills,
  flush: writeNextBatch,
  'batch-written': finishBatch,
  'batch-failed': returnBatch,
}

export function createLedgerState(
  self: VoterId,
  limits: LedgerLimits = DEFAULT_LEDGER_LIMITS,
): LedgerState {
  return { self, limits, own: new Map(), held: new Map(), heldCount: 0, queue: [], nextBatch: 1 }
}

/** Decides where each bill stands and what is to be sent or written. */
export const ledgerTransition = createTransition(HANDLERS)

/** Whether the ledger can take the bill of one more request. */
export function hasRoomForBill(state: LedgerState): boolean {
  return state.own.size < state.limits.waitingBills
}

/** Whether enough boxes hold the bill for the next part of the answer to go out. */
export function isProtected(state: LedgerState, requestId: string, stage: Bill['stage']): boolean {
  const own = state.own.get(requestId)
  // A bill that is gone from the ledger stands in the store.
  if (!own) return true
  if (stage === 'closed' && own.bill.stage === 'open') return false
  return own.witnesses.length > 0 && own.heldBy.size >= own.witnesses.length
}

function openBill(state: LedgerState, { bill, witnesses }: Of<'open'>): LedgerEffect[] {
  state.own.set(bill.requestId, {
    bill,
    witnesses,
    heldBy: new Set(),
  })
  return witnesses.map(to => ({ type: 'send-hold', to, bills: [bill] }))
}

function closeBill(state: LedgerState, { bill }: Of<'close'>): LedgerEffect[] {
  const own = state.own.get(bill.requestId)
  if (!own || own.bill.stage === 'closed') return []
  own.bill = { ...bill, stage: 'closed' }
  own.heldBy.clear()
  state.queue.push(bill.requestId)
  return own.witnesses.map(to => ({ type: 'send-hold', to, bills: [own.bill] }))
}

function voidBill(state: LedgerState, { requestId }: Of<'void'>): LedgerEffect[] {
  const own = state.own.get(requestId)
  if (!own || own.bill.stage === 'closed') return []
  state.own.delete(requestId)
  return releaseFrom(own, [requestId])
}

function countHeld(state: LedgerState, { requestId, stage, by }: Of<'held'>): LedgerEffect[] {
  const own = state.own.get(requestId)
  if (!own || own.bill.stage !== stage || !own.witnesses.includes(by)) return []
  own.heldBy.add(by)
  return protectedEffects(own)
}

function protectedEffects(own: OwnBill): LedgerEffect[] {
  if (own.witnesses.length === 0 || own.heldBy.size < own.witnesses.length) return []
  return [{ type: 'protected', requestId: own.bill.requestId, stage: own.bill.stage }]
}

/** A witness is gone: another takes its place, or the bill is guarded by the rest. */
function replaceWitness(state: LedgerState, { gone, by }: Of<'replace-witness'>): LedgerEffect[] {
  const bills: Bill[] = []
  const effects: LedgerEffect[] = []
  for (const own of state.own.values()) {
    if (!own.witnesses.includes(gone)) continue
    own.witnesses = own.witnesses.filter(witness => witness !== gone)
    own.heldBy.delete(gone)
    if (by && !own.witnesses.includes(by)) {
      own.witnesses.push(by)
      bills.push(own.bill)
    } else effects.push(...protectedEffects(own))
  }
  if (by && bills.length > 0) effects.push({ type: 'send-hold', to: by, bills })
  return effects
}

function resendBills(state: LedgerState, { peer }: Of<'peer-connected'>): LedgerEffect[] {
  const bills = [...state.own.values()]
    .filter(own => own.witnesses.includes(peer))
    .map(own => own.bill)
  return [{ type: 'send-hold', to: peer, bills, complete: true }]
}

function holdForPeer(state: LedgerState, { owner, bills, complete }: Of<'hold'>): LedgerEffect[] {
  const held = heldFor(state, owner)
  if (complete) dropOthers(state, held, bills)
  const taken: Record<Bill['stage'], string[]> = { open: [], closed: [] }
  for (const bill of bills) {
    const known = held.get(bill.requestId)
    if (!known && state.heldCount >= state.limits.heldBills) continue
    if (!known) state.heldCount++
    // A late open bill must not hide the closed one.
    if (known?.stage !== 'closed') held.set(bill.requestId, bill)
    taken[bill.stage].push(bill.requestId)
  }
  return (['open', 'closed'] as const)
    .filter(stage => taken[stage].length > 0)
    .map(stage => ({ type: 'confirm-held', to: owner, stage, requestIds: taken[stage] }))
}

function releaseForPeer(state: LedgerState, { owner, requestIds }: Of<'release'>): LedgerEffect[] {
  const held = state.held.get(owner)
  if (!held) return []
  for (const requestId of requestIds) {
    if (held.delete(requestId)) state.heldCount--
  }
  if (held.size === 0) state.held.delete(owner)
  return []
}

/** The bills of a box that is gone become this box's own, guarded by new witnesses. */
function adoptBills(state: LedgerState, { owner, witnesses }: Of<'owner-gone'>): LedgerEffect[] {
  const held = state.held.get(owner)
  if (!held) return []
  state.held.delete(owner)
  state.heldCount -= held.size
  const effects: LedgerEffect[] = []
  for (const bill of held.values()) {
    if (state.own.has(bill.requestId)) continue
    state.own.set(bill.requestId, {
      bill,
      witnesses,
      heldBy: new Set(),
    })
    if (bill.stage === 'closed') state.queue.push(bill.requestId)
    else effects.push({ type: 'reconcile', bill })
  }
  for (const to of witnesses) effects.push({ type: 'send-hold', to, bills: [...held.values()] })
  return effects
}

function writeNextBatch(state: LedgerState): LedgerEffect[] {
  if (state.batch || state.queue.length === 0) return []
  const requestIds = state.queue
    .splice(0, state.limits.batchBills)
    .filter(requestId => state.own.has(requestId))
  if (requestIds.length === 0) return []
  state.batch = { id: state.nextBatch++, requestIds }
  const bills = requestIds.flatMap(requestId => state.own.get(requestId)?.bill ?? [])
  return [{ type: 'write-batch', id: state.batch.id, bills }]
}

/** Every bill of `requestIds` stands in the store, by this box's hand or by another's. */
function finishBatch(state: LedgerState, { id, requestIds }: Of<'batch-written'>): LedgerEffect[] {
  if (state.batch?.id !== id) return []
  const written = new Set(requestIds)
  state.queue.unshift(...state.batch.requestIds.filter(requestId => !written.has(requestId)))
  delete state.batch
  const releases = new Map<VoterId, string[]>()
  for (const requestId of requestIds) {
    const own = state.own.get(requestId)
    if (!own) continue
    state.own.delete(requestId)
    for (const witness of own.witnesses) {
      releases.set(witness, [...(releases.get(witness) ?? []), requestId])
    }
  }
  return [
    { type: 'written', requestIds },
    ...[...releases].map(([to, ids]) => ({ type: 'send-release', to, requestIds: ids }) as const),
  ]
}

function returnBatch(state: LedgerState, { id }: Of<'batch-failed'>): LedgerEffect[] {
  if (state.batch?.id !== id) return []
  state.queue.unshift(...state.batch.requestIds)
  delete state.batch
  return []
}

function releaseFrom(own: OwnBill, requestIds: string[]): LedgerEffect[] {
  return own.witnesses.map(to => ({ type: 'send-release', to, requestIds }))
}

function dropOthers(state: LedgerState, held: Map<string, Bill>, bills: readonly Bill[]): void {
  const kept = new Set(bills.map(bill => bill.requestId))
  for (const requestId of held.keys()) {
    if (kept.has(requestId)) continue
    held.delete(requestId)
    state.heldCount--
  }
}

function heldFor(state: LedgerState, owner: VoterId): Map<string, Bill> {
  const known = state.held.get(owner)
  if (known) return known
  const created = new Map<string, Bill>()
  state.held.set(owner, created)
  return created
}
