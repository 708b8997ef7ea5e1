import { every, type TaskFailureHandler } from '@yewkeel/box'
import {
  createServicePath,
  recordPathFailure,
  recordPathProbe,
  recordReconnected,
  resolveDoubt,
  type Clock,
  type Milliseconds,
  type Random,
  type ServicePath,
  type Timer,
} from '@yewkeel/decisions'
import type { PathReport } from '../types/gossip.js'
import type { EventLog } from '../types/ports.js'
import type { Upstream } from '../types/upstream.js'

export interface PathWatchOptions {
  clock: Clock
  random: Random
  log: EventLog
  /** All listed upstreams. */
  all(): Iterable<Upstream>
  /** Whether an upstream accepts a connection of this box. */
  probe(upstream: Upstream): Promise<boolean>
  /** Whether another box lately heard from upstreams of the service. */
  othersHear(service: string): boolean
  /** Whether another box may have a path to the service. */
  hasRelay(service: string): boolean
  /** The path to a service was lost or is back. */
  onChange(): void
}

/**
 * Upstreams that are asked before a path counts as lost, since many may be down by themselves: those
 * heard last, which are the likeliest to live, and as many drawn by chance.
 */
const CHECKED_UPSTREAMS = 6
/** How often a lost path is probed, with one connection. */
const PROBE_INTERVAL: Milliseconds = 400
/** All requests at an upstream that ends share one check of the path. */
const BESIDE_CHECK_LIFETIME: Milliseconds = 200
/** Within this, bytes of an upstream show that it is heard. */
const HEARD_WITHIN: Milliseconds = 1_000

/**
 * Finds out that this box, not its upstreams, is cut off: connections to several of them fail, none
 * opens to others that are asked, and another box hears from them. Knows each service by itself.
 */
export class PathWatch {
  readonly #paths = new Map<string, ServicePath>()
  #isProbing = false
  #besideCheck: { at: Milliseconds; hasPath: Promise<boolean> } | undefined

  constructor(private readonly options: PathWatchOptions) {}

  start(onFailure: TaskFailureHandler): Timer {
    return every(this.options.clock, PROBE_INTERVAL, () => this.#probeLost(), onFailure)
  }

  /** What other boxes are told. */
  get report(): PathReport {
    const since = this.options.clock.now() - HEARD_WITHIN
    const heard = new Set<string>()
    for (const { listed, heardAt } of this.options.all())
      if (heardAt > since) heard.add(listed.service)
    const lost = [...this.#paths].filter(([, { state }]) => state === 'lost')
    return { heard: [...heard], lost: lost.map(([service]) => service) }
  }

  /** Whether this box has no path to the service and another box does. */
  isLost(service: string): boolean {
    return this.#paths.get(service)?.state === 'lost' && this.options.hasRelay(service)
  }

  /** Whether this box has no path to any service, and others have to each. */
  get isCutOff(): boolean {
    if (this.#paths.size === 0) return false
    const services = this.#readyServices()
    return services.size > 0 && [...services].every(service => this.isLost(service))
  }

  /** Records that an upstream took no connection of this box, or that one broke. */
  recordFailure({ listed, run }: Upstream): void {
    const { clock } = this.options
    const { service } = listed
    const path = this.#pathOf(service)
    const count = this.#readyUpstreams(service).length
    if (recordPathFailure(path, run, count, clock.now())) void this.#check(service, path)
  }

  /**
   * Whether some upstream, of whatever service, can be reached; true where there is none to ask but
   * the given one.
   */
  async hasPathBeside(upstream: Upstream): Promise<boolean> {
    const now = this.options.clock.now()
    if (this.#besideCheck && now - this.#besideCheck.at < BESIDE_CHECK_LIFETIME)
      return this.#besideCheck.hasPath
    const others = [...this.options.all()].filter(other => other !== upstream && isReady(other))
    if (others.length === 0) return true
    const hasPath = this.#opensOneOf(this.#drawByHeard(others))
    this.#besideCheck = { at: now, hasPath }
    return hasPath
  }

  async #check(service: string, path: ServicePath): Promise<void> {
    const { clock, log, othersHear, onChange } = this.options
    const asked = this.#upstreamsToAsk(service, path)
    const isOpen = await this.#opensOneOf(asked)
    const isHeard = othersHear(service)
    const isLost = !isOpen && isHeard
    resolveDoubt(path, isLost, clock.now())
    if (!isOpen) log.event('path-checked', { service, asked: asked.length, isHeard, isLost })
    if (!isLost) return
    log.event('path-lost', { service, neededProbes: path.neededProbes })
    onChange()
    this.#doubtOthers()
  }

  /** Checks the paths to all other services, since what was lost is seldom one alone. */
  #doubtOthers(): void {
    for (const service of this.#readyServices()) {
      const path = this.#pathOf(service)
      if (path.state !== 'open') continue
      path.state = 'doubted'
      void this.#check(service, path)
    }
  }

  /** Those that have not failed first. */
  #upstreamsToAsk(service: string, { failedAt }: ServicePath): Upstream[] {
    const ready = this.#readyUpstreams(service)
    const untried = ready.filter(({ run }) => !failedAt.has(run))
    const asked = this.#drawByHeard(untried)
    if (asked.length === CHECKED_UPSTREAMS) return asked
    const failed = ready.filter(({ run }) => failedAt.has(run))
    return [...asked, ...this.#draw(failed, CHECKED_UPSTREAMS - asked.length)]
  }

  #drawByHeard(upstreams: readonly Upstream[]): Upstream[] {
    const ranked = [...upstreams].sort((left, right) => right.heardAt - left.heardAt)
    const latest = ranked.slice(0, CHECKED_UPSTREAMS / 2)
    const others = ranked.slice(CHECKED_UPSTREAMS / 2)
    return [...latest, ...this.#draw(others, CHECKED_UPSTREAMS - latest.length)]
  }

  /** Resolves with the first that opens, or when none did. */
  async #opensOneOf(upstreams: readonly Upstream[]): Promise<boolean> {
    const opened = upstreams.map(async upstream => {
      if (!(await this.options.probe(upstream))) throw new Error('no connection opened')
    })
    return Promise.any(opened).then(
      () => true,
      () => false,
    )
  }

  /** Asks one upstream of each lost service, so that no request is spent on finding the way back. */
  async #probeLost(): Promise<void> {
    if (this.#isProbing) return
    this.#isProbing = true
    const lost = [...this.#paths].filter(([, { state }]) => state === 'lost')
    try {
      await Promise.all(lost.map(([service, path]) => this.#probeOnce(service, path)))
    } finally {
      this.#isProbing = false
    }
  }

  async #probeOnce(service: string, path: ServicePath): Promise<void> {
    const { clock, log, probe, onChange } = this.options
    const [upstream] = this.#draw(this.#readyUpstreams(service), 1)
    if (!upstream) return
    const isOpen = await probe(upstream)
    const lostAt = path.since
    if (!recordPathProbe(path, isOpen, clock.now())) return
    log.event('path-back', { service, after: Math.round(clock.now() - lostAt) })
    this.#forgive(service)
    onChange()
  }

  /** What failed during the cut says nothing of the upstreams. */
  #forgive(service: string): void {
    for (const { health } of this.#readyUpstreams(service)) recordReconnected(health)
  }

  #draw(upstreams: readonly Upstream[], count: number): Upstream[] {
    const { random } = this.options
    const ranked = upstreams.map(upstream => ({ upstream, rank: random() }))
    ranked.sort((left, right) => left.rank - right.rank)
    return ranked.slice(0, count).map(({ upstream }) => upstream)
  }

  #readyUpstreams(service: string): Upstream[] {
    return [...this.options.all()].filter(
      upstream => upstream.listed.service === service && isReady(upstream),
    )
  }

  #readyServices(): Set<string> {
    const services = new Set<string>()
    for (const upstream of this.options.all())
      if (isReady(upstream)) services.add(upstream.listed.service)
    return services
  }

  #pathOf(service: string): ServicePath {
    const known = this.#paths.get(service)
    if (known) return known
    const path = createServicePath(this.options.clock.now())
    this.#paths.set(service, path)
    return path
  }
}

function isReady({ listed, advertised, health }: Upstream): boolean {
  return listed.state === 'ready' && !advertised.isLeaving && !health.isGone
}
