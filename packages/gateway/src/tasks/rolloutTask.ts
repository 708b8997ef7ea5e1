import {
  compareRevisions,
  decideRollout,
  goesToTarget,
  belongsToOrder,
  isRolloutFinished,
  isSameOrder,
  isTrialOver,
  keepsSessions,
  rejectedVersions,
  resolveOrders,
  revisionOf,
  targetShare,
  trialAllowance,
  excludeRejected,
  type AnswerCount,
  type Clock,
  type ExposureLimit,
  type Milliseconds,
  type Random,
  type RolloutOrder,
  type RolloutState,
  type RolloutStatus,
  type StoreRevision,
  type VersionFault,
  type VersionTrial,
} from '@yewkeel/decisions'
import type { EventLog, Store, StoreRead } from '../types/ports.js'
import { RolloutStatuses } from './rolloutStatuses.js'
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
  /** Requests that it may receive beyond that share, over all boxes. */
  exposureSlack(): number
  /** Number of boxes that share them. */
  sharingBoxes(): number
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

/** Replaced orders that a restored store may show again are a few seconds old. */
const MAX_REPLACED_ORDERS = 32

/**
 * States that the boxes found the target of an order bad; may precede the store's status. As a
 * revision, it is that of the order.
 */
export interface Verdict extends StoreRevision {
  service: string
}

/**
 * Executes the operators' rollout orders: draws versions for requests, gathers evidence and writes
 * rollout statuses to the store.
 */
export class RolloutTask {
  #orders: readonly RolloutOrder[] = []
  /** Orders that later ones have replaced, the newest first. */
  #replacedOrders: readonly RolloutOrder[] = []
  readonly #statuses = new RolloutStatuses()
  /** The store's clock, by which all boxes ramp alike. */
  readonly storeClock: StoreClock
  /** Judges the versions that are rolled out. */
  readonly evaluator: VersionEvaluator
  /** Store time at which this box first read the order, by service. */
  readonly #orderedAt = new Map<string, Milliseconds>()
  /** Revision of the order whose target was found bad, by service. */
  readonly #badTargets = new Map<string, StoreRevision>()
  #evidenceLoggedAt = -Infinity
  /** Services whose target ended its trial with unfavourable evidence. */
  readonly #doubtfulServices = new Set<string>()
  /** Requests of this box that the target got beyond its share, by service. */
  readonly #extraTrials = new Map<string, number>()
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
    return this.#statuses.all
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
    return [...this.#badTargets].map(([service, at]) => ({ service, ...at }))
  }

  /** Whether the version is being rolled out and may still be rolled back. */
  isOnTrial(service: string, version: string): boolean {
    const order = this.#orderOf(service)
    return order?.target === version && !isRolloutFinished(order, this.#statuses.find(service))
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
    const status = this.#statuses.find(order.service)
    if (this.#isMarkedBad(order) && !isRolloutFinished(order, status)) return 0
    const isDoubted = this.#doubtfulServices.has(order.service)
    return targetShare(order, status, storeNow, this.options.exposureLimit(), isDoubted)
  }

  #isMarkedBad(order: RolloutOrder): boolean {
    const bad = this.#badTargets.get(order.service)
    return bad !== undefined && compareRevisions(bad, order) === 0
  }

  /** Whether some order is neither completed nor rolled back. */
  get isUnderWay(): boolean {
    return this.#orders.some(order => !isRolloutFinished(order, this.#statuses.find(order.service)))
  }

  updateStoreClock(storeNow: Milliseconds, at: Milliseconds, epoch = 0): void {
    this.storeClock.update(storeNow, at, epoch)
  }

  /** Applies the orders of a read. `epoch`: epoch of the store at the read. */
  applyOrders(read: readonly RolloutOrder[], epoch = 0): void {
    const known = this.#orders
    const orders = resolveOrders({ known, replaced: this.#replacedOrders, read, epoch })
    if (orders.length !== known.length) this.#admissionRevision++
    for (const order of orders) this.#applyOrder(order, this.#orderOf(order.service))
    for (const { service } of known)
      if (!orders.some(order => order.service === service)) this.#statuses.removeOrder(service)
    this.#orders = orders
    this.#recordOrderTimes()
  }

  #applyOrder(order: RolloutOrder, known: RolloutOrder | undefined): void {
    if (known && compareRevisions(known, order) === 0) return
    if (known && isSameOrder(known, order)) this.#renewOrder(order, known)
    else this.#startOrder(order, known)
    this.#admissionRevision++
  }

  #startOrder(order: RolloutOrder, known: RolloutOrder | undefined): void {
    const { service } = order
    if (known) this.#replacedOrders = [known, ...this.#replacedOrders].slice(0, MAX_REPLACED_ORDERS)
    this.evaluator.forget(service)
    this.#orderedAt.delete(service)
    this.#extraTrials.delete(service)
    this.#doubtfulServices.delete(service)
    this.#statuses.applyOrder(order)
    this.options.log.event('rollout-ordered', { ...order })
  }

  /** Takes over an order at another revision, after a restore of the store, with all evidence. */
  #renewOrder(order: RolloutOrder, known: RolloutOrder): void {
    if (this.#isMarkedBad(known)) this.#badTargets.set(order.service, revisionOf(order))
    this.#statuses.applyOrder(order, known)
    const before = revisionOf(known)
    this.options.log.event('rollout-order-restored', { ...order, before })
  }

  #recordOrderTimes(): void {
    const { storeNow } = this
    if (storeNow === undefined) return
    for (const { service } of this.#orders)
      if (!this.#orderedAt.has(service)) this.#orderedAt.set(service, storeNow)
  }

  /** Merges statuses that another box sent. */
  mergeStatuses(statuses: readonly RolloutStatus[]): void {
    for (const status of statuses)
      if (this.#statuses.merge(status)) this.#recordStatusChange(status.service)
  }

  /** Merges all statuses of the store. One that it lost stays in force and is written again. */
  mergeStoredStatuses({ value, epoch = 0 }: StoreRead<readonly RolloutStatus[]>): void {
    for (const service of this.#statuses.mergeStored(value, epoch))
      this.#recordStatusChange(service)
  }

  #recordStatusChange(service: string): void {
    this.#admissionRevision++
    this.#pendingSince.delete(service)
    const status = this.#statuses.find(service)
    this.options.log.event('rollout-status', {
      ...status,
      stored: this.#statuses.storedAt(service),
    })
  }

  /** Applies verdicts of other boxes that match the current orders. */
  mergeVerdicts(verdicts: readonly Verdict[]): void {
    for (const verdict of verdicts) {
      const order = this.#orderOf(verdict.service)
      if (order && compareRevisions(order, verdict) === 0) this.#markBad(order, 'told')
    }
  }

  #markBad(order: RolloutOrder, why: VersionFault | 'told'): void {
    if (this.#isMarkedBad(order)) return
    this.#badTargets.set(order.service, revisionOf(order))
    this.#admissionRevision++
    const { service, target } = order
    const { storeNow } = this
    const startedAt = this.#statuses.find(service)?.startedAt
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
    const status = this.#statuses.find(service)
    const storeNow = this.storeNow ?? 0
    const shares = {
      target: order.target,
      share: this.#shareOf(order, storeNow),
      keepsSessions: keepsSessions(order, status, storeNow),
    }
    const request = session === undefined ? {} : { session }
    const versions = this.options.upstreams.readyVersions(service)
    const isTarget =
      goesToTarget(shares, request, this.options.random) ||
      (session === undefined && versions.has(order.target) && this.#takeExtraTrial(order, storeNow))
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

  /** Takes a request for the target's trial beyond its share. Sessions keep to the share. */
  #takeExtraTrial(order: RolloutOrder, storeNow: Milliseconds): boolean {
    if (this.#isMarkedBad(order)) return false
    const { exposureLimit, exposureSlack, sharingBoxes } = this.options
    const { service } = order
    const used = this.#extraTrials.get(service) ?? 0
    const allowed = trialAllowance(order, this.#statuses.find(service), storeNow, {
      slack: exposureSlack(),
      boxes: sharingBoxes(),
      limit: exposureLimit(),
      knownSince: this.#orderedAt.get(service) ?? storeNow,
    })
    if (used >= allowed) return false
    this.#extraTrials.set(service, used + 1)
    return true
  }

  /** Without an order, admits only established versions as long as one of them is ready. */
  #admitEstablished(service: string): (version: string) => boolean {
    const versions = this.options.upstreams.readyVersions(service)
    const established = this.#established.get(service) ?? new Set(versions.keys())
    const rejected = rejectedVersions(this.#statuses.find(service))
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
    const status = this.#statuses.find(order.service)
    const versions = this.options.upstreams.readyVersions(order.service)
    const targetUpstreams = versions.get(order.target) ?? 0
    if (this.isOnTrial(order.service, order.target)) {
      this.#judgeTarget(order, targetUpstreams)
      if (status) this.#assessTrial(order, status, targetUpstreams, storeNow)
    }
    const decided = decideRollout({
      order,
      ...(status && { status }),
      storeNow,
      targetUpstreams,
      isTargetBad: this.#isMarkedBad(order),
      isTargetProbablyBad: this.#doubtfulServices.has(order.service),
      limit: this.options.exposureLimit(),
    })
    const next = decided ?? this.#statuses.findUnwritten(order)?.state
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
    const { log, store } = this.options
    const orderedAt = this.#orderedAt.get(service) ?? storeNow
    const startedAt = status && belongsToOrder(status, order) ? status.startedAt : orderedAt
    const rejected = rejectedVersions(status, order)
    const next = { service, target, state, startedAt: Math.round(startedAt), rejected }
    const storedAt = this.#statuses.storedAt(service)
    try {
      const outcome = await store.writeRollout(next, storedAt)
      log.event('rollout-written', { ...next, outcome })
      if (outcome === 'written') this.#recordWritten({ ...next, ...storedAt }, order)
      this.mergeStoredStatuses(await store.readRollouts())
    } catch (error) {
      log.event('rollout-write-failed', { service, state, error: String(error) })
    } finally {
      this.#writing.delete(service)
    }
  }

  /** Records a status that the store has acknowledged, in case that it loses it before a read. */
  #recordWritten(status: RolloutStatus, written: RolloutOrder): void {
    const order = this.#orderOf(status.service)
    if (!order || !isSameOrder(written, order)) return
    const isNews = this.#statuses.merge({ ...status, order: revisionOf(order) })
    if (isNews) this.#recordStatusChange(status.service)
  }
}
