import type {
  AnswerCount,
  ListedUpstream,
  Milliseconds,
  RolloutStatus,
  SharedLimit,
  WorkEntry,
} from '@yewkeel/decisions'
import type { Verdict } from '../tasks/rolloutTask.js'
import type { BoxEntry, OperatorState } from './ports.js'
import type { SuspectNews } from '@yewkeel/box'

/** The order is part of the protocol between boxes. */
export const GATEWAY_STATES = ['starting', 'serving', 'leaving'] as const

export type GatewayState = (typeof GATEWAY_STATES)[number]

/** What a box says of itself. */
export interface OwnReport {
  state: GatewayState
  /** Time since the run began; no two reports have the same. */
  sequence: Milliseconds
  /** The store does not answer this box. */
  isStoreLost: boolean
  /** Answers by version since the box began. Only while a roll-out is under way. */
  answers: AnswerCount[]
}

/** A proof that something read from the store was the newest there. The store changes all the time, what it says seldom. */
export interface FreshnessProof {
  /** Of the store as a whole. */
  revision: number
  /** Equal where the content says the same. */
  fingerprint: number
  age: Milliseconds
}

/** What a box tells its neighbours a few times a second. */
export interface Gossip {
  type: 'gossip'
  /** The sender's clock; comes back as `echo`. */
  stamp: Milliseconds
  /** The receiver's own newest stamp, and how long the sender has held it. */
  echo?: { stamp: Milliseconds; heldFor: Milliseconds }
  own: OwnReport
  /** Packed hearsay. News alone in every other round; empty where every box is linked to every other. */
  others: Uint8Array
  operators?: FreshnessProof
  upstreams?: FreshnessProof
  rollouts: RolloutStatus[]
  /** Versions that boxes hold to be bad. */
  verdicts: Verdict[]
  /** Prompts that engines have still to read for the sender. Left empty where a relay is told of them. */
  work: WorkEntry[]
  /** The store's clock when the message was written. */
  storeNow?: Milliseconds
}

/** What an upstream said of itself in an answer to some box. */
export interface Statement {
  /** Of the upstream: what is told of it ends with it. */
  run: string
  limit?: SharedLimit
  /** It leaves, and never takes that back. */
  isLeaving?: true
}

/** Messages between gateways. */
export type GatewayMessage =
  | Gossip
  /** Prompts that engines have still to read for the sender. */
  | { type: 'work'; entries: WorkEntry[] }
  /** The same for all boxes of the sender's data centre. */
  | { type: 'work-sums'; entries: WorkEntry[] }
  | { type: 'boxes-wanted' }
  | { type: 'boxes'; entries: BoxEntry[] }
  | { type: 'operators-wanted' }
  | { type: 'operators'; state: OperatorState }
  | { type: 'upstreams-wanted'; stamp: Milliseconds }
  /** Other processes answer at the addresses of these runs of upstreams. */
  | { type: 'upstreams-gone'; runs: string[] }
  | UpstreamsMessage
  /** What upstreams say of themselves: asked for by a box that links, and told at once when it is news. */
  | { type: 'statements-wanted' }
  | { type: 'statements'; entries: Statement[] }
  /** What the receiver knows of requests under which upstreams ended. */
  | { type: 'suspects-wanted' }
  /** `isComplete`: all that was condemned before is among it. Only in the answer to the question. */
  | { type: 'suspects'; entries: SuspectNews[]; isComplete?: boolean }

/** The list of upstreams, asked for by `upstreams-wanted`. */
export interface UpstreamsMessage {
  type: 'upstreams'
  version: number
  entries: ListedUpstream[]
  /** That of the question, on the clock of who asked. */
  stamp: Milliseconds
  /** Of the proof that the list was the store's newest; left out where there is none. */
  age?: Milliseconds
}
