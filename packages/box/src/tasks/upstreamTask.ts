import {
  createUpstreamView,
  recordReport,
  predictLoad,
  PrefixMap,
  type Clock,
  type Milliseconds,
  type PoolUse,
  type UpstreamView,
  type VoterId,
} from '@yewkeel/decisions'
import { ByteQueue } from '../requests/byteQueue.js'
import type { ListedMachine, Log, UpstreamClient } from '../types/ports.js'
import { every } from './every.js'
import { logTaskFailure } from './logTaskFailure.js'

/** An upstream from the settings. */
export interface ConfiguredUpstream {
  name: string
  kind: 'engine' | 'service'
  address: string
  dataCentre: string
  slots: number
  checksFence: boolean
}

export interface UpstreamTaskOptions {
  configured: readonly ConfiguredUpstream[]
  client: UpstreamClient
  clock: Clock
  log: Log
  listMachines(): Promise<readonly ListedMachine[] | undefined>
  /** Receives the names of all entry boxes on the platform's list. */
  onEntryBoxes(names: ReadonlySet<string>): void
}

const REPORT_INTERVAL: Milliseconds = 1_000
const REPORT_TIMEOUT: Milliseconds = 2_000
const LIST_INTERVAL: Milliseconds = 1_000
/** Upstreams missing from the list for longer are removed; the list may lag or omit entries. */
const UNLISTED_TTL: Milliseconds = 3_000

/** Body of an upstream's `/load` response. */
interface LoadReportBody {
  running: number
  waiting: number
  slots: number
  leaving: boolean
  versions: string[]
  room?: number
  loading?: string
}

/** Facts about an engine that placement uses, beside its load. */
export interface EngineFacts {
  room: number
  loading?: string
  checksFence: boolean
}

/** Discovers the upstreams and polls what they serve and their load. */
export class UpstreamTask {
  readonly views = new Map<string, UpstreamView>()
  readonly engineFacts = new Map<string, EngineFacts>()
  readonly prefixes = new PrefixMap()
  readonly #pools = new Map<string, UpstreamView[]>()
  readonly #peerInFlight = new Map<VoterId, readonly [string, number][]>()
  readonly #lastListedAt = new Map<string, Milliseconds>()
  #emptying: ReadonlySet<string> = new Set()
  #timers: { cancel(): void }[] = []

  constructor(private readonly options: UpstreamTaskOptions) {
    for (const upstream of options.configured) this.#add(upstream)
  }

  /** Resolves after the first load report, or its timeout, of each known upstream. */
  async start(): Promise<void> {
    const { clock, log } = this.options
    await this.#readList()
    await this.#readReports()
    this.#timers = [
      every(clock, LIST_INTERVAL, () => this.#readList(), logTaskFailure(log, 'upstream list')),
      every(clock, REPORT_INTERVAL, () => this.#readReports(), logTaskFailure(log, 'load reports')),
    ]
  }

  stop(): void {
    this.#timers.forEach(timer => timer.cancel())
  }

  /** Upstreams that serve a version or a service, in any state. */
  poolOf(served: string): readonly UpstreamView[] {
    return this.#pools.get(served) ?? []
  }

  isServed(served: string): boolean {
    return this.poolOf(served).some(view => view.state === 'live')
  }

  /** Predicted load per slot of the live, not ejected upstreams; `Infinity` without any. */
  utilisationOf(served: string): number {
    const now = this.options.clock.now()
    let load = 0
    let slots = 0
    for (const view of this.poolOf(served)) {
      if (view.state !== 'live' || view.health.state === 'ejected') continue
      load += predictLoad(view, now)
      slots += view.slots
    }
    return slots > 0 ? load / slots : Infinity
  }

  /** Sets the engines that drain for a change of version: they get no new requests. */
  setEmptying(engines: ReadonlySet<string>): void {
    this.#emptying = engines
    for (const view of this.views.values()) this.#refreshState(view)
  }

  get emptying(): ReadonlySet<string> {
    return this.#emptying
  }

  /** Removes `served` from an upstream that answered with another version. */
  recordVersionMismatch(view: UpstreamView, served: string): void {
    this.options.log.warn(
      { upstream: view.id, version: served },
      'the upstream answered with another version than it reports',
    )
    view.serves.delete(served)
    this.#indexPools()
  }

  setPeerInFlight(peer: VoterId, inFlight: readonly [string, number][]): void {
    for (const [id, count] of this.#peerInFlight.get(peer) ?? []) this.#addPeerInFlight(id, -count)
    for (const [id, count] of inFlight) this.#addPeerInFlight(id, count)
    this.#peerInFlight.set(peer, inFlight)
  }

  dropPeer(peer: VoterId): void {
    this.setPeerInFlight(peer, [])
    this.#peerInFlight.delete(peer)
  }

  /** This box's requests in flight, by upstream. */
  ownInFlight(): [string, number][] {
    return [...this.views.values()]
      .filter(view => view.inFlight > 0)
      .map(view => [view.id, view.inFlight])
  }

  #addPeerInFlight(id: string, count: number): void {
    const view = this.views.get(id)
    if (view) view.peersInFlight = Math.max(0, view.peersInFlight + count)
  }

  #add(upstream: ConfiguredUpstream): UpstreamView {
    const { name, kind, address, dataCentre, slots, checksFence } = upstream
    const view = createUpstreamView({ id: name, kind, address, dataCentre, slots })
    // The load report of a plain service need not list any versions.
    if (kind === 'service') view.serves.add(serviceOf(name))
    this.views.set(name, view)
    this.engineFacts.set(name, { room: 1, checksFence })
    this.#indexPools()
    return view
  }

  async #readList(): Promise<void> {
    const machines = await this.options.listMachines()
    if (!machines) return
    const now = this.options.clock.now()
    this.options.onEntryBoxes(
      new Set(machines.filter(machine => machine.role === 'entry').map(machine => machine.name)),
    )
    for (const machine of machines) {
      if (machine.role === 'entry') continue
      const { name, role, address, dataCentre, slots = 8, checksFence = false } = machine
      this.#lastListedAt.set(name, now)
      const known = this.views.get(name)
      const view =
        known?.address === address
          ? known
          : this.#add({ name, kind: role, address, dataCentre, slots, checksFence })
      view.state = machine.state
    }
    this.#removeUnlisted(now)
  }

  #removeUnlisted(now: Milliseconds): void {
    for (const [name, listedAt] of this.#lastListedAt) {
      const view = this.views.get(name)
      if (!view || now - listedAt <= UNLISTED_TTL) continue
      view.state = 'gone'
      if (view.inFlight > 0) continue
      this.views.delete(name)
      this.engineFacts.delete(name)
      this.#lastListedAt.delete(name)
      this.#indexPools()
    }
  }

  async #readReports(): Promise<void> {
    await Promise.all([...this.views.values()].map(view => this.#readReport(view)))
    this.#indexPools()
  }

  async #readReport(view: UpstreamView): Promise<void> {
    const { clock, client } = this.options
    const askedAt = clock.now()
    try {
      const answer = await client.send(
        view.address,
        { method: 'GET', path: '/load', headers: {} },
        { responseTimeout: REPORT_TIMEOUT },
      )
      const report = JSON.parse(await readText(answer.body)) as LoadReportBody
      this.#applyReport(view, report, askedAt)
    } catch {
      // Failing upstreams are detected by their requests; the report is polled again.
    }
  }

  #applyReport(view: UpstreamView, report: LoadReportBody, askedAt: Milliseconds): void {
    recordReport(view, { at: askedAt, running: report.running, waiting: report.waiting })
    view.slots = report.slots
    // An upstream reports that it drains before the list does.
    if (report.leaving) view.state = 'leaving'
    if (view.kind === 'service') return
    view.serves = new Set(report.versions)
    const facts = this.engineFacts.get(view.id)
    this.engineFacts.set(view.id, {
      checksFence: facts?.checksFence ?? false,
      room: report.room ?? 1,
      ...(report.loading && { loading: report.loading }),
    })
    this.#refreshState(view)
  }

  #refreshState(view: UpstreamView): void {
    if (this.#emptying.has(view.id) && view.state === 'live') view.state = 'leaving'
    if (
      !this.#emptying.has(view.id) &&
      view.state === 'leaving' &&
      !this.#lastListedAt.has(view.id)
    ) {
      view.state = 'live'
    }
  }

  #indexPools(): void {
    this.#pools.clear()
    for (const view of this.views.values()) {
      for (const served of view.serves) {
        const pool = this.#pools.get(served)
        if (pool) pool.push(view)
        else this.#pools.set(served, [view])
      }
    }
  }
}

/** Service name of a replica: callers request `service` of `service.1` and `service.2`. */
export function serviceOf(upstream: string): string {
  return upstream.replace(/\.\d+$/, '')
}

/** Reads a whole body as text. */
export async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const bytes = new ByteQueue()
  for await (const chunk of body) bytes.push(chunk)
  return bytes.takeAll().toString()
}

/** Requests in flight by pool and organisation, for fair sharing of a full pool. */
export class PoolUses {
  readonly #uses = new Map<string, Map<string, PoolUse>>()

  usesOf(pool: string): Map<string, PoolUse> {
    const known = this.#uses.get(pool)
    if (known) return known
    const created = new Map<string, PoolUse>()
    this.#uses.set(pool, created)
    return created
  }

  add(pool: string, organisation: string, share: number): void {
    const uses = this.usesOf(pool)
    const use = uses.get(organisation) ?? { inFlight: 0, share }
    use.inFlight++
    use.share = share
    uses.set(organisation, use)
  }

  remove(pool: string, organisation: string): void {
    const use = this.usesOf(pool).get(organisation)
    if (use) use.inFlight--
  }
}
