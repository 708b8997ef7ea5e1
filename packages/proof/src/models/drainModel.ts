import {
  createDrainState,
  drainTransition,
  acceptsNewRequests,
  type DrainState,
} from '@yewkeel/decisions'
import type { Model } from './explore.js'

export type DrainMutation =
  'refuse at once' | 'stop with requests in flight' | 'stop with unwritten bills'

type RequestStep = 'none' | 'in flight' | 'answered' | 'refused' | 'cut off'

interface DrainModelState {
  now: number
  drain: DrainState
  /** Tick at which each caller received the box's address. */
  addressReceivedAt: Record<string, number>
  requests: Record<string, RequestStep>
  billsInStore: number
  billsLost: number
  /** A caller was refused before its address expired. */
  refusedWithValidAddress: boolean
  faultsLeft: number
}

type DrainAction = { type: string; caller?: string }

const CALLERS = ['caller 1', 'caller 2']
/** Ticks for which a caller may use an address. */
const ADDRESS_TTL = 2
const LAST_TICK = 5
const MAX_FAULTS = 2

/** Planned stop of a box: callers hold its address, requests are in flight, the store is slow. */
export function createDrainModel(mutation?: DrainMutation): Model<DrainModelState, DrainAction> {
  return {
    name: 'drain',
    scope: "drainTransition and acceptsNewRequests are the product's own",
    initial: () => ({
      now: 0,
      drain: createDrainState(ADDRESS_TTL),
      addressReceivedAt: {},
      requests: Object.fromEntries(CALLERS.map(caller => [caller, 'none'])),
      billsInStore: 0,
      billsLost: 0,
      refusedWithValidAddress: false,
      faultsLeft: MAX_FAULTS,
    }),
    actions: drainActions,
    apply: (state, action) => applyDrain(state, action, mutation),
    invariants: {
      'no request in flight is cut off': state =>
        !Object.values(state.requests).includes('cut off'),
      'no caller with a valid address is refused': state => !state.refusedWithValidAddress,
      'no bill is lost by the stop': state => state.billsLost === 0,
    },
  }
}

function drainActions(state: DrainModelState): DrainAction[] {
  const actions: DrainAction[] = []
  const { drain, requests, addressReceivedAt } = state
  if (state.now < LAST_TICK) actions.push({ type: 'time passes' })
  if (drain.step === 'serving') actions.push({ type: 'stop is asked for' })
  else if (drain.step !== 'stopped') actions.push({ type: 'box looks at itself' })
  if (countUnwrittenBills(state) > 0 && drain.step !== 'stopped') {
    actions.push({ type: 'store takes a bill' })
    if (state.faultsLeft > 0) actions.push({ type: 'store is out' })
  }
  for (const caller of CALLERS) {
    const step = requests[caller]
    if (drain.step === 'serving' && addressReceivedAt[caller] === undefined)
      actions.push({ type: 'ask where', caller })
    if (step === 'none' && addressReceivedAt[caller] !== undefined && drain.step !== 'stopped') {
      actions.push({ type: 'ask', caller })
    }
    if (step === 'in flight' && drain.step !== 'stopped')
      actions.push({ type: 'answer ends', caller })
  }
  return actions
}

function applyDrain(state: DrainModelState, action: DrainAction, mutation?: DrainMutation): void {
  const { drain, requests, addressReceivedAt, now } = state
  const caller = action.caller ?? ''
  switch (action.type) {
    case 'time passes':
      state.now++
      return
    case 'stop is asked for':
      drainTransition(drain, { type: 'stop-asked' }, now)
      return
    case 'ask where':
      addressReceivedAt[caller] = now
      return
    case 'ask':
      return sendRequest(state, caller, mutation)
    case 'answer ends':
      requests[caller] = 'answered'
      return
    case 'store takes a bill':
      state.billsInStore++
      return
    case 'store is out':
      state.faultsLeft--
      return
    case 'box looks at itself':
      return reportCounts(state, mutation)
  }
}

function sendRequest(state: DrainModelState, caller: string, mutation?: DrainMutation): void {
  const { drain, now } = state
  const isAdmitted =
    mutation === 'refuse at once' ? drain.step === 'serving' : acceptsNewRequests(drain)
  state.requests[caller] = isAdmitted ? 'in flight' : 'refused'
  const isValid = now - state.addressReceivedAt[caller]! < ADDRESS_TTL
  if (!isAdmitted && isValid) state.refusedWithValidAddress = true
}

function reportCounts(state: DrainModelState, mutation?: DrainMutation): void {
  const inFlight = Object.values(state.requests).filter(step => step === 'in flight').length
  const reported = mutation === 'stop with requests in flight' ? 0 : inFlight
  const bills = mutation === 'stop with unwritten bills' ? 0 : countUnwrittenBills(state)
  drainTransition(state.drain, { type: 'in-flight', count: reported }, state.now)
  drainTransition(state.drain, { type: 'unwritten-bills', count: bills }, state.now)
  if (state.drain.step !== 'stopped') return
  state.billsLost = countUnwrittenBills(state)
  for (const caller of CALLERS) {
    if (state.requests[caller] === 'in flight') state.requests[caller] = 'cut off'
  }
}

function countUnwrittenBills(state: DrainModelState): number {
  const answered = Object.values(state.requests).filter(step => step === 'answered').length
  return answered - state.billsInStore
}
