import {
  decideRollout,
  goesToTarget,
  isOf,
  isVersionBad,
  keepsSessions,
  rejectedVersions,
  targetShare,
  type AnswerCount,
  type Clock,
  type Milliseconds,
  type Random,
  type RolloutOrder,
  type RolloutState,
  type RolloutStatus,
} from '@yewkeel/decisions'
import type { EventLog, Store } from '../types/ports.js'
import type { UpstreamDirectory } from './upstreamDirectory.js'

export interface RolloutTaskOptions {
  clock: Clock
  random: Random
  log: EventLog
  store: Store
  upstreams: UpstreamDirectory
  /** This box's place among the boxes that may lead; 0 leads, the others step in later. */
  rank(): number
  /** Answers that all boxes have seen, this one's among them. */
  allAnswers(): AnswerCount[]
  /** Requests of other boxes under way on versions that are being replaced. */
  othersBusy(): number
}

/**
 * A box steps in for the one before it in rank when nothing has come of a decision for this long: some ten times a
 * write and its news take. Two that write at once do no harm, since the row's version admits one.
 */
const STEP_IN_AFTER: Milliseconds = 400
/** An answer this many times slower than usual counts as bad ... */
const SLOW_FACTOR = 4
/** ... if it is also slower by this. */
const SLOW_SLACK: Milliseconds = 250
/** ... and than its prompt and what was before it explain, this many times. */
const LEAST_SLOWNESS = 3.5
/** Weight of the newest answer in the usual time. */
const USUAL_WEIGHT = 0.1
/** Answers before the usual time is believed. */
const USUAL_SAMPLES = 8

/** Whose answer is counted, and where. */
export interface AnswerKey {
  service: string
  version: string
  route: string
  model: string
}

/** How an answer began. */
export interface AnswerBegin {
  took: Milliseconds
  /** How many times longer than its prompt, and those before it, explain. */
  slowness: number
}

interface UsualTime {
  mean: Milliseconds
  samples: number
}

/** Follows the operators' orders to change versions: shares, evidence, and the state that is written back. */
export class RolloutTask {
  #orders: readonly RolloutOrder[] = []
  readonly #statuses = new Map<string, RolloutStatus>()
  #storeOffset: Milliseconds | undefined
  readonly #answers = new Map<string, AnswerCount>()
  readonly #usual = new Map<string, UsualTime>()
  /** Versions in use before any order named them. */
  readonly #established = new Map<string, Set<string>>()
  readonly #pendingSince = new Map<string, Milliseconds>()
  readonly #writing = new Set<string>()

  constructor(private readonly options: RolloutTaskOptions) {}

  get statuses(): RolloutStatus[] {
    return [...this.#statuses.values()]
  }

  /** The store's clock now, as far as this box knows it. */
  get storeNow(): Milliseconds | undefined {
    return this.#storeOffset === undefined
      ? undefined
      : this.options.clock.now() + this.#storeOffset
  }

  get answers(): AnswerCount[] {
    return this.isUnderWay ? [...this.#answers.values()] : []
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
    for (const order of orders) {
      const known = this.#orders.find(other => other.service === order.service)
      if (known?.revision === order.revision) continue
      this.#answers.clear()
      this.options.log.note('rollout-ordered', { ...order })
    }
    this.#orders = orders
  }

  takeStatuses(statuses: readonly RolloutStatus[]): void {
    for (const status of statuses) {
      const known = this.#statuses.get(status.service)
      if (known && known.revision >= status.revision) continue
      this.#statuses.set(status.service, status)
      this.#pendingSince.delete(status.service)
      this.options.log.note('rollout-status', { ...status })
    }
  }

  /** Whether a request may run on each version of a service. Decided once for a request. */
  admission(service: string, session: string | undefined): (version: string) => boolean {
    const order = this.#orders.find(entry => entry.service === service)
    if (!order) return this.#admitEstablished(service)
    const status = this.#statuses.get(service)
    const storeNow = this.storeNow ?? 0
    const shares = {
      target: order.target,
      share: targetShare(order, status, storeNow),
      keepsSessions: keepsSessions(order, status, storeNow),
    }
    const request = session === undefined ? {} : { session }
    const isTarget = goesToTarget(shares, request, this.options.random)
    const versions = this.options.upstreams.readyVersions(service)
    const hasTarget = versions.has(order.target)
    const others = [...versions.keys()].filter(version => version !== order.target)
    const rejected = rejectedVersions(status, order)
    const hasOthers = others.length > 0
    if (isTarget ? hasTarget : !hasOthers && shares.share > 0)
      return version => version === order.target
    if (status && isOf(status, order) && status.state === 'completed' && hasTarget)
      return version => version === order.target
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

  /** Counts an answer. `begin`: how it began, for one that did. */
  noteAnswer(key: AnswerKey, isGood: boolean, begin: AnswerBegin | undefined): void {
    const isSlow = isGood && begin !== undefined && this.#isSlow(key, begin)
    const name = `${key.service} ${key.version} ${key.route}`
    const { service, version, route } = key
    const count = this.#answers.get(name) ?? { service, version, route, good: 0, bad: 0 }
    this.#answers.set(name, count)
    if (isGood && !isSlow) count.good++
    else count.bad++
  }

  /** The usual time is learned from the versions that are not on trial. */
  #isSlow(key: AnswerKey, { took: time, slowness }: AnswerBegin): boolean {
    const name = `${key.service} ${key.route} ${key.model}`
    const usual = this.#usual.get(name) ?? { mean: time, samples: 0 }
    const order = this.#orders.find(entry => entry.service === key.service)
    const isOnTrial = order?.target === key.version
    if (!isOnTrial) {
      usual.mean += USUAL_WEIGHT * (time - usual.mean)
      usual.samples++
      this.#usual.set(name, usual)
    }
    const limit = SLOW_FACTOR * usual.mean + SLOW_SLACK
    return usual.samples >= USUAL_SAMPLES && time > limit && slowness >= LEAST_SLOWNESS
  }

  /** Looks at every order and writes what follows. */
  tick(): void {
    const { storeNow } = this
    if (storeNow === undefined) return
    for (const order of this.#orders) this.#follow(order, storeNow)
  }

  #follow(order: RolloutOrder, storeNow: Milliseconds): void {
    const status = this.#statuses.get(order.service)
    const versions = this.options.upstreams.readyVersions(order.service)
    const isTargetBad = isVersionBad(this.options.allAnswers(), order.service, order.target)
    const next = decideRollout({
      order,
      ...(status && { status }),
      storeNow,
      targetUpstreams: versions.get(order.target) ?? 0,
      oldInFlight: this.ownBusy + this.options.othersBusy(),
      isTargetBad,
    })
    if (next === undefined) {
      this.#pendingSince.delete(order.service)
      return
    }
    if (!this.#isMyTurn(order.service, next)) return
    void this.#write(order, next, status, storeNow)
  }

  /** This box's requests under way on versions that are being replaced. */
  get ownBusy(): number {
    let sum = 0
    for (const order of this.#orders) {
      if (isOver(order, this.#statuses.get(order.service))) continue
      for (const [version, count] of this.options.upstreams.inFlight(order.service))
        if (version !== order.target) sum += count
    }
    return sum
  }

  /** A bad version is stopped by whoever sees it; the rest is left to the leader for a while. */
  #isMyTurn(service: string, next: RolloutState): boolean {
    if (next === 'rolled-back') return true
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
    const startedAt = status && isOf(status, order) ? status.startedAt : storeNow
    try {
      const rejected = rejectedVersions(status, order)
      const next = { service, target, state, startedAt, rejected }
      const outcome = await store.writeRollout(next, status?.revision ?? 0)
      const answers = this.options.allAnswers().filter(count => count.service === service)
      log.note('rollout-written', { ...next, outcome, answers })
      this.takeStatuses((await store.readRollouts()).value)
    } catch (error) {
      log.note('rollout-write-failed', { service, state, error: String(error) })
    } finally {
      this.#writing.delete(service)
    }
  }
}

/** Where nothing else is left a version that was rolled back serves rather than none. */
function withoutRejected(
  rejected: readonly string[],
  admits: (version: string) => boolean,
  ready: Iterable<string>,
): (version: string) => boolean {
  const isSound = (version: string) => admits(version) && !rejected.includes(version)
  return [...ready].some(isSound) ? isSound : admits
}

function isOver(order: RolloutOrder, status: RolloutStatus | undefined): boolean {
  return status !== undefined && isOf(status, order) && status.state !== 'active'
}
