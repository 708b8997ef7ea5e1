import type { Milliseconds } from '../types/clock.js'
import type { VoterId, VoterSet } from '../membership/voters.js'
import { EMPTY_TABLE, type AcceptedChange, type Table, type TableChange } from '../table/table.js'
import type { ChangeOutcome } from '../table/acceptChange.js'

/** Limits of the rule that says whether a box may serve with its copy of the table. */
export interface FreshnessLimits {
  /** How old the evidence may be that the copy is the store's newest. Bounds how late a change is in force. */
  freshFor: Milliseconds
  /** How old a peer's word may be when a majority vouches for the table while the store is out. */
  peerWordFor: Milliseconds
  /** How long the store must not have answered before a box calls it out. */
  storeOutAfter: Milliseconds
  /** How long an announced proposal may stay open before a box with the store at hand settles it. */
  settleAfter: Milliseconds
  /** How long a proposer waits for its majority. */
  announceFor: Milliseconds
}

export const DEFAULT_FRESHNESS_LIMITS: FreshnessLimits = {
  freshFor: 3_000,
  peerWordFor: 2_000,
  storeOutAfter: 1_500,
  settleAfter: 5_000,
  announceFor: 1_500,
}

/** What a proposal would bring into force. */
export type ProposalContent =
  { kind: 'change'; change: TableChange } | { kind: 'voters'; set: VoterSet }

export interface Proposal {
  id: string
  content: ProposalContent
}

/** A proposal that some box may have written or may still write. Until it is settled both outcomes are honoured. */
export interface OpenProposal extends Proposal {
  heardAt: Milliseconds
  /** Set once the change is known to be accepted while the copy does not hold it yet. */
  acceptedRevision?: number
}

/** A proposal of this box that waits for a majority or for the store. */
export interface OwnProposal {
  proposal: Proposal
  startedAt: Milliseconds
  step: 'announcing' | 'committing'
  announcedTo: Set<VoterId>
}

/** What a peer said, on this box's clock. */
export interface PeerWord {
  /** An instant before which the peer cannot have spoken. */
  asOf: Milliseconds
  revision: number
  /** When the peer's copy was known to be the store's newest. */
  confirmedAt?: Milliseconds
  storeOut: boolean
}

/** Everything that decides which table a box serves by. */
export interface TableState {
  self: VoterId
  limits: FreshnessLimits
  table: Table
  /** An instant at which the store's newest revision was this copy's. */
  confirmedAt?: Milliseconds
  /** When the last read that the store answered was started. */
  storeReadAt?: Milliseconds
  /** When this box began to ask the store. */
  startedAt: Milliseconds
  /** The highest revision known to exist. The copy never goes below it once it has reached it. */
  floor: number
  /** True when the store showed an older revision than one known to be accepted. */
  storeWentBack: boolean
  peers: Map<VoterId, PeerWord>
  /** The newest voter set known to stand, if any. */
  voters?: VoterSet
  open: Map<string, OpenProposal>
  own: Map<string, OwnProposal>
  /** Earlier incarnations and boxes known not to run any more; they need not be asked. */
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
      /** The newest table in the store; the box's own copy when the head has not moved. */
      table: Table
      voters?: VoterSet
    }
  | { type: 'changes-heard'; changes: AcceptedChange[] }
  | { type: 'table-heard'; table: Table; voters?: VoterSet }
  | {
      type: 'peer-word'
      from: VoterId
      word: PeerWord
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
