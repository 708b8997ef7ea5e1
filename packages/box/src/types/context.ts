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

/** What a box's requests are handled with. */
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
  uses: PoolUses
  allowances: AllowanceTask
  exposure: ExposureTask
  quality: QualityTask
  streams: StreamFinder
  retries: RetryBudget
  /** What is known of requests under which upstreams ended. */
  suspects: CrashSuspects
  strategy: UpstreamStrategyName
  /** Share of the bound on open requests in use. */
  load(): number
  takesNewRequests(): boolean
}

/** One request of a caller on its way through the filters. */
export interface RequestContext {
  services: BoxServices
  request: CallerRequest
  responder: Responder
  id: string
  /** Names the bill: the same for all attempts of a caller that sends an idempotency key. */
  billId: string
  receivedAt: Milliseconds
  /** Some try at an upstream may have run, so no later refusal can say that the request did not. */
  mayHaveRun: boolean
  span: Span
  /** Set by the filters that find them out. */
  organisation: string
  limit: LimitRow
  /** Tables that the request must satisfy. */
  rights: readonly Rights[]
}

/** What dispatching needs to know of a request beside its context. */
export interface SendPlan {
  /** `model@version` or the name of a service. */
  served: string
  admission: AdmissionRequest
  mayRepeat: boolean
}
