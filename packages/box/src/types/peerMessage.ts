import {
  formatVoter,
  type Bill,
  type EvidenceCounter,
  type Halt,
  type Milliseconds,
  type Proposal,
  type TableRow,
  type VoterId,
  type VoterSet,
} from '@yewkeel/decisions'

import type { SuspectNews } from './suspects.js'

/** Who a box is. A restart makes a new incarnation. */
export interface PeerIdentity {
  box: string
  incarnation: string
  dataCentre: string
  /** Where callers connect. */
  entryAddress: string
  /** Where boxes connect. */
  peerAddress: string
}

export type BoxState = 'starting' | 'serving' | 'leaving'

/** What a box tells each linked box several times a second. */
export interface Heartbeat {
  type: 'heartbeat'
  sequence: number
  /** Sequence of the receiver's last heartbeat heard here; 0 for none. */
  echo: number
  state: BoxState
  revision: number
  /** Age of the evidence that `revision` is the store's newest. */
  confirmedAge?: Milliseconds
  storeOut: boolean
  open: Proposal[]
  /** Epoch of the voter set that the sender knows; 0 for none. */
  votersEpoch: number
  /** The set itself, for a receiver that knows another. */
  voters?: VoterSet
  /** Share of the box's open-request bound in use. */
  load: number
  /** Requests under way by upstream. */
  inFlight: [upstream: string, count: number][]
  /** Requests a second by organisation. */
  demand: [organisation: string, requestsPerSecond: number][]
  evidence: EvidenceCounter[]
  halts: Halt[]
  /** Incarnations known not to run any more. */
  gone: VoterId[]
  /** Engines that are emptied for a change of version. */
  emptying: string[]
}

export type PeerMessage =
  | Heartbeat
  | { type: 'announcement'; proposal: Proposal }
  | { type: 'announcement-heard'; id: string }
  | { type: 'settled'; id: string; accepted: boolean; revision?: number }
  | { type: 'table-request'; above: number }
  | { type: 'table-reply'; revision: number; rows: TableRow[]; voters?: VoterSet }
  | { type: 'hold'; bills: Bill[]; complete?: boolean }
  | { type: 'held'; stage: Bill['stage']; requestIds: string[] }
  | { type: 'release'; requestIds: string[] }
  | { type: 'stream-question'; requestId: string }
  | { type: 'stream-answer'; requestId: string; bill?: Bill }
  | { type: 'suspects'; entries: SuspectNews[] }
  | { type: 'goodbye' }

/** The voter that a box's present run is. */
export function voterOf({ box, incarnation }: PeerIdentity): VoterId {
  return formatVoter(box, incarnation)
}
