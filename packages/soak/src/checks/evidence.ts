import type { UpstreamAdvertisement, UpstreamLoad } from '@yewkeel/platform/stand-ins'
import type { Attempt, Execution, FaultSpan, Milliseconds } from './observations.js'

/** An API key that operators revoked. `revokedAt`: when the store accepted the change. */
export interface KeyRevocation {
  key: string
  revokedAt: Milliseconds
}

/** Operators routed calls from `previousService` to `service`. */
export interface RouteMove {
  service: string
  previousService: string
  at: Milliseconds
}

/** An upstream announced in its row of the store that it drains. */
export interface Drain {
  instance: string
  at: Milliseconds
}

/** An attempt that reached an upstream, whether executed or not. */
export interface Arrival {
  /** The attempt's. */
  id: string
  service: string
  version: string
  instance: string
  at: Milliseconds
}

/** An upstream advertises this (limit, back-off or drain) with all its answers. */
export interface AdvertisementSpan {
  instance: string
  content: UpstreamAdvertisement
  from: Milliseconds
  until: Milliseconds
}

/** An answer of an upstream that carried an advertisement. */
export interface AdvertisingAnswer {
  instance: string
  /** The answered attempt's. */
  id: string
  content: UpstreamAdvertisement
  at: Milliseconds
}

/** A rollout of a version to a service, and its outcome. */
export interface ObservedRollout {
  service: string
  target: string
  isBad: boolean
  orderedAt: Milliseconds
  endsAt: Milliseconds
  /** When the target began each of its bad answers. */
  flawedAt: Milliseconds[]
  /** The final state that the boxes stored: `completed` or `rolled_back`. */
  endState?: string
}

/** The service whose places are scarce under hard load. */
export const NARROW_SERVICE = 'narrow'

/** Load of an upstream of it from `at` until its next one. */
export interface ObservedLoad extends UpstreamLoad {
  instance: string
  at: Milliseconds
}

/** A time in which some organisations sent more than usual. */
export interface LoadPhase {
  kind: 'burst' | 'flood'
  from: Milliseconds
  until: Milliseconds
  /** The one that floods. */
  organisation?: string
}

/** Everything observed during the run of a seed. The checks read nothing else. */
export class Evidence {
  readonly attempts = new Map<string, Attempt>()
  readonly executions = new Map<string, Execution[]>()
  readonly arrivals: Arrival[] = []
  /** Undefined if the seed has no rollout. */
  rollout: ObservedRollout | undefined
  readonly keyRevocations: KeyRevocation[] = []
  readonly routeMoves: RouteMove[] = []
  readonly drains: Drain[] = []
  readonly faults: FaultSpan[] = []
  readonly advertisementSpans: AdvertisementSpan[] = []
  readonly advertisingAnswers: AdvertisingAnswer[] = []
  readonly upstreamLoads: ObservedLoad[] = []
  readonly loadPhases: LoadPhase[] = []
  /** Times in which a box, or the soak itself if there is none, waited for a processor. */
  readonly processorWaits: { box?: string; at: Milliseconds; duration: Milliseconds }[] = []
  /** Places of all upstreams of the narrow service. */
  narrowPlaces = 0
  /** Time with hard load and without faults; undefined if the seed has none. */
  calm: { from: Milliseconds; until: Milliseconds } | undefined
  /** What upstreams tell as their pace, by instance. */
  readonly toldPaces = new Map<string, 'bad' | 'steady' | 'changing'>()
  /** The most memory that each box took, in megabytes. */
  readonly memoryPeaks = new Map<string, number>()
  /** Boxes that ended though nobody had ended them. */
  readonly unexpectedExits: string[] = []
  /** Attempts that crash every upstream that executes them. */
  readonly poisonRequests = {
    /** The box that each was sent to, by attempt id. */
    boxes: new Map<string, string>(),
    crashes: [] as { id: string; at: Milliseconds }[],
  }
  /** The same for requests with a part that does so, of which no two are alike. */
  readonly deadlyRequests = {
    boxes: new Map<string, string>(),
    crashes: [] as { id: string; at: Milliseconds }[],
    /** Attempts whose callers took what they got for a whole answer. */
    seenWhole: [] as string[],
  }
  /** When each instance of an upstream that has ended did so. */
  readonly instanceEnds = new Map<string, Milliseconds>()
  /** Instances that are running when the seed ends. */
  finalInstances: ReadonlySet<string> = new Set()
  /** When the last fault ended. */
  faultsEndedAt: Milliseconds = Infinity

  /** For how long a box and the soak itself waited for a processor between `from` and `until`. */
  processorWait(waitingBox: string, from: Milliseconds, until: Milliseconds): Milliseconds {
    return this.processorWaits
      .filter(({ box, at }) => (box ?? waitingBox) === waitingBox && at >= from && at < until)
      .reduce((total, { duration }) => total + duration, 0)
  }

  /** The box that received an attempt from its caller. */
  boxOf(id: string): string | undefined {
    return (
      this.attempts.get(id)?.box ??
      this.poisonRequests.boxes.get(id) ??
      this.deadlyRequests.boxes.get(id)
    )
  }

  recordExecution(execution: Execution): void {
    const executions = this.executions.get(execution.id)
    if (executions) executions.push(execution)
    else this.executions.set(execution.id, [execution])
  }

  /**
   * Whether no fault struck a box, or all boxes, between `from` and `until`. Without a box, faults
   * of any box count. `isRelevant`: which kinds of fault count; by default all.
   */
  isFaultFree(
    box: string | undefined,
    from: Milliseconds,
    until: Milliseconds,
    isRelevant: (kind: string) => boolean = () => true,
  ): boolean {
    return !this.faults.some(
      fault =>
        isRelevant(fault.kind) &&
        (fault.box === undefined || box === undefined || fault.box === box) &&
        fault.from < until &&
        fault.until > from,
    )
  }
}
