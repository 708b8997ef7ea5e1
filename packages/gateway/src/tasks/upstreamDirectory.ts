import {
  copySource,
  createWaitingLine,
  createExchangeHealth,
  hashText,
  isEjected,
  keepTrialUpstreams,
  noteGone,
  noteReachable,
  pickUpstream,
  runOf,
  SENDS_REMEMBERED,
  type Clock,
  type ListedUpstream,
  type Milliseconds,
  type PromptWork,
  type Random,
  type VersionTrial,
  type WaitingLine,
} from '@yewkeel/decisions'
import type { OpenChannels } from '../node/upstreamChannels.js'
import type { EventLog } from '../types/ports.js'
import type { Said, Upstream } from '../types/upstream.js'
import type { BudgetSource, SendBudget } from './sendBudget.js'
import type { CrashSuspects } from '@yewkeel/box'
import { isolateSuspects } from './placeSuspects.js'
import type { EngineWork } from './engineWork.js'
import { UpstreamListTask } from './upstreamListTask.js'

/** Why an upstream receives fewer requests than its capacity allows. */
export type RestrictionReason = BudgetSource | 'leaving'

export interface PickQuery {
  service: string
  /** Whether the request may run on this version. */
  admits(version: string): boolean
  /** The trial of a version of the service, if one is rolled out. */
  trial?: VersionTrial
  /** Runs that already received the request. */
  tried: readonly string[]
  /** Prefill cost of the prompt, if the request has one. */
  prompt?: PromptWork
  /** Size of the request body. */
  bodyBytes: number
  /** Maximum connections from this box to one upstream. */
  channelLimit: number
  /** Consecutive upstream crashes while running the request; 0 when omitted. */
  crashes?: number
  /** Requests queued ahead of this one for a throttled upstream; 0 when omitted. */
  ahead?: number
}

/** Age after which reported load is ignored. */
const REPORTED_LOAD_LIFETIME: Milliseconds = 1_500

export interface UpstreamDirectoryOptions {
  clock: Clock
  random: Random
  dataCentre: string
  log: EventLog
  work: EngineWork
  budget: SendBudget
  suspects: Pick<CrashSuspects, 'trialsAt'>
  openChannels: OpenChannels
  /** The advertised state of a run. */
  saidBy(run: string): Said
  /**
   * Whether the configuration defines the service. Entries of other services are ignored, even to
   * detect a replaced address.
   */
  namesService(service: string): boolean
  /** Whether boxes in other data centres report their pending work to this box. */
  knowsFarWork(): boolean
}

/** Listed upstreams and the state that this box keeps of each. */
export class UpstreamDirectory {
  /** The platform's list of upstreams. */
  readonly list: UpstreamListTask
  readonly #upstreams = new Map<string, Upstream>()
  #evacuated: ReadonlySet<string> = new Set()
  readonly #queues = new Map<string, WaitingLine>()

  constructor(private readonly options: UpstreamDirectoryOptions) {
    const { clock, log, namesService } = options
    this.list = new UpstreamListTask({
      clock,
      log,
      namesService,
      onEntry: (entry, isFirst) => this.#upsert(entry, isFirst),
      onGone: id => this.#remove(id),
    })
  }

  /** Stops new requests to upstreams in these data centres. Running exchanges continue. */
  evacuate(dataCentres: readonly string[]): void {
    const before = this.#evacuated
    this.#evacuated = new Set(dataCentres)
    for (const upstream of this.#upstreams.values()) {
      const { dataCentre } = upstream.listed
      if (before.has(dataCentre) && !this.#evacuated.has(dataCentre))
        this.options.budget.suspectCold(upstream)
    }
  }

  /** Records the send time for rate limiting. */
  noteChosen(upstream: Upstream): void {
    upstream.sentAt.push(this.options.clock.now())
    if (upstream.sentAt.length > SENDS_REMEMBERED) upstream.sentAt.shift()
  }

  pick(query: PickQuery): Upstream | undefined {
    const { random, dataCentre, clock, work } = this.options
    const now = clock.now()
    const candidates: Upstream[] = []
    for (const upstream of this.#upstreams.values()) {
      if (!this.#isCandidate(upstream, query, now)) continue
      upstream.load = loadOf(upstream, now)
      upstream.waiting = work.waiting(upstream.listed.id)
      upstream.slowness = work.slowness(upstream.listed.id)
      upstream.isEjected = isEjected(upstream.health, now)
      candidates.push(upstream)
    }
    const { prompt, bodyBytes, trial, crashes = 0 } = query
    const isFirst = query.tried.length === 0
    const preferred = isFirst ? candidates : this.#preferUnthrottled(candidates, now)
    const admitted = trial ? keepTrialUpstreams(preferred, trial) : preferred
    const usable = isolateSuspects(admitted, crashes, this.options.suspects.trialsAt())
    if (!prompt) return pickUpstream(usable, { random, dataCentre })
    const knowsFarWork = this.options.knowsFarWork()
    return pickUpstream(usable, { random, dataCentre, prompt, knowsFarWork, bodyBytes })
  }

  /**
   * Keeps rejected requests away from throttled upstreams while others are available, so that one
   * request does not spend all its tries on them.
   */
  #preferUnthrottled(candidates: Upstream[], now: Milliseconds): Upstream[] {
    const free = candidates.filter(upstream => !this.options.budget.isThrottled(upstream, now))
    return free.length > 0 ? free : candidates
  }

  /**
   * Whether some upstream may be sent the request by `until`, after those queued ahead. Assumes a
   * free connection.
   */
  couldTake(query: PickQuery, until: Milliseconds): boolean {
    const { clock, budget } = this.options
    const now = clock.now()
    const { ahead = 0 } = query
    let sends = 0
    for (const upstream of this.#upstreams.values()) {
      if (this.#isEligible(upstream, query)) sends += budget.allowedSends(upstream, now, until)
      if (sends > ahead) return true
    }
    return false
  }

  /** The requests of a service that wait for an upstream. */
  lineOf(service: string): WaitingLine {
    const known = this.#queues.get(service)
    if (known) return known
    const queue = createWaitingLine()
    this.#queues.set(service, queue)
    return queue
  }

  /** Number of restricted upstreams by reason, of one service or of all. */
  heldBack(service?: string): Partial<Record<RestrictionReason, number>> {
    const now = this.options.clock.now()
    const counts: Partial<Record<RestrictionReason, number>> = {}
    const add = (reason: RestrictionReason) => void (counts[reason] = (counts[reason] ?? 0) + 1)
    for (const upstream of this.#upstreams.values()) {
      if (service !== undefined && upstream.listed.service !== service) continue
      if (upstream.said.isLeaving) add('leaving')
      else for (const source of this.options.budget.activeSources(upstream, now)) add(source)
    }
    return counts
  }

  /** Whether the upstream's rate is limited, so that requests queue for it. */
  isHeld(upstream: Upstream): boolean {
    return this.options.budget.isThrottled(upstream, this.options.clock.now())
  }

  /**
   * Estimated time until some upstream accepts such a request from any box; 0 if one does now or
   * nothing is known.
   */
  reopensIn(query: PickQuery): Milliseconds {
    const { clock, budget } = this.options
    const now = clock.now()
    let earliest = Infinity
    for (const upstream of this.#upstreams.values())
      if (this.#isEligible(upstream, query))
        earliest = Math.min(earliest, budget.reopensIn(upstream, now))
    return Number.isFinite(earliest) ? earliest : 0
  }

  /**
   * The upstream to copy KV cache of the shared prefix from in place of prefilling it, if that
   * pays.
   */
  copySource(prompt: PromptWork, chosen: Upstream): Upstream | undefined {
    const { service } = chosen.listed
    const { clock, budget } = this.options
    const now = clock.now()
    const members: Upstream[] = []
    for (const upstream of this.#upstreams.values()) {
      if (upstream.listed.service !== service || !this.#acceptsRequests(upstream)) continue
      // Serving a copy is load for its source, too.
      if (budget.isThrottled(upstream, now)) continue
      upstream.isEjected = isEjected(upstream.health, now)
      members.push(upstream)
    }
    return copySource(prompt, chosen, members)
  }

  /** Estimated time to the first token; infinite without an available upstream. */
  beginsWithin(query: PickQuery & { prompt: PromptWork }): Milliseconds {
    const upstream = this.pick(query)
    if (!upstream) return Infinity
    return upstream.waiting + upstream.slowness * query.prompt.whole
  }

  /** Number of ready upstreams by version of a service. */
  readyVersions(service: string): Map<string, number> {
    const versions = new Map<string, number>()
    for (const upstream of this.#upstreams.values()) {
      const { listed } = upstream
      if (listed.service !== service || !this.#acceptsRequests(upstream)) continue
      versions.set(listed.version, (versions.get(listed.version) ?? 0) + 1)
    }
    return versions
  }

  /** Whether some upstream of the version may be sent a request now. */
  canSendTo(service: string, version: string): boolean {
    const { clock, budget } = this.options
    const now = clock.now()
    for (const upstream of this.#upstreams.values()) {
      const { listed, health } = upstream
      if (listed.service !== service || listed.version !== version) continue
      if (this.#acceptsRequests(upstream) && !health.isGone && budget.admits(upstream, now))
        return true
    }
    return false
  }

  /** This box's running exchanges by version of a service. */
  inFlight(service: string): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { listed, inFlight } of this.#upstreams.values()) {
      if (listed.service !== service || inFlight === 0) continue
      counts.set(listed.version, (counts.get(listed.version) ?? 0) + inFlight)
    }
    return counts
  }

  noteLoad(upstream: Upstream, load: number): void {
    upstream.told = { load, own: upstream.inFlight, at: this.options.clock.now() }
  }

  /** Marks a run as replaced by another process at its address. Returns whether that is new. */
  takeGone(run: string): boolean {
    const upstream = this.ofRun(run)
    if (!upstream || !noteGone(upstream.health)) return false
    this.options.log.note('upstream-replaced', { upstream: run, service: upstream.listed.service })
    return true
  }

  /** Marks an upstream as reachable again. */
  noteReturned(upstream: Upstream): void {
    noteReachable(upstream.health)
    this.options.budget.suspectCold(upstream)
    const { id, service } = upstream.listed
    this.options.log.note('upstream-reachable', { upstream: id, service })
  }

  /** The listed upstream with this run, if any. */
  ofRun(run: string): Upstream | undefined {
    for (const upstream of this.#upstreams.values()) if (upstream.run === run) return upstream
    return undefined
  }

  /** All listed upstreams. */
  all(): Iterable<Upstream> {
    return this.#upstreams.values()
  }

  isListed(upstream: Upstream): boolean {
    return this.#upstreams.get(upstream.listed.id) === upstream
  }

  /** Whether the upstream accepts new requests, apart from its health and rate. */
  #acceptsRequests({ listed, said }: Upstream): boolean {
    return !said.isLeaving && listed.state === 'ready' && !this.#evacuated.has(listed.dataCentre)
  }

  /** Whether the upstream may serve the request, apart from connections and rate. */
  #isEligible(upstream: Upstream, query: PickQuery): boolean {
    const { listed, health } = upstream
    return (
      listed.service === query.service &&
      this.#acceptsRequests(upstream) &&
      !health.isGone &&
      query.admits(listed.version) &&
      !query.tried.includes(upstream.run)
    )
  }

  #isCandidate(upstream: Upstream, query: PickQuery, now: Milliseconds): boolean {
    const { channels } = upstream
    const { budget } = this.options
    const hasChannel = channels.idle > 0 || channels.open < query.channelLimit
    if (!hasChannel || !this.#isEligible(upstream, query)) return false
    return query.ahead ? !budget.isThrottled(upstream, now) : budget.admits(upstream, now)
  }

  #upsert(entry: ListedUpstream, isFirst: boolean): void {
    const now = this.options.clock.now()
    const known = this.#upstreams.get(entry.id)
    if (!known) {
      const channels = this.options.openChannels(entry.address)
      const health = createExchangeHealth(now)
      this.#upstreams.set(entry.id, {
        listed: entry,
        run: runOf(entry),
        nameHash: hashText(entry.id),
        channels,
        health,
        inFlight: 0,
        load: 0,
        waiting: 0,
        slowness: 1,
        isEjected: false,
        coldUntil: now + (entry.coldFor ?? 0),
        said: this.options.saidBy(runOf(entry)),
        sentAt: [],
      })
      if (!isFirst) this.options.log.note('upstream-listed', { upstream: entry })
      return
    }
    if (known.listed.state !== entry.state) {
      this.options.log.note('upstream-state', { upstream: entry.id, state: entry.state })
      if (entry.state === 'draining') known.channels.retire()
    }
    if (entry.revision > known.listed.revision && entry.coldFor !== undefined)
      known.coldUntil = Math.max(known.coldUntil, now + entry.coldFor)
    known.listed = entry
  }

  #remove(id: string): void {
    const known = this.#upstreams.get(id)
    if (!known) return
    known.channels.retire()
    this.options.work.forget(id)
    this.#upstreams.delete(id)
    this.options.log.note('upstream-gone', { upstream: id, service: known.listed.service })
  }
}

function loadOf({ inFlight, told }: Upstream, now: Milliseconds): number {
  if (!told || now - told.at > REPORTED_LOAD_LIFETIME) return inFlight
  return inFlight + Math.max(0, told.load - told.own)
}
