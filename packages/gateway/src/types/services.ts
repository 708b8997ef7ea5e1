import type { Clock, ConfidenceGains, Random, RetryShares } from '@yewkeel/decisions'
import type { CrashSuspects } from '@yewkeel/box'
import type { EngineWork } from '../tasks/engineWork.js'
import type { KeptBytes } from '../tasks/keptBytes.js'
import type { CallPace } from '../tasks/callPace.js'
import type { LoadSharing } from '../tasks/loadSharing.js'
import type { ToldLoads } from '../tasks/toldLoads.js'
import type { OperatorTask } from '../tasks/operatorTask.js'
import type { EndWatch } from '../tasks/endWatch.js'
import type { PathWatch } from '../tasks/pathWatch.js'
import type { PauseWatch } from '../tasks/pauseWatch.js'
import type { ReachabilityWatch } from '../tasks/reachabilityWatch.js'
import type { RoomAdmission } from '../tasks/roomAdmission.js'
import type { RoomDemand } from '../tasks/roomDemand.js'
import type { Relays } from '../tasks/relays.js'
import type { RetryBudgetWatch } from '../tasks/retryBudgetWatch.js'
import type { RolloutTask } from '../tasks/rolloutTask.js'
import type { UpstreamDirectory } from '../tasks/upstreamDirectory.js'
import type { UpstreamRooms } from '../tasks/upstreamRooms.js'
import type { UpstreamOutcomes } from '../tasks/upstreamOutcomes.js'
import type { AdvertisementTask } from '../tasks/advertisementTask.js'
import type { Upstream } from './upstream.js'
import type { StallWatch } from '../requests/stallWatch.js'
import type { Dialect, EventLog, GatewayMetrics } from './ports.js'
import type { GatewaySettings } from './settings.js'

/** A request that is being forwarded. */
export interface OpenRequest {
  /** Ends it before its answer is complete, for the given reason. */
  cutOff(reason: string): void
  /** An upstream was found to take no connections. */
  recordUnreachable?(upstream: Upstream): void
}

/** The services that request handling depends on. */
export interface GatewayServices {
  settings: GatewaySettings
  clock: Clock
  random: Random
  log: EventLog
  metrics: GatewayMetrics
  dialect: Dialect
  operators: OperatorTask
  upstreams: UpstreamDirectory
  rooms: UpstreamRooms
  outcomes: UpstreamOutcomes
  rollouts: RolloutTask
  work: EngineWork
  loads: LoadSharing
  /** Loads that upstreams told. */
  told: ToldLoads
  callPace: CallPace
  /** Requests of this box at upstreams and waiting, and what others tell of theirs. */
  demand: RoomDemand
  roomQueue: RoomAdmission
  retryShares: RetryShares
  retryBudgetWatch: RetryBudgetWatch
  /**
   * Estimated gain in confidence from model to model, from requests that several models answered.
   */
  confidenceGains: ConfidenceGains
  /** Requests that are being forwarded. */
  openRequests: Set<OpenRequest>
  stalls: StallWatch
  reachability: ReachabilityWatch
  /** Bytes kept in memory for callers and upstreams. */
  kept: KeptBytes
  /** Requests that were in flight when an upstream crashed. */
  suspects: CrashSuspects
  pauses: PauseWatch
  /** Whether this box has paths to the upstreams. */
  paths: PathWatch
  /** What is known of the ends of streams without a length. */
  ends: EndWatch
  /** Other boxes that serve what this one has no path for. */
  relays: Relays
  advertisements: AdvertisementTask
  /** Number of live boxes, including this one. */
  boxCount(): number
  /**
   * Number of boxes that share the budgets. Infinite until the entries have been read, so that
   * boxes that start during a store outage do not each take a whole budget.
   */
  budgetBoxCount(): number
  /** Limit on connections from this box to one upstream of a service. */
  connectionLimit(service: string): number
}
