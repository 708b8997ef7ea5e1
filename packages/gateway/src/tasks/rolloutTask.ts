import {
  decideRollout,
  goesToTarget,
  belongsToOrder,
  isRolloutFinished,
  isTrialOver,
  keepsSessions,
  rejectedVersions,
  targetShare,
  excludeRejected,
  type AnswerCount,
  type Clock,
  type ExposureLimit,
  type Milliseconds,
  type Random,
  type RolloutOrder,
  type RolloutState,
  type RolloutStatus,
  type VersionFault,
  type VersionTrial,
} from '@yewkeel/decisions'
import type { EventLog, Store } from '../types/ports.js'
import { StoreClock } from './storeClock.js'
import type { UpstreamDirectory } from './upstreamDirectory.js'
import { VersionEvaluator, type BoxAnswers } from './versionEvaluator.js'

export interface RolloutTaskOptions {
  clock: Clock
  random: Random
  log: EventLog
  store: Store
  upstreams: UpstreamDirectory
  /** This box's rank among the boxes that may write statuses; 0 is the leader. */
  rank(): number
  /** Answer counts of all boxes, including this one. */
  answerReports(): readonly BoxAnswers[]
  /** Maximum share of a service's requests that a bad version may receive. */
  exposureLimit(): ExposureLimit
  /** Called when this box finds a version bad or receives such a verdict. */
  onVerdict(): void
  /** Called on each bad answer of a version on trial. */
  onBadAnswer(): void
}

/**
 * Takeover delay per rank while a status change is not written, longer than a write and its gossip.
 * Concurrent writes are safe: the row's revision is compared and swapped.
 */
const TAKEOVER_DELAY: Milliseconds = 250

const EVIDENCE_LOG_INTERVAL: Milliseconds = 1_000

/** States that the boxes found the target of an order bad; may precede the store's status. */
export interface Verdict {
  service: string
  /** Revision of the order. */
  revision: number
}

/**
 * Executes the operators' rollout orders: draws versions for requests, gathers evidence and writes
 * rollout statuses to the store.
 */
export class RolloutTask {
  #orders: readonly RolloutOrder[] = []
  readonly #statuses = new Map<string, RolloutStatus>()
  /** The store's clock, by which all boxes ramp alike. */
  readonly storeClock: StoreClock
  /** Judges the versions that are rolled out. */
  readonly evaluator: VersionEvaluator
  /** Store time at which this box first read the order, by service. */
  readonly #orderedAt = new Map<string, Milliseconds>()
  /** Revision of the order whose target was found bad, by service. */
  readonly #badTargets = new Map<string, number>()
  #evidenceLoggedAt = -Infinity
  /** Services whose target ended its trial with unfavourable evidence. */
  readonly #doubtfulServices = new Set<string>()
  /** Incremented when running requests must draw their versions again. */
  #admissionRevision = 0
  /** Versions by service that served before any order. */
  readonly #established = new Map<string, Set<string>>()
  readonly #pendingSince = new Map<string, Milliseconds>()
  readonly #writing = new Set<string>()

  constructor(private readonly options: RolloutTaskOptions) {
    this.storeClock = new StoreClock(options.clock)
    this.evaluator = new VersionEvaluator({
      isOnTrial: (service, version) => this.isOnTrial(service, version),
      onBadAnswer: () => this.options.onBadAnswer(),
    })
  }

  get statuses(): RolloutStatus[] {
    return [...this.#statuses.values()]
  }

  /** Estimated time on the store's clock; undefined before its first answer. */
  get storeNow(): Milliseconds | undefined {
    return this.storeClock.now
  }

  /** This box's answer counts for gossip; empty unless a rollout is in progress. */
  get answers(): AnswerCount[] {
    return this.isUnderWay ? this.evaluator.counts : []
  }

  /** Verdicts for gossip, including those that the store may not have yet. */
  get verdicts(): Verdict[] {
    return [...this.#badTargets].map(([service, revision]) => ({ service, revision }))
  }

  /** Whether the version is being rolled out and may still be rolled back. */
  isOnTrial(service: string, version: string): boolean {
    const order = this.#orderOf(service)
    return order?.target === version && !isRolloutFinished(order, this.#statuses.get(service))
  }

  /** The target of the current rollout of a service and its share of requests now. */
  trialOf(service: string): VersionTrial | undefined {
    const order = this.#orderOf(service)
    const { storeNow } = this
    if (!order || storeNow === undefined || !this.isOnTrial(service, order.target)) return undefined
    return { version: order.target, share: this.#shareOf(order, storeNow), storeNow }
  }

  #orderOf(service: string): RolloutOrder | undefined {
    return this.#orders.find(entry => entry.service === service)
  }

  /** The target's share now; 0 once it is found bad, even if the store does not have that yet. */
  #shareOf(order: RolloutOrder, storeNow: Milliseconds): number {
    const status = this.#statuses.get(order.service)
    if (this.#isMarkedBad(order) && !isRolloutFinished(order, status)) return 0
    const isDoubted = this.#doubtfulServices.has(order.service)
    return targetShare(order, status, storeNow, this.options.exposureLimit(), isDoubted)
  }

  #isMarkedBad({ service, revision }: RolloutOrder): boolean {
    return this.#badTargets.get(service) === revision
  }

  /** Whether some order is neither completed nor rolled back. */
  get isUnderWay(): boolean {
    return this.#orders.some(order => !isRolloutFinished(order, this.#statuses.get(order.service)))
  }

  updateStoreClock(storeNow: Milliseconds, at: Milliseconds, epoch = 0): void {
    this.storeClock.update(storeNow, at, epoch)
  }

  applyOrders(orders: readonly RolloutOrder[]): void {
    if (orders.length !== this.#orders.length) this.#admissionRevision++
    for (const order of orders) {
      if (this.#orderOf(order.service)?.revision === order.revision) continue
      this.evaluator.forget(order.service)
      this.#orderedAt.delete(order.service)
      this.#doubtfulServices.delete(order.service)
      this.#admissionRevision++
      this.options.log.event('rollout-ordered', { ...order })
    }
    this.#orders = orders
    this.#recordOrderTimes()
  }

  #recordOrderTimes(): void {
    const { storeNow } = this
    if (storeNow === undefined) return
    for (const { service } of this.#orders)
      if (!this.#orderedAt.has(service)) this.#orderedAt.set(service, storeNow)
  }

  mergeStatuses(statuses: readonly RolloutStatus[]): void {
    for (const status of statuses) {
      const known = this.#statuses.get(status.service)
      if (known && known.revision >= status.revision) continue
      this.#statuses.set(status.service, status)
      this.#admissionRevision++
      this.#pendingSince.delete(status.service)
      this.options.log.event('rollout-status', { ...status })
    }
  }

  /** Applies verdicts of other boxes that match the current orders. */
  mergeVerdicts(verdicts: readonly Verdict[]): void {
    for (const { service, revision } of verdicts) {
      const order = this.#orderOf(service)
      if (order?.revision === revision) this.#markBad(order, 'told')
    }
  }

  #markBad(order: RolloutOrder, why: VersionFault | 'told'): void {
    if (this.#isMarkedBad(order)) return
    this.#badTargets.set(order.service, order.revision)
    this.#admissionRevision++
    const { service, target } = order
    const { storeNow } = this
    const startedAt = this.#statuses.get(service)?.startedAt
    const after =
      storeNow === undefined || startedAt === undefined ? undefined : storeNow - startedAt
    this.options.log.event('version-condemned', { service, target, after, why })
    this.options.onVerdict()
  }

  /**
   * Returns a predicate of the versions that a request may run on. The draw is kept so that all
   * attempts agree, and repeated after a change of orders, statuses or verdicts, so that running
   * requests leave a bad version.
   */
  admission(service: string, session: string | undefined): (version: string) => boolean {
    let drawnAtRevision = this.#admissionRevision
    let drawn = this.#drawAdmission(service, session)
    return version => {
      if (drawnAtRevision !== this.#admissionRevision) {
        drawnAtRevision = this.#admissionRevision
        drawn = this.#drawAdmission(service, session)
      }
      return drawn(version)
    }
  }

  #drawAdmission(service: string, session: string | undefined): (version: string) => boolean {
    const order = this.#orderOf(service)
    if (!order) return this.#admitEstablished(service)
    const status = this.#statuses.get(service)
    const storeNow = this.storeNow ?? 0
    const shares = {
      target: order.target,
      share: this.#shareOf(order, storeNow),
      keepsSessions: keepsSessions(order, status, storeNow),
    }
    const request = session === undefined ? {} : { session }
    const isTarget = goesToTarget(shares, request, this.options.random)
    const versions = this.options.upstreams.readyVersions(service)
    const others = [...versions.keys()].filter(version => version !== order.target)
    const hasOthers = others.length > 0
    const isCompleted = status && belongsToOrder(status, order) && status.state === 'completed'
    // Sessions keep their version; other requests use another version while the target's upstreams
    // are throttled.
    const mayFallBack = isTarget && session === undefined && hasOthers && !isCompleted
    const isTargetAvailable =
      !mayFallBack || this.options.upstreams.canSendTo(service, order.target)
    const hasTarget = versions.has(order.target) && isTargetAvailable
    const rejected = rejectedVersions(status, order)
    if (isTarget ? hasTarget : !hasOthers && shares.share > 0)
      return version => version === order.target
    if (isCompleted && hasTarget) return version => version === order.target
    return excludeRejected(rejected, version => version !== order.target, versions.keys())
  }

  /** Without an order, admits only established versions as long as one of them is ready. */
  #admitEstablished(service: string): (version: string) => boolean {
    const versions = this.options.upstreams.readyVersions(service)
    const established = this.#established.get(service) ?? new Set(versions.keys())
    const rejected = rejectedVersions(this.#statuses.get(service))
    const isServed = [...established].some(version => versions.has(version))
    if (!isServed) for (const version of versions.keys()) established.add(version)
    if (established.size > 0) this.#established.set(service, established)
    return excludeRejected(rejected, version => established.has(version), versions.keys())
  }

  /** Evaluates every order and writes the resulting statuses. */
  tick(): void {
    const { storeNow } = this
    if (storeNow === undefined) return
    this.#recordOrderTimes()
    for (const order of this.#orders) this.#advance(order, storeNow)
  }

  #advance(order: RolloutOrder, storeNow: Milliseconds): void {
    const status = this.#statuses.get(order.service)
    const versions = this.options.upstreams.readyVersions(order.service)
    const targetUpstreams = versions.get(order.target) ?? 0
    if (this.isOnTrial(order.service, order.target)) {
      this.#judgeTarget(order, targetUpstreams)
      if (status) this.#assessTrial(order, status, targetUpstreams, storeNow)
    }
    const next = decideRollout({
      order,
      ...(status && { status }),
      storeNow,
      targetUpstreams,
      isTargetBad: this.#isMarkedBad(order),
      isTargetProbablyBad: this.#doubtfulServices.has(order.service),
      limit: this.options.exposureLimit(),
    })
    if (next === undefined) {
      this.#pendingSince.delete(order.service)
      return
    }
    if (!this.#mayWrite(order.service)) return
    void this.#writeStatus(order, next, status, storeNow)
  }

  #judgeTarget(order: RolloutOrder, targetUpstreams: number): void {
    const { service, target } = order
    const reports = this.options.answerReports()
    const now = this.options.clock.now()
    const fault = this.evaluator.evaluate(service, target, targetUpstreams, reports, now)
    if (fault) this.#markBad(order, fault)
    if (this.options.rank() === 0) this.#logEvidence(order, now)
  }

  /** Decides after the trial whether the evidence allows the target all requests and completion. */
  #assessTrial(
    order: RolloutOrder,
    status: RolloutStatus,
    targetUpstreams: number,
    storeNow: Milliseconds,
  ): void {
    const { service, target } = order
    if (!belongsToOrder(status, order)) return
    if (!isTrialOver(order, status, storeNow, this.options.exposureLimit())) return
    const doubt = this.evaluator.findDoubt(service, target, targetUpstreams)
    if (doubt && !this.#doubtfulServices.has(service))
      this.options.log.event('version-doubted', { service, target, why: doubt })
    if (doubt) this.#doubtfulServices.add(service)
    else this.#doubtfulServices.delete(service)
  }

  /** Logs the evidence on a rollout; called on the leader only. */
  #logEvidence(order: RolloutOrder, now: Milliseconds): void {
    if (now - this.#evidenceLoggedAt < EVIDENCE_LOG_INTERVAL) return
    this.#evidenceLoggedAt = now
    const { service, target } = order
    const share = this.trialOf(service)?.share
    const evidence = this.evaluator.evidenceOf(service, target)
    this.options.log.event('version-evidence', { service, target, share, ...evidence })
  }

  /**
   * Whether this box may write: the leader at once, others after a delay by rank. Meanwhile a bad
   * version receives no requests.
   */
  #mayWrite(service: string): boolean {
    const now = this.options.clock.now()
    const since = this.#pendingSince.get(service) ?? now
    this.#pendingSince.set(service, since)
    return now - since >= this.options.rank() * TAKEOVER_DELAY
  }

  async #writeStatus(
    order: RolloutOrder,
    state: RolloutState,
    status: RolloutStatus | undefined,
    storeNow: Milliseconds,
  ): Promise<void> {
    const { service, target } = order
    if (this.#writing.has(service)) return
    this.#writing.add(service)
    const { store, log } = this.options
    const orderedAt = this.#orderedAt.get(service) ?? storeNow
    const startedAt = status && belongsToOrder(status, order) ? status.startedAt : orderedAt
    try {
      const rejected = rejectedVersions(status, order)
      const next = { service, target, state, startedAt, rejected }
      const outcome = await store.writeRollout(next, status ?? { revision: 0 })
      log.event('rollout-written', { ...next, outcome })
      this.mergeStatuses((await store.readRollouts()).value)
    } catch (error) {
      log.event('rollout-write-failed', { service, state, error: String(error) })
    } finally {
      this.#writing.delete(service)
    }
  }
}
