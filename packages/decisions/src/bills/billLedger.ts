/**
 * Replicates bills from the time a request is sent to an upstream until its bill is stored.
 *
 * A bill is one store row keyed by the request's id and created only if absent, so writes are
 * idempotent whichever box makes them. Until then the owner and its witnesses (replicas in other
 * data centres) hold it. The caller gets the first byte only after all witnesses acknowledged the
 * open bill, and the last byte only after they acknowledged the closed one. When the owner is gone,
 * a witness adopts its bills.
 */
import { createTransition, type HandlerTable, type MessageOf } from '../types/transition.js'
import type { VoterId } from '../membership/voters.js'
import type { Bill } from './bill.js'

export interface LedgerLimits {
  /** Own bills that are not stored yet. At this number new requests are refused. */
  waitingBills: number
  /** Bills held as a witness. Beyond this, further bills are not acknowledged. */
  heldBills: number
  /** Bills per store transaction. */
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
  /** Witnesses that acknowledged the bill at its current stage. */
  heldBy: Set<VoterId>
}

export interface LedgerState {
  self: VoterId
  limits: LedgerLimits
  own: Map<string, OwnBill>
  /** Bills held as a witness, by owner and request id. */
  held: Map<VoterId, Map<string, Bill>>
  /** Number of bills in `held`, over all owners. */
  heldCount: number
  /** Request ids of closed bills that are not in the current batch, oldest first. */
  queue: string[]
  /** The batch that is being written; at most one at a time. */
  batch?: { id: number; requestIds: string[] }
  nextBatch: number
}

export type LedgerMessage =
  | { type: 'open'; bill: Bill; witnesses: VoterId[] }
  | { type: 'close'; bill: Bill }
  /** The request is known not to have run: drops its bill. */
  | { type: 'void'; requestId: string }
  /** A witness acknowledged a bill. */
  | { type: 'held'; requestId: string; stage: Bill['stage']; by: VoterId }
  /** A witness is gone; without `by` the remaining witnesses suffice. */
  | { type: 'replace-witness'; gone: VoterId; by?: VoterId }
  /** Bills to hold as a witness. `complete`: bills of the owner that are not listed are dropped. */
  | { type: 'hold'; owner: VoterId; bills: Bill[]; complete?: boolean }
  /** The connection to a peer is new: earlier messages may be lost. */
  | { type: 'peer-connected'; peer: VoterId }
  /** The owner's bills are stored or void: a witness drops them. */
  | { type: 'release'; owner: VoterId; requestIds: string[] }
  | { type: 'owner-gone'; owner: VoterId; witnesses: VoterId[] }
  | { type: 'flush' }
  | { type: 'batch-written'; id: number; requestIds: string[] }
  | { type: 'batch-failed'; id: number }

export type LedgerEffect =
  | { type: 'send-hold'; to: VoterId; bills: Bill[]; complete?: boolean }
  | { type: 'confirm-held'; to: VoterId; stage: Bill['stage']; requestIds: string[] }
  /** All witnesses hold the bill at this stage. */
  | { type: 'protected'; requestId: string; stage: Bill['stage'] }
  | { type: 'send-release'; to: VoterId; requestIds: string[] }
  | { type: 'write-batch'; id: number; bills: Bill[] }
  | { type: 'written'; requestIds: string[] }
  /** An adopted bill is open: query the upstream for the stream's outcome, then send `close`. */
  | { type: 'reconcile'; bill: Bill }

type LedgerMessageOf<Type extends LedgerMessage['type']> = MessageOf<LedgerMessage, Type>

const HANDLERS: HandlerTable<LedgerState, LedgerMessage, LedgerEffect> = {
  open: openBill,
  close: closeBill,
  void: voidBill,
  held: recordAcknowledgement,
  'replace-witness': replaceWitness,
  'peer-connected': resendBills,
  hold: holdForPeer,
  release: releaseForPeer,
  'owner-gone': adoptBills,
  flush: writeNextBatch,
  'batch-written': finishBatch,
  'batch-failed': requeueBatch,
}

export function createLedgerState(
  self: VoterId,
  limits: LedgerLimits = DEFAULT_LEDGER_LIMITS,
): LedgerState {
  return { self, limits, own: new Map(), held: new Map(), heldCount: 0, queue: [], nextBatch: 1 }
}

/** Applies a message to the ledger and returns what to send and write. */
export const ledgerTransition = createTransition(HANDLERS)

/** Whether the ledger has capacity for another request's bill. */
export function hasRoomForBill(state: LedgerState): boolean {
  return state.own.size < state.limits.waitingBills
}

/** Whether all witnesses hold the bill at `stage`, so that the answer may proceed. */
export function isProtected(state: LedgerState, requestId: string, stage: Bill['stage']): boolean {
  const own = state.own.get(requestId)
  // Bills leave the ledger once they are stored.
  if (!own) return true
  if (stage === 'closed' && own.bill.stage === 'open') return false
  return own.witnesses.length > 0 && own.heldBy.size >= own.witnesses.length
}

function openBill(
  state: LedgerState,
  { bill, witnesses }: LedgerMessageOf<'open'>,
): LedgerEffect[] {
  state.own.set(bill.requestId, {
    bill,
    witnesses,
    heldBy: new Set(),
  })
  return witnesses.map(to => ({ type: 'send-hold', to, bills: [bill] }))
}

function closeBill(state: LedgerState, { bill }: LedgerMessageOf<'close'>): LedgerEffect[] {
  const own = state.own.get(bill.requestId)
  if (!own || own.bill.stage === 'closed') return []
  own.bill = { ...bill, stage: 'closed' }
  own.heldBy.clear()
  state.queue.push(bill.requestId)
  return own.witnesses.map(to => ({ type: 'send-hold', to, bills: [own.bill] }))
}

function voidBill(state: LedgerState, { requestId }: LedgerMessageOf<'void'>): LedgerEffect[] {
  const own = state.own.get(requestId)
  if (!own || own.bill.stage === 'closed') return []
  state.own.delete(requestId)
  return releaseFrom(own, [requestId])
}

function recordAcknowledgement(
  state: LedgerState,
  { requestId, stage, by }: LedgerMessageOf<'held'>,
): LedgerEffect[] {
  const own = state.own.get(requestId)
  if (!own || own.bill.stage !== stage || !own.witnesses.includes(by)) return []
  own.heldBy.add(by)
  return protectedEffects(own)
}

function protectedEffects(own: OwnBill): LedgerEffect[] {
  if (own.witnesses.length === 0 || own.heldBy.size < own.witnesses.length) return []
  return [{ type: 'protected', requestId: own.bill.requestId, stage: own.bill.stage }]
}

/** Replaces a witness that is gone; without a replacement the remaining witnesses suffice. */
function replaceWitness(
  state: LedgerState,
  { gone, by }: LedgerMessageOf<'replace-witness'>,
): LedgerEffect[] {
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

function resendBills(
  state: LedgerState,
  { peer }: LedgerMessageOf<'peer-connected'>,
): LedgerEffect[] {
  const bills = [...state.own.values()]
    .filter(own => own.witnesses.includes(peer))
    .map(own => own.bill)
  return [{ type: 'send-hold', to: peer, bills, complete: true }]
}

function holdForPeer(
  state: LedgerState,
  { owner, bills, complete }: LedgerMessageOf<'hold'>,
): LedgerEffect[] {
  const held = heldBillsOf(state, owner)
  if (complete) dropUnlisted(state, held, bills)
  const acknowledged: Record<Bill['stage'], string[]> = { open: [], closed: [] }
  for (const bill of bills) {
    const known = held.get(bill.requestId)
    if (!known && state.heldCount >= state.limits.heldBills) continue
    if (!known) state.heldCount++
    // A delayed open bill must not overwrite the closed one.
    if (known?.stage !== 'closed') held.set(bill.requestId, bill)
    acknowledged[bill.stage].push(bill.requestId)
  }
  return (['open', 'closed'] as const)
    .filter(stage => acknowledged[stage].length > 0)
    .map(stage => ({ type: 'confirm-held', to: owner, stage, requestIds: acknowledged[stage] }))
}

function releaseForPeer(
  state: LedgerState,
  { owner, requestIds }: LedgerMessageOf<'release'>,
): LedgerEffect[] {
  const held = state.held.get(owner)
  if (!held) return []
  for (const requestId of requestIds) {
    if (held.delete(requestId)) state.heldCount--
  }
  if (held.size === 0) state.held.delete(owner)
  return []
}

/** Adopts the bills of an owner that is gone, with new witnesses. */
function adoptBills(
  state: LedgerState,
  { owner, witnesses }: LedgerMessageOf<'owner-gone'>,
): LedgerEffect[] {
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

/**
 * Releases the bills of `requestIds`, which are in the store, and requeues the rest of the batch.
 */
function finishBatch(
  state: LedgerState,
  { id, requestIds }: LedgerMessageOf<'batch-written'>,
): LedgerEffect[] {
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

/** Requeues a failed batch ahead of newer bills. */
function requeueBatch(state: LedgerState, { id }: LedgerMessageOf<'batch-failed'>): LedgerEffect[] {
  if (state.batch?.id !== id) return []
  state.queue.unshift(...state.batch.requestIds)
  delete state.batch
  return []
}

function releaseFrom(own: OwnBill, requestIds: string[]): LedgerEffect[] {
  return own.witnesses.map(to => ({ type: 'send-release', to, requestIds }))
}

/** Drops the held bills that are not in `bills`. */
function dropUnlisted(state: LedgerState, held: Map<string, Bill>, bills: readonly Bill[]): void {
  const kept = new Set(bills.map(bill => bill.requestId))
  for (const requestId of held.keys()) {
    if (kept.has(requestId)) continue
    held.delete(requestId)
    state.heldCount--
  }
}

function heldBillsOf(state: LedgerState, owner: VoterId): Map<string, Bill> {
  const known = state.held.get(owner)
  if (known) return known
  const created = new Map<string, Bill>()
  state.held.set(owner, created)
  return created
}
