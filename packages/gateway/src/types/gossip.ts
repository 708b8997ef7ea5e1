import type {
  AnswerCount,
  EndCounts,
  HeadroomLevel,
  ListedUpstream,
  Milliseconds,
  RolloutStatus,
  SharedLimit,
  StoreRevision,
  SumEntry,
} from '@yewkeel/decisions'
import type { Verdict } from '../tasks/rolloutTask.js'
import type { BoxEntry, OperatorState } from './ports.js'
import type { SuspectUpdate } from '@yewkeel/box'

/** Gossip encodes a state by its index, so that the order is part of the protocol between boxes. */
export const GATEWAY_STATES = ['starting', 'serving', 'leaving', 'cut-off'] as const

/** `cut-off`: without a path to the upstreams; serves its callers by way of other boxes. */
export type GatewayState = (typeof GATEWAY_STATES)[number]

/** What a box tells of its paths to upstreams, by service. */
export interface PathReport {
  /** Services whose upstreams it heard within the last second. */
  heard: readonly string[]
  /** Services to whose upstreams it has found its path to be lost. */
  lost: readonly string[]
}

/** What a box found the ends of a service's streams without a length to be, in the last half minute. */
export interface EndReport extends EndCounts {
  service: string
}

/** The report of a box about itself. */
export interface OwnReport {
  state: GatewayState
  /** Age of the run, and strictly increasing from report to report. */
  sequence: Milliseconds
  /** The box cannot reach the store. */
  isStoreLost: boolean
  /** Its paths to upstreams; undefined from older boxes. */
  paths?: PathReport
  /** Ends of streams; undefined if it found nothing, and from older boxes. */
  ends?: readonly EndReport[]
  /** What the box can bear beyond its present load; undefined from older boxes. */
  headroom?: HeadroomLevel
  /** Answer counts by version since the run began; empty unless a rollout is in progress. */
  answers: AnswerCount[]
}

/**
 * Confirms that content read from the store was the newest there. The revision changes with every
 * write to the store, the fingerprint only with the content.
 */
export interface FreshnessProof extends StoreRevision {
  /** Revision of the store as a whole. */
  revision: number
  /** Equal for equal content. */
  fingerprint: number
  /** Time since the confirmation. */
  age: Milliseconds
}

/** A proof of the operator state. */
export interface OperatorProof extends FreshnessProof {
  /**
   * Version of the configuration that the sender holds; undefined if it has none. A restored store
   * may hold an older one.
   */
  configuration?: number
}

/** What an upstream told in an answer to some box. Figures that it did not tell are 0. */
export type ToldEntry = [
  run: string,
  running: number,
  waiting: number,
  slots: number,
  pacePercent: number,
  age: Milliseconds,
]

/** What a box tells others about load. Older boxes send and read `entries` alone. */
export interface LoadReport {
  /** Prefill work queued at each engine in ms, requests in flight there, and their tokens. */
  entries: SumEntry[]
  /** The newest load told by each upstream that tells its pace; absent if there is none. */
  told?: ToldEntry[]
  /** From a relay: requests and tokens at each upstream that other data centres hold. */
  remote?: SumEntry[]
  /** Requests at upstreams and requests that wait, by flow, while room is short. */
  demand?: SumEntry[]
}

/** How the sums of a relay came to a member. */
export interface SumsDelivery {
  /** The relay whose sums they are. */
  relay: string
  /** Send time on the relay's clock. */
  stamp: Milliseconds
  /** Interval between its reports, as far as their bytes decide it. */
  interval: Milliseconds
  /** Boxes to which the receiver is to forward them. */
  forwardTo?: ForwardingBranch[]
}

/** A box that sums are forwarded to, or one with those that it forwards them to itself. */
export type ForwardingBranch = string | { box: string; forwardTo: ForwardingBranch[] }

/** Sums that a member got, as it tells the relay. */
export interface SumsReceipt extends Pick<SumsDelivery, 'relay' | 'stamp'> {
  /** The box that forwarded them; absent if they came from the relay. */
  by?: string
}

/** Load of the sender. */
export interface WorkMessage extends LoadReport {
  type: 'work'
  /** In each round, from a member that reads packed sums; null if it has got none. */
  receipt?: SumsReceipt | null
}

/** Load summed over all boxes of the sender's data centre. */
export interface SumsMessage extends LoadReport {
  type: 'work-sums'
  /** Most of `entries` and `remote`, in packed form. Only to boxes that send receipts. */
  packed?: Uint8Array
  delivery?: SumsDelivery
}

/** Requests and tokens at upstreams, summed over the sender's data centre; among relays. */
export interface RoomSumsMessage {
  type: 'room-sums'
  entries: SumEntry[]
  /** Most of `entries`, in packed form; its presence says that the sender reads that. */
  packed?: Uint8Array
}

/** The message that a box sends its neighbours in each round of gossip. */
export interface Gossip {
  type: 'gossip'
  /** Send time on the sender's clock; returned in `echo`. */
  stamp: Milliseconds
  /** The newest stamp that the sender got from the receiver, and the time since then. */
  echo?: { stamp: Milliseconds; heldFor: Milliseconds }
  own: OwnReport
  /** Packed reports about other boxes. Every other round carries changes only; empty in a mesh. */
  others: Uint8Array
  operators?: OperatorProof
  upstreams?: FreshnessProof
  rollouts: RolloutStatus[]
  /** Versions that boxes have judged to be bad. */
  verdicts: Verdict[]
  /** Prefill work queued at engines for the sender; empty unless its sharing role is `direct`. */
  work: SumEntry[]
  /** The rest of the sender's load report, in the same case. */
  load?: Omit<LoadReport, 'entries'>
  /** The store's clock at the time of sending. */
  storeNow?: Milliseconds
  /** Epoch of `storeNow`; undefined is 0. */
  storeEpoch?: number
}

/** A rate limit or drain notice that an upstream sent in a response to any box. */
export interface Advertisement {
  /** Run of the upstream. The advertisement expires with it. */
  run: string
  limit?: SharedLimit
  /** The upstream is draining; irrevocable for the run. */
  isLeaving?: true
}

/** Messages between gateways. */
export type GatewayMessage =
  | Gossip
  | WorkMessage
  | SumsMessage
  | RoomSumsMessage
  | { type: 'boxes-wanted' }
  | { type: 'boxes'; entries: BoxEntry[] }
  /** Older boxes send no `stamp`. */
  | { type: 'operators-wanted'; stamp?: Milliseconds }
  | OperatorsMessage
  | { type: 'upstreams-wanted'; stamp: Milliseconds }
  /** Runs of upstreams that have ended: other processes now respond at their addresses. */
  | { type: 'upstreams-gone'; runs: string[] }
  | UpstreamsMessage
  /** Advertisements of upstreams: sent on request after a connection, and immediately when new. */
  | { type: 'statements-wanted' }
  | { type: 'statements'; entries: Advertisement[] }
  /** Requests all crash suspects that the receiver has. */
  | { type: 'suspects-wanted' }
  /**
   * `isComplete`: contains all requests quarantined so far. Only in replies to `suspects-wanted`.
   */
  | { type: 'suspects'; entries: SuspectUpdate[]; isComplete?: boolean }

/** The operator state; the reply to `operators-wanted`. */
export interface OperatorsMessage {
  type: 'operators'
  state: OperatorState
  /** Stamp of the request, on the requester's clock. */
  stamp?: Milliseconds
  /** Time since the state was confirmed to be the newest in the store; absent if it never was. */
  age?: Milliseconds
}

/** The list of upstreams; the reply to `upstreams-wanted`. */
export interface UpstreamsMessage {
  type: 'upstreams'
  version: number
  /** Epoch of `version`; undefined is 0. */
  epoch?: number
  entries: ListedUpstream[]
  /** Stamp of the request, on the requester's clock. */
  stamp: Milliseconds
  /** Time since the list was confirmed to be the newest in the store; absent if it never was. */
  age?: Milliseconds
}
