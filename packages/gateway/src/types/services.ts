import type { Clock, ConfidenceGains, Random, RetryShares } from '@yewkeel/decisions'
import type { CrashSuspects } from '@yewkeel/box'
import type { EngineWork } from '../tasks/engineWork.js'
import type { OperatorTask } from '../tasks/operatorTask.js'
import type { PauseWatch } from '../tasks/pauseWatch.js'
import type { ReachabilityWatch } from '../tasks/reachabilityWatch.js'
import type { RolloutTask } from '../tasks/rolloutTask.js'
import type { UpstreamDirectory } from '../tasks/upstreamDirectory.js'
import type { UpstreamOutcomes } from '../tasks/upstreamOutcomes.js'
import type { StatementTask } from '../tasks/statementTask.js'
import type { StallWatch } from '../requests/stallWatch.js'
import type { Dialect, EventLog, GatewayMetrics } from './ports.js'
import type { GatewaySettings } from './settings.js'

/** What requests are handled with. */
export interface GatewayServices {
  settings: GatewaySettings
  clock: Clock
  random: Random
  log: EventLog
  metrics: GatewayMetrics
  dialect: Dialect
  operators: OperatorTask
  upstreams: UpstreamDirectory
  outcomes: UpstreamOutcomes
  rollouts: RolloutTask
  work: EngineWork
  retries: RetryShares
  /** How much more confident larger models are, as learned from requests that several answered. */
  gains: ConfidenceGains
  stalls: StallWatch
  reachability: ReachabilityWatch
  /** What is known of requests under which upstreams ended. */
  suspects: CrashSuspects
  pauses: PauseWatch
  statements: StatementTask
  /** Boxes that are heard of, and this one. */
  boxCount(): number
  /**
   * Boxes that share the budgets. Infinite until the entries were read: seven boxes that started while the store was out each
   * took the whole fixed part of a budget for their own, 315 retries of 50 (played on a moved clock).
   */
  sharingBoxes(): number
  /** Connections that one upstream of a service takes from this box. */
  channelLimit(service: string): number
}
