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

import type { SuspectUpdate } from './suspects.js'

/** Identity of a running box. Each restart has a new incarnation. */
export interface PeerIdentity {
  box: string
  incarnation: string
  dataCentre: string
  /** Address for callers. */
  entryAddress: string
  /** Address for other boxes. */
  peerAddress: string
}

/** `leaving`: the box drains. */
export type BoxState = 'starting' | 'serving' | 'leaving'

/** Sent to each linked box several times a second. */
export interface Heartbeat {
  type: 'heartbeat'
  sequence: number
  /** Sequence of the last heartbeat received from the receiver; 0 for none. */
  echo: number
  state: BoxState
  /** Revision of the sender's table replica. */
  revision: number
  /** Time since `revision` was last confirmed as the store's newest. */
  confirmedAge?: Milliseconds
  /** The sender gets no replies from the store. */
  storeOut: boolean
  /** Proposals without a known outcome. */
  open: Proposal[]
  /** Epoch of the sender's voter set; 0 for none. */
  votersEpoch: number
  /** The voter set, when the receiver has another epoch. */
  voters?: VoterSet
  /** Open requests as a fraction of the box's limit. */
  load: number
  /** Requests in flight by upstream. */
  inFlight: [upstream: string, count: number][]
  /** Request rate by organisation. */
  demand: [organisation: string, requestsPerSecond: number][]
  /** Counts of answers and ratings by model version. */
  evidence: EvidenceCounter[]
  /** Versions whose exposure was halted, and halts that were lifted. */
  halts: Halt[]
  /** Incarnations known to have exited. */
  gone: VoterId[]
  /** Engines that drain for a change of version. */
  emptying: string[]
}

/**
 * Messages between boxes. `hold` replicates bills to a witness, `held` acknowledges them, `release`
 * deletes them. `stream-question` looks for the bill of a running request, which `stream-answer`
 * carries.
 */
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
  | { type: 'suspects'; entries: SuspectUpdate[] }
  | { type: 'goodbye' }

/** Voter id of this incarnation of a box. */
export function voterOf({ box, incarnation }: PeerIdentity): VoterId {
  return formatVoter(box, incarnation)
}
