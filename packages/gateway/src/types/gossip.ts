import type { AnswerCount, ListedUpstream, Milliseconds, RolloutStatus } from '@yewkeel/decisions'
import type { WorkEntry } from '../tasks/engineWork.js'
import type { OperatorState } from './ports.js'

export type GatewayState = 'starting' | 'serving' | 'leaving'

/** Another box as this one knows it, at first hand or by hearsay. */
export interface BoxReport {
  box: string
  incarnation: string
  dataCentre: string
  entryAddress: string
  peerAddress: string
  state: GatewayState
  /** Rises while the box runs. */
  sequence: number
  /** Answers by version since the box began. Only while a roll-out is under way. */
  answers: AnswerCount[]
  /** Requests under way by `service version`. Only while a roll-out is under way. */
  inFlight: [serviceVersion: string, count: number][]
}

/** A proof that something read from the store was the newest there. */
export interface ProofAge {
  revision: number
  age: Milliseconds
}

/** The same for the list of upstreams. Its rows change all the time, what they say seldom. */
export interface ListProofAge extends ProofAge {
  /** Equal for lists that say the same. */
  fingerprint: number
}

/** What a box tells its neighbours a few times a second. */
export interface Gossip {
  type: 'gossip'
  /** The sender's clock; comes back as `echo`. */
  stamp: Milliseconds
  /** The receiver's own newest stamp, and how long the sender has held it. */
  echo?: { stamp: Milliseconds; heldFor: Milliseconds }
  reports: BoxReport[]
  operators?: ProofAge
  upstreams?: ListProofAge
  rollouts: RolloutStatus[]
  /** Prompts that engines have still to read for the sender. */
  work: WorkEntry[]
  /** The store's clock when the message was written. */
  storeNow?: Milliseconds
}

/** Messages between gateways. */
export type GatewayMessage =
  | Gossip
  | { type: 'work'; entries: WorkEntry[] }
  | { type: 'operators-wanted' }
  | { type: 'operators'; state: OperatorState }
  | { type: 'upstreams-wanted' }
  | { type: 'upstreams'; version: number; entries: ListedUpstream[] }
