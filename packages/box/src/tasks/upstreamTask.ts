import {
  createUpstreamView,
  noteReport,
  predictLoad,
  PrefixMap,
  type Clock,
  type Milliseconds,
  type PoolUse,
  type UpstreamView,
  type VoterId,
} from '@yewkeel/decisions'
import type { ListedMachine, Log, UpstreamClient } from '../types/ports.js'
import { every } from './every.js'

/** An upstream that the settings name. */
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
  onEntryBoxes(names: ReadonlySet<string>): void
}

const REPORT_EVERY: Milliseconds = 1_000
const REPORT_PATIENCE: Milliseconds = 2_000
const LIST_EVERY: Milliseconds = 1_000
/** An upstream that is off the list this long is dropped; the list lags and flickers. */
const DROP_AFTER: Milliseconds = 3_000

interface ReportBody {
  running: number
  waiting: number
  slots: number
  leaving: boolean
  versions: string[]
  room?: number
  loading?: string
}

/** What placement needs to know of an engine beside its load. */
export interface EngineFacts {
  room: number
  loading?: string
  checksFence: boolean
}

/** Knows the upstreams: which there are, what they serve, how loaded they are. */
export class UpstreamTask {
  readonly views = new Map<string, UpstreamView>()
  readonly facts = new Map<string, EngineFacts>()
  readonly prefixes = new PrefixMap()
  readonly #pools = new Map<string, UpstreamView[]>()
  readonly #peerInFlight = new Map<VoterId, readonly [string, number][]>()
  readonly #lastListed = new Map<string, Milliseconds>()
  #emptying: ReadonlySet<string> = new Set()
  #timers: { cancel(): void }[] = []

  constructor(private readonly options: UpstreamTaskOptions) {
    for (const upstream of options.configured) this.#add(upstream)
  }

  /** Resolves when each known upstream has been asked once. */
  async start(): Promise<void> {
    const { clock } = this.options
    await this.#readList()
    await this.#readReports()
    this.#timers = [
      every(clock, LIST_EVERY, () => this.#readList()),
      every(clock, REPORT_EVERY, () => this.#readReports()),
    ]
  }

  stop(): void {
    this.#timers.forEach(timer => timer.cancel())
  }

  /** Upstreams that serve a version or a service, whether or not they take work now. */
  poolOf(served: string): readonly UpstreamView[] {
    return this.#pools.get(served) ?? []
  }

  isServed(served: string): boolean {
    return this.poolOf(served).some(view => view.state === 'live')
  }

  /** Requests under way against slots, over the live upstreams of a pool. */
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

  /** Names of engines that are emptied for a change: they get no new work. */
  setEmptying(engines: ReadonlySet<string>): void {
    this.#emptying = engines
    for (const view of this.views.values()) this.#refreshState(view)
  }

  get emptying(): ReadonlySet<string> {
    return this.#emptying
  }

  /** The upstream answered for another version than it said it runs. */
  noteLie(view: UpstreamView, served: string): void {
    this.options.log.warn(
      { upstream: view.id, version: served },
      'an upstream answered for another version',
    )
    view.serves.delete(served)
    this.#indexPools()
  }

  setPeerInFlight(peer: VoterId, inFlight: readonly [string, number][]): void {
    for (const [id, count] of this.#peerInFlight.get(peer) ?? []) this.#addPeers(id, -count)
    for (const [id, count] of inFlight) this.#addPeers(id, count)
    this.#peerInFlight.set(peer, inFlight)
  }

  dropPeer(peer: VoterId): void {
    this.setPeerInFlight(peer, [])
    this.#peerInFlight.delete(peer)
  }

  /** This box's requests under way, by upstream. */
  ownInFlight(): [string, number][] {
    return [...this.views.values()]
      .filter(view => view.inFlight > 0)
      .map(view => [view.id, view.inFlight])
  }

  #addPeers(id: string, count: number): void {
    const view = this.views.get(id)
    if (view) view.peersInFlight = Math.max(0, view.peersInFlight + count)
  }

  #add(upstream: ConfiguredUpstream): UpstreamView {
    const { name, kind, address, dataCentre, slots, checksFence } = upstream
    const view = createUpstreamView({ id: name, kind, address, dataCentre, slots })
    // A plain service serves its own name; its load report may name no versions.
    if (kind === 'service') view.serves.add(serviceOf(name))
    this.views.set(name, view)
    this.facts.set(name, { room: 1, checksFence })
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
      this.#lastListed.set(name, now)
      const known = this.views.get(name)
      const view =
        known?.address === address
          ? known
          : this.#add({ name, kind: role, address, dataCentre, slots, checksFence })
      view.state = machine.state
    }
    this.#dropUnlisted(now)
  }

  #dropUnlisted(now: Milliseconds): void {
    for (const [name, listedAt] of this.#lastListed) {
      const view = this.views.get(name)
      if (!view || now - listedAt <= DROP_AFTER) continue
      view.state = 'gone'
      if (view.inFlight > 0) continue
      this.views.delete(name)
      this.facts.delete(name)
      this.#lastListed.delete(name)
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
        { answerWithin: REPORT_PATIENCE },
      )
      const report = JSON.parse(await readText(answer.body)) as ReportBody
      this.#takeReport(view, report, askedAt)
    } catch {
      // The next report or the requests themselves will show what is wrong.
    }
  }

  #takeReport(view: UpstreamView, report: ReportBody, askedAt: Milliseconds): void {
    noteReport(view, { at: askedAt, running: report.running, waiting: report.waiting })
    view.slots = report.slots
    // The upstream itself knows first that it leaves; the list follows.
    if (report.leaving) view.state = 'leaving'
    if (view.kind === 'service') return
    view.serves = new Set(report.versions)
    const facts = this.facts.get(view.id)
    this.facts.set(view.id, {
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
      !this.#lastListed.has(view.id)
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

/** Replicas of a service are named `service.1`, `service.2`; callers ask for `service`. */
export function serviceOf(upstream: string): string {
  return upstream.replace(/\.\d+$/, '')
}

/** Reads a whole body as text. */
export async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = []
  for await (const chunk of body) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

/** Requests under way by organisation, for shares of a crowded pool. */
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
