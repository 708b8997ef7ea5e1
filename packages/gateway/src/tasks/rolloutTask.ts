import {
  decideRollout,
  goesToTarget,
  isOf,
  isOver,
  isTrialOver,
  keepsSessions,
  rejectedVersions,
  targetShare,
  withoutRejected,
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
import type { UpstreamDirectory } from './upstreamDirectory.js'
import { VersionJudge, type BoxAnswers } from './versionJudge.js'

export interface RolloutTaskOptions {
  clock: Clock
  random: Random
  log: EventLog
  store: Store
  upstreams: UpstreamDirectory
  /** This box's place among the boxes that may lead; 0 leads, the others step in later. */
  rank(): number
  /** Answers that all boxes have seen, this one's among them. */
  allAnswers(): readonly BoxAnswers[]
  /** The part of a service's requests that a bad version may get. */
  exposureLimit(): ExposureLimit
  /** This box has come to hold a version to be bad, or has been told so. */
  onVerdict(): void
  /** A version on trial gave a bad answer. */
  onBadAnswer(): void
}

/**
 * A box steps in for the one before it in rank when nothing has come of a decision for this long: some ten times a
 * write and its news take. Two that write at once do no harm, since the row's version admits one.
 */
const STEP_IN_AFTER: Milliseconds = 250

const LOG_EVIDENCE_EVERY: Milliseconds = 1_000

/** A verdict of the boxes on the target of an order, before the store has it. */
export interface Verdict {
  service: string
  /** Of the order. */
  revision: number
}

/** Follows the operators' orders to change versions: shares, evidence, and the state that is written back. */
export class RolloutTask {
  #orders: readonly RolloutOrder[] = []
  readonly #statuses = new Map<string, RolloutStatus>()
  #storeOffset: Milliseconds | undefined
  /** The judge of the versions that are rolled out. */
  readonly judge: VersionJudge
  /** When this box first read an order, by service, on the store's clock. */
  readonly #orderedAt = new Map<string, Milliseconds>()
  /** Revisions of the orders, by service, whose target the boxes hold to be bad. */
  readonly #condemned = new Map<string, number>()
  #evidenceLoggedAt = -Infinity
  /** Services whose target has come through its trial rather badly. */
  readonly #doubted = new Set<string>()
  /** Rises when requests under way have to look anew which versions they may run on. */
  #beliefs = 0
  /** Versions in use before any order named them. */
  readonly #established = new Map<string, Set<string>>()
  readonly #pendingSince = new Map<string, Milliseconds>()
  readonly #writing = new Set<string>()

  constructor(private readonly options: RolloutTaskOptions) {
    this.judge = new VersionJudge({
      isOnTrial: (service, version) => this.isOnTrial(service, version),
      onBadAnswer: () => this.options.onBadAnswer(),
    })
  }

  get statuses(): RolloutStatus[] {
    return [...this.#statuses.values()]
  }

  /** The store's clock now, as far as this box knows it. */
  get storeNow(): Milliseconds | undefined {
    return this.#storeOffset === undefined
      ? undefined
      : this.options.clock.now() + this.#storeOffset
  }

  /** What this box tells the others of answers: nothing while no version is rolled out. */
  get answers(): AnswerCount[] {
    return this.isUnderWay ? this.judge.counts : []
  }

  /** Verdicts that the store may not have yet. */
  get verdicts(): Verdict[] {
    return [...this.#condemned].map(([service, revision]) => ({ service, revision }))
  }

  /** A version is rolled out and may still be rolled back. */
  isOnTrial(service: string, version: string): boolean {
    const order = this.#orderOf(service)
    return order?.target === version && !isOver(order, this.#statuses.get(service))
  }

  /** The target of a roll-out that is under way, and its share now. */
  trialOf(service: string): VersionTrial | undefined {
    const order = this.#orderOf(service)
    const { storeNow } = this
    if (!order || storeNow === undefined || !this.isOnTrial(service, order.target)) return undefined
    return { version: order.target, share: this.#shareOf(order, storeNow), storeNow }
  }

  #orderOf(service: string): RolloutOrder | undefined {
    return this.#orders.find(entry => entry.service === service)
  }

  /** Nothing goes to a version that the boxes hold to be bad, whether or not the store has that yet. */
  #shareOf(order: RolloutOrder, storeNow: Milliseconds): number {
    const status = this.#statuses.get(order.service)
    if (this.#isCondemned(order) && !isOver(order, status)) return 0
    const isDoubted = this.#doubted.has(order.service)
    return targetShare(order, status, storeNow, this.options.exposureLimit(), isDoubted)
  }

  #isCondemned({ service, revision }: RolloutOrder): boolean {
    return this.#condemned.get(service) === revision
  }

  /** Some order has not come to its end. */
  get isUnderWay(): boolean {
    return this.#orders.some(order => !isOver(order, this.#statuses.get(order.service)))
  }

  /** Learns the store's clock; an answer can only be late, so the largest offset is nearest. */
  noteStoreClock(storeNow: Milliseconds, at: Milliseconds): void {
    if (!Number.isFinite(storeNow)) return
    const offset = storeNow - at
    if (this.#storeOffset === undefined || offset > this.#storeOffset) this.#storeOffset = offset
  }

  takeOrders(orders: readonly RolloutOrder[]): void {
    if (orders.length !== this.#orders.length) this.#beliefs++
    for (const order of orders) {
      if (this.#orderOf(order.service)?.revision === order.revision) continue
      this.judge.forget(order.service)
      this.#orderedAt.delete(order.service)
      this.#doubted.delete(order.service)
      this.#beliefs++
      this.options.log.note('rollout-ordered', { ...order })
    }
    this.#orders = orders
    this.#noteOrderTimes()
  }

  #noteOrderTimes(): void {
    const { storeNow } = this
    if (storeNow === undefined) return
    for (const { service } of this.#orders)
      if (!this.#orderedAt.has(service)) this.#orderedAt.set(service, storeNow)
  }

  takeStatuses(statuses: readonly RolloutStatus[]): void {
    for (const status of statuses) {
      const known = this.#statuses.get(status.service)
      if (known && known.revision >= status.revision) continue
      this.#statuses.set(status.service, status)
      this.#beliefs++
      this.#pendingSince.delete(status.service)
      this.options.log.note('rollout-status', { ...status })
    }
  }

  /** Another box holds the target of an order to be bad. */
  takeVerdicts(verdicts: readonly Verdict[]): void {
    for (const { service, revision } of verdicts) {
      const order = this.#orderOf(service)
      if (order?.revision === revision) this.#condemn(order, 'told')
    }
  }

  #condemn(order: RolloutOrder, why: VersionFault | 'told'): void {
    if (this.#isCondemned(order)) return
    this.#condemned.set(order.service, order.revision)
    this.#beliefs++
    const { service, target } = order
    const { storeNow } = this
    const startedAt = this.#statuses.get(service)?.startedAt
    const after =
      storeNow === undefined || startedAt === undefined ? undefined : storeNow - startedAt
    this.options.log.note('version-condemned', { service, target, after, why })
    this.options.onVerdict()
  }

  /**
   * Whether a request may run on each version of a service. Drawn once, so that all of its tries agree, and again only when a
   * version is completed or rolled back: tries and resumed streams of requests that began before then went to a bad version for
   * as long as the longest of them.
   */
  admission(service: string, session: string | undefined): (version: string) => boolean {
    let drawnFor = this.#beliefs
    let drawn = this.#draw(service, session)
    return version => {
      if (drawnFor !== this.#beliefs) {
        drawnFor = this.#beliefs
        drawn = this.#draw(service, session)
      }
      return drawn(version)
    }
  }

  #draw(service: string, session: string | undefined): (version: string) => boolean {
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
    const isCompleted = status && isOf(status, order) && status.state === 'completed'
    // A session keeps its version; other requests need not wait while the target's upstreams are in need.
    const mayPass = isTarget && session === undefined && hasOthers && !isCompleted
    const isOpen = !mayPass || this.options.upstreams.takesNow(service, order.target)
    const hasTarget = versions.has(order.target) && isOpen
    const rejected = rejectedVersions(status, order)
    if (isTarget ? hasTarget : !hasOthers && shares.share > 0)
      return version => version === order.target
    if (isCompleted && hasTarget) return version => version === order.target
    return withoutRejected(rejected, version => version !== order.target, versions.keys())
  }

  /** A version that came up without an order waits for one, as long as an established one serves. */
  #admitEstablished(service: string): (version: string) => boolean {
    const versions = this.options.upstreams.readyVersions(service)
    const established = this.#established.get(service) ?? new Set(versions.keys())
    const rejected = rejectedVersions(this.#statuses.get(service))
    const isServed = [...established].some(version => versions.has(version))
    if (!isServed) for (const version of versions.keys()) established.add(version)
    if (established.size > 0) this.#established.set(service, established)
    return withoutRejected(rejected, version => established.has(version), versions.keys())
  }

  /** Looks at every order and writes what follows. */
  tick(): void {
    const { storeNow } = this
    if (storeNow === undefined) return
    this.#noteOrderTimes()
    for (const order of this.#orders) this.#follow(order, storeNow)
  }

  #follow(order: RolloutOrder, storeNow: Milliseconds): void {
    const status = this.#statuses.get(order.service)
    const versions = this.options.upstreams.readyVersions(order.service)
    const targetUpstreams = versions.get(order.target) ?? 0
    if (this.isOnTrial(order.service, order.target)) {
      this.#judge(order, targetUpstreams)
      if (status) this.#weigh(order, status, targetUpstreams, storeNow)
    }
    const next = decideRollout({
      order,
      ...(status && { status }),
      storeNow,
      targetUpstreams,
      isTargetBad: this.#isCondemned(order),
      isTargetDoubted: this.#doubted.has(order.service),
      limit: this.options.exposureLimit(),
    })
    if (next === undefined) {
      this.#pendingSince.delete(order.service)
      return
    }
    if (!this.#isMyTurn(order.service)) return
    void this.#write(order, next, status, storeNow)
  }

  #judge(order: RolloutOrder, targetUpstreams: number): void {
    const { service, target } = order
    const told = this.options.allAnswers()
    const now = this.options.clock.now()
    const fault = this.judge.judge(service, target, targetUpstreams, told, now)
    if (fault) this.#condemn(order, fault)
    if (this.options.rank() === 0) this.#logEvidence(order, now)
  }

  /** When the trial is over, what it has shown decides whether the target gets all requests, and is completed. */
  #weigh(
    order: RolloutOrder,
    status: RolloutStatus,
    targetUpstreams: number,
    storeNow: Milliseconds,
  ): void {
    const { service, target } = order
    if (!isOf(status, order)) return
    if (!isTrialOver(order, status, storeNow, this.options.exposureLimit())) return
    const doubt = this.judge.doubt(service, target, targetUpstreams)
    if (doubt && !this.#doubted.has(service))
      this.options.log.note('version-doubted', { service, target, why: doubt })
    if (doubt) this.#doubted.add(service)
    else this.#doubted.delete(service)
  }

  /** One box of all writes down what a roll-out has shown so far. */
  #logEvidence(order: RolloutOrder, now: Milliseconds): void {
    if (now - this.#evidenceLoggedAt < LOG_EVIDENCE_EVERY) return
    this.#evidenceLoggedAt = now
    const { service, target } = order
    const share = this.trialOf(service)?.share
    const evidence = this.judge.evidenceOf(service, target)
    this.options.log.note('version-evidence', { service, target, share, ...evidence })
  }

  /** Whoever leads writes at once, the others after a while. Nothing is sent to a bad version meanwhile. */
  #isMyTurn(service: string): boolean {
    const now = this.options.clock.now()
    const since = this.#pendingSince.get(service) ?? now
    this.#pendingSince.set(service, since)
    return now - since >= this.options.rank() * STEP_IN_AFTER
  }

  async #write(
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
    const startedAt = status && isOf(status, order) ? status.startedAt : orderedAt
    try {
      const rejected = rejectedVersions(status, order)
      const next = { service, target, state, startedAt, rejected }
      const outcome = await store.writeRollout(next, status?.revision ?? 0)
      log.note('rollout-written', { ...next, outcome })
      this.takeStatuses((await store.readRollouts()).value)
    } catch (error) {
      log.note('rollout-write-failed', { service, state, error: String(error) })
    } finally {
      this.#writing.delete(service)
    }
  }
}
