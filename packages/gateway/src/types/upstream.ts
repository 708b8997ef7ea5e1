import type {
  BrittleHold,
  ExchangeHealth,
  Milliseconds,
  AdvertisedLimit,
  LearnedSlowness,
  OthersLoad,
  ToldLoad,
  ToldPace,
  UpstreamCandidate,
} from '@yewkeel/decisions'
import type { ConnectionPool } from '../node/upstreamConnectionPool.js'

/** An upstream that requests can be sent to. */
export interface Upstream extends UpstreamCandidate {
  /** Id of the run, precomputed since selection reads it for every candidate. */
  run: string
  connectionPool: ConnectionPool
  health: ExchangeHealth
  /** When bytes last came from it to this box; before the first, not finite. */
  heardAt: Milliseconds
  /** Exchanges of this box in flight. */
  inFlight: number
  /** The load that the upstream last reported, and this box's exchanges in flight at the time. */
  reportedLoad?: { load: number; own: number; at: Milliseconds }
  /** What it told of its load and pace, to this box or to others. */
  told?: UpstreamTold
  /** How long its calls take over those of others, apart from its pace. */
  callSlowness?: LearnedSlowness
  /** It counts as cold until then. */
  coldUntil: Milliseconds
  /** Rate limit, drain and back-off state of its run. */
  advertised: AdvertisedState
  /** Times of recent requests of this box to it, newest last. */
  sentAt: Milliseconds[]
}

/** What one run of an upstream told of its load and pace, to any box. */
export interface UpstreamTold {
  load: ToldLoad
  /** Exchanges of this box in flight at the time. */
  own: number
  at: Milliseconds
  /** Undefined until it has told one. */
  pace?: ToldPace
  /** Requests of other boxes there. */
  others: OthersLoad
  /** This box got it in an answer. Otherwise it was received from another box. */
  isOwn: boolean
  /** What other boxes know of it, and since when. */
  shared?: { load: number; pace: number; at: Milliseconds }
}

/** What one run of an upstream has advertised in its responses to this box or to others. */
export interface AdvertisedState {
  /** Set once it has advertised a rate limit. */
  limit?: AdvertisedLimit
  /** It is draining, whatever its entry says: the entry cannot change during a store outage. */
  isLeaving: boolean
  /** End of the back-off that it requested from this box with `Retry-After`. */
  backOffUntil: Milliseconds
  /** Set while its answers say how many rejections it bears. */
  brittle?: BrittleHold
  /** The limit that was last logged. */
  loggedLimit?: number
  /** Requests sent by this box since the last log line about it. */
  sentSinceLog: number
  /** Malformed headers of the run have been logged. */
  hasLoggedMalformed: boolean
}
