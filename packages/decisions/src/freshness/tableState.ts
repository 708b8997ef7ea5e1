import type { Milliseconds } from '../types/clock.js'
import type { VoterId, VoterSet } from '../membership/voters.js'
import { EMPTY_TABLE, type AcceptedChange, type Table, type TableChange } from '../table/table.js'
import type { ChangeOutcome } from '../table/acceptChange.js'

/** Time limits for serving with the local copy of the table, and for proposals. */
export interface FreshnessLimits {
  /**
   * Maximum age of a confirmation that the copy is the store's newest. Bounds the delay until a
   * change is enforced.
   */
  maxConfirmationAge: Milliseconds
  /** Maximum age of a peer report that counts towards a vouching majority. */
  maxReportAge: Milliseconds
  /** Time without an answer after which the store counts as unavailable. */
  storeOutAfter: Milliseconds
  /** Time after which another box that reaches the store settles an open proposal. */
  settleAfter: Milliseconds
  /** Time that a proposer waits for a majority of acknowledgements. */
  announceFor: Milliseconds
}

export const DEFAULT_FRESHNESS_LIMITS: FreshnessLimits = {
  maxConfirmationAge: 3_000,
  maxReportAge: 2_000,
  storeOutAfter: 1_500,
  settleAfter: 5_000,
  announceFor: 1_500,
}

/** The change that a proposal makes: to the table or to the voter set. */
export type ProposalContent =
  { kind: 'change'; change: TableChange } | { kind: 'voters'; set: VoterSet }

export interface Proposal {
  id: string
  content: ProposalContent
}

/**
 * An announced proposal that may or may not be committed. Both outcomes are enforced until it is
 * settled.
 */
export interface OpenProposal extends Proposal {
  /** When it was announced to this box, or last sent for settling. */
  receivedAt: Milliseconds
  /** Set once the change is known to be accepted and the copy does not contain it yet. */
  acceptedRevision?: number
}

/** A proposal of this box that awaits a majority of acknowledgements or the store's commit. */
export interface OwnProposal {
  proposal: Proposal
  startedAt: Milliseconds
  step: 'announcing' | 'committing'
  /** Voters that have acknowledged the announcement, this box included. */
  announcedTo: Set<VoterId>
}

/** Latest report of a peer. Instants are on this box's clock. */
export interface PeerReport {
  /** Earliest instant at which the peer can have sent it. */
  asOf: Milliseconds
  revision: number
  /** When the peer's copy was last confirmed to be the store's newest. */
  confirmedAt?: Milliseconds
  /** Whether the store is unavailable to the peer. */
  storeOut: boolean
}

/** State of the table on one box. */
export interface TableState {
  self: VoterId
  limits: FreshnessLimits
  table: Table
  /** Latest instant at which the copy was known to be the store's newest. */
  confirmedAt?: Milliseconds
  /** When the last read that the store answered was sent. */
  storeReadAt?: Milliseconds
  /** When this box started to read the store. */
  startedAt: Milliseconds
  /** Highest revision known to exist. The copy never goes back below it. */
  floor: number
  /** Whether the store has returned a revision older than one known to be accepted. */
  storeWentBack: boolean
  peers: Map<VoterId, PeerReport>
  /** The current voter set, if any: the one with the highest known epoch. */
  voters?: VoterSet
  /** Proposals of any box that are not settled, by id. */
  open: Map<string, OpenProposal>
  /** Proposals of this box without an outcome, by id. */
  own: Map<string, OwnProposal>
  /** Stopped voters: earlier incarnations and removed boxes. They need not acknowledge. */
  gone: Set<VoterId>
}

export type TableMessage =
  | { type: 'propose'; proposal: Proposal }
  | { type: 'announcement'; from: VoterId; proposal: Proposal }
  | { type: 'announcement-heard'; id: string; by: VoterId }
  | { type: 'commit-answered'; id: string; outcome: ChangeOutcome }
  | { type: 'settled'; id: string; accepted: boolean; revision?: number }
  | {
      type: 'store-read'
      startedAt: Milliseconds
      /** The newest table in the store; the box's own copy if the revision is unchanged. */
      table: Table
      voters?: VoterSet
    }
  | { type: 'changes-heard'; changes: AcceptedChange[] }
  | { type: 'table-heard'; table: Table; voters?: VoterSet }
  | {
      type: 'peer-word'
      from: VoterId
      word: PeerReport
      open: Proposal[]
      voters?: VoterSet
    }
  | { type: 'voter-gone'; voter: VoterId }
  | { type: 'tick' }

export type TableEffect =
  | { type: 'announce'; proposal: Proposal }
  | { type: 'confirm-announcement'; to: VoterId; id: string }
  | { type: 'commit'; proposal: Proposal }
  | { type: 'answer'; id: string; outcome: ChangeOutcome }
  | { type: 'tell-settled'; id: string; accepted: boolean; revision?: number }
  | { type: 'settle'; proposal: Proposal }
  | { type: 'table-changed'; table: Table }
  | { type: 'fetch-table'; from: VoterId; above: number }
  | { type: 'store-went-back'; floor: number; shown: number }

export function createTableState(
  self: VoterId,
  now: Milliseconds,
  limits: FreshnessLimits = DEFAULT_FRESHNESS_LIMITS,
): TableState {
  return {
    self,
    limits,
    table: EMPTY_TABLE,
    startedAt: now,
    floor: 0,
    storeWentBack: false,
    peers: new Map(),
    open: new Map(),
    own: new Map(),
    gone: new Set(),
  }
}
