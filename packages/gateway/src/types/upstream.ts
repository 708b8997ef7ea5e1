import type {
  ExchangeHealth,
  Milliseconds,
  StatedLimit,
  UpstreamCandidate,
} from '@yewkeel/decisions'
import type { Channels } from '../node/upstreamChannels.js'

/** An upstream that requests may be sent to. */
export interface Upstream extends UpstreamCandidate {
  /** Names the run that this is of. Asked for with each candidate of each choice. */
  run: string
  channels: Channels
  health: ExchangeHealth
  /** This box's own exchanges under way. */
  inFlight: number
  /** What the upstream last told of its load, and how much of that was ours. */
  told?: { load: number; own: number; at: Milliseconds }
  /** Until then it counts as cold. */
  coldUntil: Milliseconds
  /** What its run has said of itself. */
  said: Said
  /** When this box last chose it for requests, the newest at the end. */
  sentAt: Milliseconds[]
}

/** What one run of an upstream has said of itself, in answers to this box or to others. */
export interface Said {
  /** Once it has named a limit. */
  limit?: StatedLimit
  /** It leaves, whatever its entry says: where the store is out the entry can't change. */
  isLeaving: boolean
  /** Until then it wants nothing from this box. */
  restUntil: Milliseconds
  /** The limit that the log told of last. */
  loggedLimit?: number
  /** Requests that this box has sent there since the last line about it. */
  sent: number
  /** One line for each run tells what nobody can read. */
  hasUnreadable: boolean
}
