import {
  prefixCopySource,
  createWaitQueue,
  createExchangeHealth,
  hashText,
  isEjected,
  keepTrialUpstreams,
  recordProcessReplaced,
  recordReachable,
  pickForCall,
  pickUpstream,
  runIdOf,
  SEND_HISTORY_LENGTH,
  type Clock,
  type ListedUpstream,
  type Milliseconds,
  type PrefillWork,
  type Random,
  type ToldLoad,
  type ServiceRoom,
  type VersionTrial,
  type WaitQueue,
} from '@yewkeel/decisions'
import type { OpenConnectionPool } from '../node/upstreamConnectionPool.js'
import type { EventLog } from '../types/ports.js'
import type { AdvertisedState, Upstream } from '../types/upstream.js'
import type { BudgetSource, SendBudget } from './sendBudget.js'
import type { CrashSuspects } from '@yewkeel/box'
import type { ListInUse } from '../requests/attemptLog.js'
import { isolateSuspects } from './isolateSuspects.js'
import type { CallPace } from './callPace.js'
import type { EngineWork } from './engineWork.js'
import type { RoomNeed, UpstreamRooms } from './upstreamRooms.js'
import { HoldingTimes, roomOfUpstreams } from './roomOfUpstreams.js'
import { UpstreamListTask } from './upstreamListTask.js'

/** Why an upstream receives fewer requests than its capacity allows. */
export type RestrictionReason = BudgetSource | 'leaving'

export interface UpstreamQuery {
  service: string
  /** Route of the request; '' when omitted. */
  route?: string
  /** Whether the request may run on this version. */
  admits(version: string): boolean
  /** The trial of a version of the service, if one is rolled out. */
  trial?: VersionTrial
  /** Runs that already received the request. */
  tried: readonly string[]
  /** Prefill cost of the prompt, if the request has one. */
  prompt?: PrefillWork
  /** Size of the request body. */
  bodyBytes: number
  /** Maximum connections from this box to one upstream. */
  connectionLimit: number
  /** Consecutive upstream crashes while running the request; 0 when omitted. */
  crashes?: number
  /** Requests queued ahead of this one for a throttled upstream; 0 when omitted. */
  queuedAhead?: number
  /** What the request needs of an upstream's room; undefined where it is not known. */
  need?: RoomNeed
  /** Whether only an upstream where the request begins at once may be picked. */
  needsRoom?: boolean
}

/** Age after which reported load is ignored. */
const REPORTED_LOAD_LIFETIME: Milliseconds = 1_500

const UNKNOWN_ROOM: ServiceRoom = { places: 0, free: 0, freedPerSecond: 0 }

/** All boxes hear the same paces: a random share of them keeps the boxes from one engine. */
const PACE_JITTER = 0.1

export interface UpstreamDirectoryOptions {
  clock: Clock
  random: Random
  dataCentre: string
  log: EventLog
  work: EngineWork
  /** What upstreams can still take; undefined where room does not count. */
  rooms?: UpstreamRooms
  budget: SendBudget
  suspects: Pick<CrashSuspects, 'trialsAt'>
  /** Expected times of calls; undefined where upstreams are not picked by them. */
  callPace?: CallPace
  openConnectionPool: OpenConnectionPool
  /** The advertised state of a run. */
  stateOf(run: string): AdvertisedState
  /**
   * Whether the configuration defines the service. Entries of other services are ignored, even to
   * detect a replaced address.
   */
  isConfigured(service: string): boolean
  /** Whether boxes in other data centres report their pending work to this box. */
  knowsRemoteWork(): boolean
  /** Time since the list of upstreams was last confirmed. */
  listAge(): Milliseconds
}

/** Listed upstreams and the state that this box keeps of each. */
export class UpstreamDirectory {
  /** The platform's list of upstreams. */
  readonly list: UpstreamListTask
  readonly holdingTimes = new HoldingTimes()
  readonly #upstreams = new Map<string, Upstream>()
  readonly #byHash = new Map<number, Upstream>()
  #evacuated: ReadonlySet<string> = new Set()
  readonly #queues = new Map<string, WaitQueue>()

  constructor(private readonly options: UpstreamDirectoryOptions) {
    const { clock, log, isConfigured } = options
    this.list = new UpstreamListTask({
      clock,
      log,
      isConfigured: isConfigured,
      onEntry: (entry, isFirst) => this.#upsert(entry, isFirst),
      onGone: id => this.#remove(id),
    })
  }

  get listInUse(): ListInUse {
    return { version: this.list.version, age: this.options.listAge() }
  }

  /** Stops new requests to upstreams in these data centres. Exchanges in flight continue. */
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
  recordSend(upstream: Upstream): void {
    upstream.sentAt.push(this.options.clock.now())
    if (upstream.sentAt.length > SEND_HISTORY_LENGTH) upstream.sentAt.shift()
  }

  pick(query: UpstreamQuery): Upstream | undefined {
    const { random, dataCentre, clock, rooms } = this.options
    const now = clock.now()
    const candidates = this.#candidatesFor(query, now)
    rooms?.assess(candidates, query.need, now)
    const { prompt, bodyBytes, trial, crashes = 0 } = query
    const isFirst = query.tried.length === 0
    const roomy = keepRoomy(candidates, isFirst, query.needsRoom)
    const preferred = isFirst ? roomy : this.#preferUnthrottled(roomy, now)
    const admitted = trial ? keepTrialUpstreams(preferred, trial) : preferred
    const usable = isolateSuspects(admitted, crashes, this.options.suspects.trialsAt())
    if (!prompt) return this.#pickForCall(usable, query, now)
    const arrivals = rooms?.arrivalsAt(candidates, prompt, now)
    const knowsRemoteWork = this.options.knowsRemoteWork()
    return pickUpstream(usable, {
      random,
      dataCentre,
      prompt,
      knowsRemoteWork,
      bodyBytes,
      ...(arrivals && { arrivals }),
    })
  }

  /** The room over all upstreams that may take such a request; none where room does not count. */
  roomOf(query: UpstreamQuery): ServiceRoom {
    return this.#sumRoom(this.#usableFor(query), query)
  }

  /** The same as far as requests may wait for it: no places if no upstream has told its load. */
  toldRoomOf(query: UpstreamQuery): ServiceRoom {
    const usable = this.#usableFor(query)
    const isTold = usable.some(({ reportedLoad }) => reportedLoad !== undefined)
    return isTold ? this.#sumRoom(usable, query) : UNKNOWN_ROOM
  }

  #sumRoom(usable: readonly Upstream[], { service }: UpstreamQuery): ServiceRoom {
    const { rooms, clock } = this.options
    if (rooms?.isOn) return rooms.sum(usable, clock.now())
    const holding = this.holdingTimes.of(service)
    return roomOfUpstreams(usable, upstream => loadOf(upstream, clock.now()), holding)
  }

  #usableFor(query: UpstreamQuery): Upstream[] {
    const now = this.options.clock.now()
    const eligible: Upstream[] = []
    const healthy: Upstream[] = []
    for (const upstream of this.#upstreams.values()) {
      if (!this.#isEligible(upstream, query)) continue
      eligible.push(upstream)
      if (!isEjected(upstream.health, now)) healthy.push(upstream)
    }
    return healthy.length > 0 ? healthy : eligible
  }

  /**
   * Least expected time of a call at an upstream that may be sent it now, infinite if there is none;
   * undefined where no paces are told.
   */
  expectedCallTime(query: UpstreamQuery): Milliseconds | undefined {
    const { clock, callPace } = this.options
    const now = clock.now()
    const candidates = this.#candidatesFor(query, now).filter(({ isEjected }) => !isEjected)
    if (candidates.length === 0) return Infinity
    if (!callPace?.isKnownOf(candidates)) return undefined
    const { route = '' } = query
    return Math.min(...candidates.map(upstream => callPace.expectedTimeAt(upstream, route, now)))
  }

  #candidatesFor(query: UpstreamQuery, now: Milliseconds): Upstream[] {
    const candidates: Upstream[] = []
    for (const upstream of this.#upstreams.values()) {
      if (!this.#isCandidate(upstream, query, now)) continue
      upstream.load = loadOf(upstream, now)
      if (query.prompt) this.#estimatePrefill(upstream, query.prompt)
      upstream.isEjected = isEjected(upstream.health, now)
      candidates.push(upstream)
    }
    return candidates
  }

  #estimatePrefill(upstream: Upstream, { model }: PrefillWork): void {
    const { random, work } = this.options
    const { pendingPrefill, prefillSlowdown } = work.outlook(upstream.listed.id, model)
    upstream.pendingPrefill = pendingPrefill
    upstream.prefillSlowdown = prefillSlowdown
    if (upstream.told?.pace) upstream.prefillSlowdown *= 1 + PACE_JITTER * random()
  }

  /** By expected times where upstreams tell their pace, otherwise by load alone. */
  #pickForCall(candidates: readonly Upstream[], query: UpstreamQuery, now: Milliseconds) {
    const { random, dataCentre, callPace } = this.options
    if (!callPace?.isKnownOf(candidates)) return pickUpstream(candidates, { random, dataCentre })
    const { route = '', tried } = query
    return pickForCall(candidates, {
      random,
      dataCentre,
      usualTime: callPace.usualTimeOf(route),
      isRepeat: tried.length > 0,
      expectedTimeOf: upstream => callPace.expectedTimeAt(upstream, route, now),
    })
  }

  /**
   * Keeps retried requests away from throttled upstreams while others are available, so that one
   * request does not spend all its attempts on them.
   */
  #preferUnthrottled(candidates: Upstream[], now: Milliseconds): Upstream[] {
    const free = candidates.filter(upstream => !this.options.budget.isThrottled(upstream, now))
    return free.length > 0 ? free : candidates
  }

  /**
   * Whether some upstream may be sent the request by `until`, after those queued ahead. Assumes a
   * free connection.
   */
  canSendBefore(query: UpstreamQuery, until: Milliseconds): boolean {
    const { clock, budget } = this.options
    const now = clock.now()
    const { queuedAhead = 0 } = query
    let sends = 0
    for (const upstream of this.#upstreams.values()) {
      if (this.#isEligible(upstream, query)) sends += budget.allowedSends(upstream, now, until)
      if (sends > queuedAhead) return true
    }
    return false
  }

  /** The requests of a service that wait for an upstream. */
  queueOf(service: string): WaitQueue {
    const known = this.#queues.get(service)
    if (known) return known
    const queue = createWaitQueue()
    this.#queues.set(service, queue)
    return queue
  }

  /** Number of restricted upstreams by reason, of one service or of all. */
  countRestricted(service?: string): Partial<Record<RestrictionReason, number>> {
    const now = this.options.clock.now()
    const counts: Partial<Record<RestrictionReason, number>> = {}
    const add = (reason: RestrictionReason) => void (counts[reason] = (counts[reason] ?? 0) + 1)
    for (const upstream of this.#upstreams.values()) {
      if (service !== undefined && upstream.listed.service !== service) continue
      if (upstream.advertised.isLeaving) add('leaving')
      else for (const source of this.options.budget.activeSources(upstream, now)) add(source)
    }
    return counts
  }

  /** Whether the upstream's rate is limited, so that requests queue for it. */
  isRateLimited(upstream: Upstream): boolean {
    return this.options.budget.isThrottled(upstream, this.options.clock.now())
  }

  /**
   * Estimated time until some upstream accepts such a request from any box; 0 if one does now or
   * nothing is known.
   */
  availableIn(query: UpstreamQuery): Milliseconds {
    const { clock, budget } = this.options
    const now = clock.now()
    let earliest = Infinity
    for (const upstream of this.#upstreams.values())
      if (this.#isEligible(upstream, query))
        earliest = Math.min(earliest, budget.availableIn(upstream, now))
    return Number.isFinite(earliest) ? earliest : 0
  }

  /**
   * The upstream to copy KV cache of the shared prefix from in place of prefilling it, if that
   * pays.
   */
  copySource(prompt: PrefillWork, chosen: Upstream): Upstream | undefined {
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
    return prefixCopySource(prompt, chosen, members)
  }

  /** Estimated time to the first token; infinite without an available upstream. */
  beginsWithin(query: UpstreamQuery & { prompt: PrefillWork }): Milliseconds {
    const upstream = this.pick(query)
    if (!upstream) return Infinity
    const waits = upstream.outlook?.kind === 'waits' ? upstream.outlook.time : 0
    return waits + upstream.pendingPrefill + upstream.prefillSlowdown * query.prompt.prefillTime
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

  /** This box's exchanges in flight by version of a service. */
  inFlight(service: string): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { listed, inFlight } of this.#upstreams.values()) {
      if (listed.service !== service || inFlight === 0) continue
      counts.set(listed.version, (counts.get(listed.version) ?? 0) + inFlight)
    }
    return counts
  }

  recordReportedLoad(upstream: Upstream, { running, waiting = 0 }: Partial<ToldLoad>): void {
    if (running === undefined) return
    const load = running + waiting
    upstream.reportedLoad = { load, own: upstream.inFlight, at: this.options.clock.now() }
    if (this.isListed(upstream)) this.options.rooms?.recordToldLoad(upstream)
  }

  /** Records that the upstream rejected a request since it is full, and the load that it told. */
  recordFull(upstream: Upstream, toldLoad: number | undefined): void {
    if (this.isListed(upstream)) this.options.rooms?.recordFull(upstream, toldLoad)
  }

  /** Marks a run as replaced by another process at its address. Returns whether that is new. */
  markReplaced(run: string): boolean {
    const upstream = this.findByRun(run)
    if (!upstream || !recordProcessReplaced(upstream.health)) return false
    this.options.log.event('upstream-replaced', { upstream: run, service: upstream.listed.service })
    return true
  }

  /** Marks an upstream as reachable again. */
  markReachable(upstream: Upstream): void {
    recordReachable(upstream.health)
    this.options.budget.suspectCold(upstream)
    const { id, service } = upstream.listed
    this.options.log.event('upstream-reachable', { upstream: id, service })
  }

  /** The listed upstream with this id, if any. */
  findById(id: string): Upstream | undefined {
    return this.#upstreams.get(id)
  }

  /** The listed upstream whose id has this hash, if any. */
  findByHash(hash: number): Upstream | undefined {
    return this.#byHash.get(hash)
  }

  /** The listed upstream with this run, if any. */
  findByRun(run: string): Upstream | undefined {
    for (const upstream of this.#upstreams.values()) if (upstream.run === run) return upstream
    return undefined
  }

  /** Closes the connections that carry no request, since the box stops. */
  retireConnections(): void {
    for (const { connectionPool } of this.#upstreams.values()) connectionPool.retire()
  }

  /** All listed upstreams. */
  all(): Iterable<Upstream> {
    return this.#upstreams.values()
  }

  isListed(upstream: Upstream): boolean {
    return this.#upstreams.get(upstream.listed.id) === upstream
  }

  /** Whether the upstream accepts new requests, apart from its health and rate. */
  #acceptsRequests({ listed, advertised }: Upstream): boolean {
    return (
      !advertised.isLeaving && listed.state === 'ready' && !this.#evacuated.has(listed.dataCentre)
    )
  }

  /** Whether the upstream may serve the request, apart from connections and rate. */
  #isEligible(upstream: Upstream, query: UpstreamQuery): boolean {
    const { listed, health } = upstream
    return (
      listed.service === query.service &&
      this.#acceptsRequests(upstream) &&
      !health.isGone &&
      query.admits(listed.version) &&
      !query.tried.includes(upstream.run)
    )
  }

  #isCandidate(upstream: Upstream, query: UpstreamQuery, now: Milliseconds): boolean {
    if (!this.#isEligible(upstream, query) || !hasConnection(upstream, query)) return false
    const { budget } = this.options
    return query.queuedAhead ? !budget.isThrottled(upstream, now) : budget.admits(upstream, now)
  }

  #upsert(entry: ListedUpstream, isFirst: boolean): void {
    const now = this.options.clock.now()
    const known = this.#upstreams.get(entry.id)
    if (!known) {
      const connectionPool = this.options.openConnectionPool(entry.address, entry.service)
      const health = createExchangeHealth(now)
      const upstream: Upstream = {
        listed: entry,
        run: runIdOf(entry),
        nameHash: hashText(entry.id),
        connectionPool,
        health,
        heardAt: -Infinity,
        inFlight: 0,
        load: 0,
        pendingPrefill: 0,
        prefillSlowdown: 1,
        isEjected: false,
        coldUntil: now + (entry.coldFor ?? 0),
        advertised: this.options.stateOf(runIdOf(entry)),
        sentAt: [],
        // One shape for all upstreams, since each pick reads them all.
        reportedLoad: undefined,
        told: undefined,
        callSlowness: undefined,
      }
      this.#upstreams.set(entry.id, upstream)
      this.#byHash.set(upstream.nameHash, upstream)
      if (!isFirst) this.#logChange('upstream-listed', { upstream: entry })
      return
    }
    if (known.listed.state !== entry.state) {
      this.#logChange('upstream-state', { upstream: entry.id, state: entry.state })
      if (entry.state === 'draining') known.connectionPool.retire()
    }
    if (entry.revision > known.listed.revision && entry.coldFor !== undefined)
      known.coldUntil = Math.max(known.coldUntil, now + entry.coldFor)
    known.listed = entry
  }

  #remove(id: string): void {
    const known = this.#upstreams.get(id)
    if (!known) return
    known.connectionPool.retire()
    this.options.work.forget(id)
    this.options.rooms?.forget(known)
    this.#upstreams.delete(id)
    this.#byHash.delete(known.nameHash)
    this.#logChange('upstream-gone', { upstream: id, service: known.listed.service })
  }

  #logChange(event: string, fields: object): void {
    const { version, age } = this.listInUse
    this.options.log.event(event, { ...fields, list: version, listAge: Math.round(age) })
  }
}

/** Keeps upstreams where the request begins at once: if it must, or on a retry if there are any. */
function keepRoomy(candidates: Upstream[], isFirst: boolean, needsRoom = false): Upstream[] {
  if (isFirst && !needsRoom) return candidates
  const roomy = candidates.filter(({ outlook }) => !outlook || outlook.kind === 'begins')
  return roomy.length > 0 || needsRoom ? roomy : candidates
}

/** Whether a connection is free or may be opened. */
function hasConnection({ connectionPool }: Upstream, { connectionLimit }: UpstreamQuery): boolean {
  const { idle, open } = connectionPool
  if (idle > 0) return true
  return open < connectionLimit && open < (connectionPool.limit ?? Infinity)
}

function loadOf({ inFlight, reportedLoad }: Upstream, now: Milliseconds): number {
  if (!reportedLoad || now - reportedLoad.at > REPORTED_LOAD_LIFETIME) return inFlight
  return inFlight + Math.max(0, reportedLoad.load - reportedLoad.own)
}
