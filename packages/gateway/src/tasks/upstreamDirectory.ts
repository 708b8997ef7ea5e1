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
import { placeSuspects } from './placeSuspects.js'
import type { EngineWork } from './engineWork.js'
import { UpstreamListTask } from './upstreamListTask.js'

/** Why an upstream gets fewer requests than it could work on. */
export type HeldBy = BudgetSource | 'leaving'

export interface PickQuery {
  service: string
  /** Versions that the request may run on. */
  admits(version: string): boolean
  /** Of its service, if a version is rolled out. */
  trial?: VersionTrial
  /** Runs that the request has been sent to. */
  tried: readonly string[]
  /** What the request's prompt costs, where it has one. */
  prompt?: PromptWork
  /** Of the request's body. */
  bodyBytes: number
  /** Connections that one upstream takes from this box. */
  channelLimit: number
  /** Upstreams that ended under the request in a row. 0 where it is left out. */
  crashes?: number
  /** Others that wait for a place at an upstream in need, and get one first. 0 where it is left out. */
  ahead?: number
}

/** What an upstream told of its load says little after this. */
const TOLD_LOAD_LIFETIME: Milliseconds = 1_500
export interface UpstreamDirectoryOptions {
  clock: Clock
  random: Random
  dataCentre: string
  log: EventLog
  work: EngineWork
  budget: SendBudget
  suspects: Pick<CrashSuspects, 'trialsAt'>
  openChannels: OpenChannels
  /** What a run has said of itself. */
  saidBy(run: string): Said
  /** Whether the operators' configuration names the service. Of any other no entry counts, not even at its address. */
  namesService(service: string): boolean
  /** Whether the boxes of other data centres tell this one what they have sent to upstreams. */
  knowsFarWork(): boolean
}

/** The upstreams of the platform's list with what this box knows of each. */
export class UpstreamDirectory {
  /** What the platform's list says, as far as this box believes it. */
  readonly list: UpstreamListTask
  readonly #upstreams = new Map<string, Upstream>()
  #evacuated: ReadonlySet<string> = new Set()
  readonly #lines = new Map<string, WaitingLine>()

  constructor(private readonly options: UpstreamDirectoryOptions) {
    const { clock, log, namesService } = options
    this.list = new UpstreamListTask({
      clock,
      log,
      namesService,
      onEntry: (entry, isFirst) => this.#keep(entry, isFirst),
      onGone: id => this.#forget(id),
    })
  }

  /** Nothing more is sent to the upstreams of these data centres. What is under way there goes on. */
  evacuate(dataCentres: readonly string[]): void {
    const before = this.#evacuated
    this.#evacuated = new Set(dataCentres)
    for (const upstream of this.#upstreams.values()) {
      const { dataCentre } = upstream.listed
      if (before.has(dataCentre) && !this.#evacuated.has(dataCentre))
        this.options.budget.suspectCold(upstream)
    }
  }

  /** A request is about to be sent there. */
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
    const surest = isFirst ? candidates : this.#withoutHeld(candidates, now)
    const admitted = trial ? keepTrialUpstreams(surest, trial) : surest
    const usable = placeSuspects(admitted, crashes, this.options.suspects.trialsAt())
    if (!prompt) return pickUpstream(usable, { random, dataCentre })
    const knowsFarWork = this.options.knowsFarWork()
    return pickUpstream(usable, { random, dataCentre, prompt, knowsFarWork, bodyBytes })
  }

  /**
   * A request that was turned away does not find out for others whether an upstream in need takes more, unless there is no other: its three tries would
   * land on three such.
   */
  #withoutHeld(candidates: Upstream[], now: Milliseconds): Upstream[] {
    const free = candidates.filter(upstream => !this.options.budget.isHeld(upstream, now))
    return free.length > 0 ? free : candidates
  }

  /** Whether some upstream would take a request until then, once one of its connections is free and those ahead are served. */
  couldTake(query: PickQuery, until: Milliseconds): boolean {
    const { clock, budget } = this.options
    const now = clock.now()
    const { ahead = 0 } = query
    let openings = 0
    for (const upstream of this.#upstreams.values()) {
      if (this.#isEligible(upstream, query)) openings += budget.openings(upstream, now, until)
      if (openings > ahead) return true
    }
    return false
  }

  /** The requests of a service that look for an upstream now. */
  lineOf(service: string): WaitingLine {
    const known = this.#lines.get(service)
    if (known) return known
    const line = createWaitingLine()
    this.#lines.set(service, line)
    return line
  }

  /** Upstreams of a service that take requests and are held back, or leave, by what holds them. */
  heldBack(service?: string): Partial<Record<HeldBy, number>> {
    const now = this.options.clock.now()
    const counts: Partial<Record<HeldBy, number>> = {}
    const add = (reason: HeldBy) => void (counts[reason] = (counts[reason] ?? 0) + 1)
    for (const upstream of this.#upstreams.values()) {
      if (service !== undefined && upstream.listed.service !== service) continue
      if (upstream.said.isLeaving) add('leaving')
      else for (const source of this.options.budget.holds(upstream, now)) add(source)
    }
    return counts
  }

  /** Whether a place there is one of few, for which requests wait. */
  isHeld(upstream: Upstream): boolean {
    return this.options.budget.isHeld(upstream, this.options.clock.now())
  }

  /**
   * How long it takes until some upstream takes a request like this from any box. 0 where one takes it now, or nobody can say when one
   * will.
   */
  reopensIn(query: PickQuery): Milliseconds {
    const { clock, budget } = this.options
    const now = clock.now()
    let soonest = Infinity
    for (const upstream of this.#upstreams.values())
      if (this.#isEligible(upstream, query))
        soonest = Math.min(soonest, budget.reopensIn(upstream, now))
    return Number.isFinite(soonest) ? soonest : 0
  }

  /** From where an upstream copies the shared parts of a prompt in place of reading them, if that pays. */
  copySource(prompt: PromptWork, chosen: Upstream): Upstream | undefined {
    const { service } = chosen.listed
    const { clock, budget } = this.options
    const now = clock.now()
    const members: Upstream[] = []
    for (const upstream of this.#upstreams.values()) {
      if (upstream.listed.service !== service || !this.#takesRequests(upstream)) continue
      // A copy is work for the one that it is taken from, too.
      if (budget.isHeld(upstream, now)) continue
      upstream.isEjected = isEjected(upstream.health, now)
      members.push(upstream)
    }
    return copySource(prompt, chosen, members)
  }

  /** How long it would take until an answer to a prompt begins. Infinite when no upstream takes it. */
  beginsWithin(query: PickQuery & { prompt: PromptWork }): Milliseconds {
    const upstream = this.pick(query)
    if (!upstream) return Infinity
    return upstream.waiting + upstream.slowness * query.prompt.whole
  }

  /** Versions of a service that some upstream serves and takes requests for. */
  readyVersions(service: string): Map<string, number> {
    const versions = new Map<string, number>()
    for (const upstream of this.#upstreams.values()) {
      const { listed } = upstream
      if (listed.service !== service || !this.#takesRequests(upstream)) continue
      versions.set(listed.version, (versions.get(listed.version) ?? 0) + 1)
    }
    return versions
  }

  /** Whether some upstream of a version may be sent a request now. */
  takesNow(service: string, version: string): boolean {
    const { clock, budget } = this.options
    const now = clock.now()
    for (const upstream of this.#upstreams.values()) {
      const { listed, health } = upstream
      if (listed.service !== service || listed.version !== version) continue
      if (this.#takesRequests(upstream) && !health.isGone && budget.admits(upstream, now))
        return true
    }
    return false
  }

  /** This box's exchanges under way at each version of a service. */
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

  /** Another box found another process at the address of an upstream's run. True if that is news. */
  takeGone(run: string): boolean {
    const upstream = this.ofRun(run)
    if (!upstream || !noteGone(upstream.health)) return false
    this.options.log.note('upstream-replaced', { upstream: run, service: upstream.listed.service })
    return true
  }

  /** An upstream that could not be reached answers again. */
  noteReturned(upstream: Upstream): void {
    noteReachable(upstream.health)
    this.options.budget.suspectCold(upstream)
    const { id, service } = upstream.listed
    this.options.log.note('upstream-reachable', { upstream: id, service })
  }

  /** The upstream of a run, as long as it is listed. */
  ofRun(run: string): Upstream | undefined {
    for (const upstream of this.#upstreams.values()) if (upstream.run === run) return upstream
    return undefined
  }

  /** All upstreams that are listed. */
  all(): Iterable<Upstream> {
    return this.#upstreams.values()
  }

  isListed(upstream: Upstream): boolean {
    return this.#upstreams.get(upstream.listed.id) === upstream
  }

  /** Whether requests may be sent there at all. */
  #takesRequests({ listed, said }: Upstream): boolean {
    return !said.isLeaving && listed.state === 'ready' && !this.#evacuated.has(listed.dataCentre)
  }

  /** It may be sent the request, whether or not a connection is free. */
  #isEligible(upstream: Upstream, query: PickQuery): boolean {
    const { listed, health } = upstream
    return (
      listed.service === query.service &&
      this.#takesRequests(upstream) &&
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
    return query.ahead ? !budget.isHeld(upstream, now) : budget.admits(upstream, now)
  }

  #keep(entry: ListedUpstream, isFirst: boolean): void {
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

  #forget(id: string): void {
    const known = this.#upstreams.get(id)
    if (!known) return
    known.channels.retire()
    this.options.work.forget(id)
    this.#upstreams.delete(id)
    this.options.log.note('upstream-gone', { upstream: id, service: known.listed.service })
  }
}

function loadOf({ inFlight, told }: Upstream, now: Milliseconds): number {
  if (!told || now - told.at > TOLD_LOAD_LIFETIME) return inFlight
  return inFlight + Math.max(0, told.load - told.own)
}
