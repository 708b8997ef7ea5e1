import type {
  AdmissionRequest,
  Clock,
  LimitRow,
  Milliseconds,
  Random,
  RetryBudget,
  Rights,
  UpstreamStrategyName,
} from '@yewkeel/decisions'
import type { AllowanceTask } from '../tasks/allowanceTask.js'
import type { BillTask } from '../tasks/billTask.js'
import type { CallerKeys } from '../requests/callerKeys.js'
import type { ClaimTask } from '../tasks/claimTask.js'
import type { CrashSuspects } from '../tasks/crashSuspects.js'
import type { ExposureTask } from '../tasks/exposureTask.js'
import type { MembershipTask } from '../tasks/membershipTask.js'
import type { QualityTask } from '../tasks/qualityTask.js'
import type { StreamFinder } from '../tasks/streamFinder.js'
import type { TableTask } from '../tasks/tableTask.js'
import type { PoolUses, UpstreamTask } from '../tasks/upstreamTask.js'
import type {
  CallerRequest,
  Log,
  Metrics,
  Responder,
  Span,
  Tracer,
  UpstreamClient,
} from './ports.js'
import type { Settings } from './settings.js'

/** Services shared by all request handlers of a box. */
export interface BoxServices {
  settings: Settings
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  tracer: Tracer
  client: UpstreamClient
  keys: CallerKeys
  table: TableTask
  membership: MembershipTask
  bills: BillTask
  claims: ClaimTask
  upstreams: UpstreamTask
  poolUses: PoolUses
  allowances: AllowanceTask
  exposure: ExposureTask
  quality: QualityTask
  streams: StreamFinder
  retryBudget: RetryBudget
  /** Requests suspected of crashing upstreams. */
  suspects: CrashSuspects
  strategy: UpstreamStrategyName
  /** Open requests as a fraction of `settings.limits.openRequests`. */
  load(): number
  /** False once the box drains. */
  acceptsNewRequests(): boolean
}

/** State of one caller request while it passes through the filters and is dispatched. */
export interface RequestContext {
  services: BoxServices
  request: CallerRequest
  responder: Responder
  id: string
  /** Key of the bill: the same for all retries of a caller that sends an idempotency key. */
  billId: string
  receivedAt: Milliseconds
  /** An attempt may have run upstream: no later refusal may claim the opposite. */
  mayHaveRun: boolean
  span: Span
  /** Set by the filters, as are `limit` and `rights`. */
  organisation: string
  limit: LimitRow
  /** Resolved tables, all of which must allow the request. */
  rights: readonly Rights[]
}

/** How to dispatch a request to an upstream. */
export interface SendPlan {
  /** `model@version` or a service name. */
  served: string
  admission: AdmissionRequest
  /** Whether an attempt that may have run may be retried: false for non-idempotent calls. */
  isRetryable: boolean
}
