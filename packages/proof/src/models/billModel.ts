import {
  createLedgerState,
  isProtected,
  ledgerTransition,
  type Bill,
  type LedgerEffect,
  type LedgerMessage,
  type LedgerState,
} from '@yewkeel/decisions'
import type { Model } from './explore.js'

export type BillMutation =
  | 'let the end out before the bill is held'
  | 'have no witness'
  | 'write rows that stand'
  | 'release witnesses before the store has the bill'

interface Message {
  from: string
  to: string
  content: LedgerMessage
}

interface Batch {
  box: string
  id: number
  bills: string[]
}

interface Request {
  step: 'none' | 'open' | 'closing' | 'ended'
  /** Received by the caller. */
  firstByteReceived: boolean
  lastByteReceived: boolean
}

interface BillState {
  ledgers: Record<string, LedgerState>
  crashed: string[]
  messages: Message[]
  batches: Batch[]
  /** Number of times each bill's row was written. */
  rowWrites: Record<string, number>
  requests: Record<string, Request>
  faultsLeft: number
}

type BillAction = { type: string; box?: string; index?: number; request?: string }

const OWNER = 'a/1'
const BOXES = [OWNER, 'b/1', 'c/1']
const REQUESTS = ['r1', 'r2']
const MAX_FAULTS = 1

/** Bills of two requests at one box with two witnesses; boxes crash and store answers are lost. */
export function createBillModel(mutation?: BillMutation): Model<BillState, BillAction> {
  return {
    name: 'bills',
    scope: "ledgerTransition and isProtected are the product's own",
    initial: () => ({
      ledgers: Object.fromEntries(BOXES.map(box => [box, createLedgerState(box)])),
      crashed: [],
      messages: [],
      batches: [],
      rowWrites: {},
      requests: Object.fromEntries(
        REQUESTS.map(id => [
          id,
          { step: 'none', firstByteReceived: false, lastByteReceived: false },
        ]),
      ),
      faultsLeft: MAX_FAULTS,
    }),
    actions: state => billActions(state, mutation),
    apply: (state, action) => applyBill(state, action, mutation),
    invariants: {
      'no request is billed twice': state =>
        Object.values(state.rowWrites).every(count => count <= 1),
      'a whole answer has a closed bill that is not lost': state =>
        REQUESTS.every(
          id => !state.requests[id]!.lastByteReceived || isBillRetained(state, id, 'closed'),
        ),
      'an answer that has begun has a bill that is not lost': state =>
        REQUESTS.every(id => !state.requests[id]!.firstByteReceived || isBillRetained(state, id)),
    },
  }
}

/** Whether the store has the bill, or a live box holds it, at `stage` if that is given. */
function isBillRetained(state: BillState, id: string, stage?: Bill['stage']): boolean {
  if ((state.rowWrites[id] ?? 0) > 0) return true
  const matches = (bill: Bill | undefined) => bill !== undefined && (!stage || bill.stage === stage)
  return BOXES.filter(box => !state.crashed.includes(box)).some(box => {
    const ledger = state.ledgers[box]!
    return (
      matches(ledger.own.get(id)?.bill) ||
      [...ledger.held.values()].some(held => matches(held.get(id)))
    )
  })
}

function billActions(state: BillState, mutation?: BillMutation): BillAction[] {
  const actions: BillAction[] = []
  const isAlive = (box: string) => !state.crashed.includes(box)
  if (isAlive(OWNER)) actions.push(...requestActions(state, mutation))
  const linksWithMessage = new Set<string>()
  state.messages.forEach((message, index) => {
    // Each link delivers in order.
    const link = `${message.from}>${message.to}`
    if (!linksWithMessage.has(link)) actions.push({ type: 'deliver', index })
    linksWithMessage.add(link)
  })
  for (const box of BOXES.filter(isAlive)) {
    const ledger = state.ledgers[box]!
    if (!ledger.batch && ledger.queue.length > 0) actions.push({ type: 'flush', box })
    if (state.faultsLeft > 0) actions.push({ type: 'crash', box })
    for (const crashed of state.crashed) {
      if (ledger.held.has(crashed)) actions.push({ type: 'take over', box })
      if ([...ledger.own.values()].some(own => own.witnesses.includes(crashed))) {
        actions.push({ type: 'drop a dead witness', box })
      }
    }
  }
  state.batches.forEach((_batch, index) => {
    actions.push({ type: 'store takes the batch', index })
    if (state.faultsLeft > 0) actions.push({ type: 'store takes it and the answer is lost', index })
  })
  return actions
}

function requestActions(state: BillState, mutation?: BillMutation): BillAction[] {
  const ledger = state.ledgers[OWNER]!
  return REQUESTS.flatMap((request): BillAction[] => {
    const { step, firstByteReceived, lastByteReceived } = state.requests[request]!
    const skipsProtection = mutation === 'let the end out before the bill is held'
    // Symmetry reduction: the second request opens only after the first.
    const mayOpen = request === REQUESTS[0] || state.requests[REQUESTS[0]!]!.step !== 'none'
    if (step === 'none') return mayOpen ? [{ type: 'open', request }] : []
    if (step === 'open' && !firstByteReceived && isProtected(ledger, request, 'open'))
      return [{ type: 'first byte', request }]
    if (step === 'open' && firstByteReceived) return [{ type: 'close', request }]
    if (
      step === 'closing' &&
      !lastByteReceived &&
      (skipsProtection || isProtected(ledger, request, 'closed'))
    ) {
      return [{ type: 'last byte', request }]
    }
    return []
  })
}

function applyBill(state: BillState, action: BillAction, mutation?: BillMutation): void {
  const request = action.request ?? ''
  const box = action.box ?? OWNER
  switch (action.type) {
    case 'open':
      state.requests[request]!.step = 'open'
      return dispatch(
        state,
        OWNER,
        {
          type: 'open',
          bill: createBill(request, 'open'),
          witnesses: selectWitnesses(state, mutation),
        },
        mutation,
      )
    case 'first byte':
      state.requests[request]!.firstByteReceived = true
      return
    case 'close':
      state.requests[request]!.step = 'closing'
      return dispatch(
        state,
        OWNER,
        { type: 'close', bill: createBill(request, 'closed') },
        mutation,
      )
    case 'last byte':
      state.requests[request]!.lastByteReceived = true
      state.requests[request]!.step = 'ended'
      return
    case 'deliver': {
      const [message] = state.messages.splice(action.index!, 1)
      if (!state.crashed.includes(message!.to))
        dispatch(state, message!.to, message!.content, mutation)
      return
    }
    case 'flush':
      return dispatch(state, box, { type: 'flush' }, mutation)
    case 'crash':
      return crash(state, box)
    case 'take over':
      for (const owner of state.crashed)
        dispatch(state, box, { type: 'owner-gone', owner, witnesses: [] }, mutation)
      return
    case 'drop a dead witness':
      for (const crashed of state.crashed)
        dispatch(state, box, { type: 'replace-witness', gone: crashed }, mutation)
      return
    default:
      return completeBatch(state, action, mutation)
  }
}

function selectWitnesses(state: BillState, mutation?: BillMutation): string[] {
  if (mutation === 'have no witness') return [OWNER]
  return BOXES.filter(box => box !== OWNER && !state.crashed.includes(box))
}

function createBill(requestId: string, stage: Bill['stage']): Bill {
  return { requestId, organisation: 'o', openedAt: 0, stage, lines: [] }
}

function crash(state: BillState, box: string): void {
  state.faultsLeft--
  state.crashed.push(box)
  // Messages and store writes that the box had sent may still take effect.
  state.ledgers[box] = createLedgerState(box)
}

function dispatch(
  state: BillState,
  box: string,
  message: LedgerMessage,
  mutation?: BillMutation,
): void {
  const effects = ledgerTransition(state.ledgers[box]!, message, 0)
  for (const effect of effects) runEffect(state, box, effect, mutation)
}

function runEffect(
  state: BillState,
  box: string,
  effect: LedgerEffect,
  mutation?: BillMutation,
): void {
  const send = (to: string, content: LedgerMessage) =>
    state.messages.push({ from: box, to, content })
  // Confirmations and releases are delivered at once: a delay only keeps a bill held for longer.
  const deliver = (to: string, content: LedgerMessage) => {
    if (!state.crashed.includes(to)) dispatch(state, to, content, mutation)
  }
  switch (effect.type) {
    case 'send-hold':
      send(effect.to, { type: 'hold', owner: box, bills: effect.bills })
      return
    case 'confirm-held':
      for (const requestId of effect.requestIds) {
        deliver(effect.to, { type: 'held', requestId, stage: effect.stage, by: box })
      }
      return
    case 'send-release':
      deliver(effect.to, { type: 'release', owner: box, requestIds: effect.requestIds })
      return
    case 'write-batch': {
      const bills = effect.bills.map(bill => bill.requestId)
      state.batches.push({ box, id: effect.id, bills })
      if (mutation === 'release witnesses before the store has the bill') {
        for (const to of selectWitnesses(state))
          deliver(to, { type: 'release', owner: box, requestIds: bills })
      }
      return
    }
    case 'reconcile':
      // Reconciliation with the engine closes the bill.
      return dispatch(
        state,
        box,
        { type: 'close', bill: { ...effect.bill, stage: 'closed' } },
        mutation,
      )
    case 'protected':
    case 'written':
      return
  }
}

function completeBatch(state: BillState, action: BillAction, mutation?: BillMutation): void {
  const [batch] = state.batches.splice(action.index!, 1)
  const { box, id, bills } = batch!
  if (action.type !== 'store takes the batch') state.faultsLeft--
  if (action.type !== 'batch is lost') writeRows(state, bills, mutation)
  if (state.crashed.includes(box)) return
  if (action.type !== 'store takes the batch')
    return dispatch(state, box, { type: 'batch-failed', id }, mutation)
  // After a conflict the box reads which rows exist; the others go into the next batch.
  const requestIds = bills.filter(bill => (state.rowWrites[bill] ?? 0) > 0)
  dispatch(state, box, { type: 'batch-written', id, requestIds }, mutation)
}

/** Writes all rows or none: the transaction fails if one of them exists. */
function writeRows(state: BillState, bills: string[], mutation?: BillMutation): void {
  const isRefused = bills.some(bill => (state.rowWrites[bill] ?? 0) > 0)
  if (isRefused && mutation !== 'write rows that stand') return
  for (const bill of bills) state.rowWrites[bill] = (state.rowWrites[bill] ?? 0) + 1
}
