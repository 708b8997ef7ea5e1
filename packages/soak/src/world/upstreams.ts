import {
  startServiceStandIn,
  UPSTREAMS_TABLE,
  writeUpstream,
  type RowsStandIn,
  type ServiceStandIn,
  type VersionFlaw,
} from '@yewkeel/platform/stand-ins'
import type { Random } from '@yewkeel/decisions'
import type { Evidence } from '../checks/evidence.js'
import { startLoopbackProxy, type LoopbackProxy } from '../faults/loopbackProxy.js'

/** A place where one upstream runs after the other, behind a proxy. */
export interface UpstreamPlace {
  service: string
  version: string
  standIn: ServiceStandIn
  proxy: LoopbackProxy
}

export interface UpstreamsOptions {
  host: string
  rows: RowsStandIn
  random: Random
  evidence: Evidence
  now(): number
}

/** An upstream writes its row this often, in ms. */
const ROW_EVERY_MS = 1_200
/** How long one that leaves serves on after it said so, in ms. */
const SERVES_ON_MS = 4_500
/** How long a place is down after its process has ended, in ms. */
const DOWN_MS = 1_500

/** The version that every service has at first. */
export const FIRST_VERSION = 'v1'

/** The upstreams behind the boxes, with their rows in the store. */
export class Upstreams {
  readonly places: UpstreamPlace[] = []
  readonly #instances = new Map<string, ServiceStandIn>()
  readonly #timer: NodeJS.Timeout
  #count = 0
  #sequence = 0
  readonly #down = new Set<UpstreamPlace>()
  #isClosed = false

  constructor(private readonly options: UpstreamsOptions) {
    this.#timer = setInterval(() => this.#writeRows(), ROW_EVERY_MS)
  }

  /** `flaw`: what is wrong with every upstream of the version. */
  async add(service: string, version = FIRST_VERSION, flaw?: VersionFlaw): Promise<void> {
    const standIn = await this.#startInstance(service, version)
    standIn.flaw = flaw
    const place: Omit<UpstreamPlace, 'proxy'> = { service, version, standIn }
    const proxy = await startLoopbackProxy(this.options.host, () => place.standIn.address)
    this.places.push(Object.assign(place, { proxy }))
    this.#writeRow(this.places.at(-1)!, 'ready')
  }

  /** It ends without a word, and another one starts in its place. */
  async crash(place: UpstreamPlace): Promise<void> {
    const gone = place.standIn
    gone.crash()
    place.standIn = await this.#startNext(place)
    this.options.rows.remove(UPSTREAMS_TABLE, gone.instance)
    this.#writeRow(place, 'ready')
  }

  /** Its process ends, and its port is dead; another one starts at another some time later. */
  async #end(place: UpstreamPlace): Promise<void> {
    if (this.#down.has(place)) return
    this.#down.add(place)
    const gone = place.standIn
    gone.crash()
    place.proxy.close()
    await new Promise(resolve => setTimeout(resolve, DOWN_MS))
    if (this.#isClosed) return
    place.standIn = await this.#startNext(place)
    place.proxy = await startLoopbackProxy(this.options.host, () => place.standIn.address)
    this.options.rows.remove(UPSTREAMS_TABLE, gone.instance)
    this.#down.delete(place)
    this.#writeRow(place, 'ready')
  }

  /** A part of a service's upstreams ends at the same moment. */
  async crashSome(service: string, share: number): Promise<void> {
    const members = this.places.filter(place => place.service === service)
    const struck = members.slice(0, Math.max(1, Math.floor(members.length * share)))
    await Promise.all(struck.map(place => this.#end(place)))
  }

  /** The upstream that runs a killer ends. */
  #kill(instance: string, id: string): void {
    const place = this.places.find(({ standIn }) => standIn.instance === instance)
    if (!place) return
    const { evidence, now } = this.options
    evidence.killers.crashes.push({ id, at: now() })
    void this.#end(place)
  }

  /** It says that it leaves, serves on, and ends; another one starts beside it. */
  async replace(place: UpstreamPlace): Promise<void> {
    const { rows, evidence, now } = this.options
    const leaving = place.standIn
    const proxy = await startLoopbackProxy(this.options.host, () => leaving.address)
    rows.put(
      UPSTREAMS_TABLE,
      leaving.instance,
      writeUpstream(place.service, place.version, proxy.address, 'draining', ++this.#sequence),
    )
    evidence.leavings.push({ instance: leaving.instance, at: now() })
    await this.#succeed(place, proxy)
  }

  /** Its answers alone say that it leaves; it serves on and ends, and another one starts beside it. */
  async leaveSilently(place: UpstreamPlace): Promise<void> {
    const { rows } = this.options
    const leaving = place.standIn
    const proxy = await startLoopbackProxy(this.options.host, () => leaving.address)
    const row = writeUpstream(
      place.service,
      place.version,
      proxy.address,
      'ready',
      ++this.#sequence,
    )
    rows.put(UPSTREAMS_TABLE, leaving.instance, row)
    await this.#succeed(place, proxy)
  }

  /** Another one starts in its place; it serves on for some time and ends. */
  async #succeed(place: UpstreamPlace, proxy: LoopbackProxy): Promise<void> {
    const leaving = place.standIn
    place.standIn = await this.#startNext(place)
    this.#writeRow(place, 'ready')
    setTimeout(() => {
      this.options.rows.remove(UPSTREAMS_TABLE, leaving.instance)
      leaving.crash()
      proxy.close()
    }, SERVES_ON_MS)
  }

  /** All upstreams of a version end at once. */
  removeVersion(service: string, version: string): void {
    const isRemoved = (place: UpstreamPlace) =>
      place.service === service && place.version === version
    const removed = this.places.filter(isRemoved)
    this.places.splice(0, Infinity, ...this.places.filter(place => !isRemoved(place)))
    for (const { standIn, proxy } of removed) {
      this.options.rows.remove(UPSTREAMS_TABLE, standIn.instance)
      standIn.crash()
      proxy.close()
    }
  }

  close(): void {
    this.#isClosed = true
    clearInterval(this.#timer)
    for (const { proxy } of this.places) proxy.close()
    for (const instance of this.#instances.values()) instance.crash()
  }

  /** The next upstream of a place: another process of the same version. */
  async #startNext({ service, version, standIn }: UpstreamPlace): Promise<ServiceStandIn> {
    const next = await this.#startInstance(service, version)
    next.flaw = standIn.flaw
    return next
  }

  async #startInstance(service: string, version: string): Promise<ServiceStandIn> {
    const { host, random, evidence, now } = this.options
    const instance = `i-${service}-${++this.#count}`
    const standIn = await startServiceStandIn({
      instance,
      host,
      random,
      onArrival: id => void evidence.arrivals.push({ id, service, version, instance, at: now() }),
      onRun: run => evidence.noteRun({ ...run, service, at: now() }),
      onKiller: id => this.#kill(instance, id),
      onSaid: (id, words) => void evidence.said.push({ instance, id, words, at: now() }),
    })
    this.#instances.set(instance, standIn)
    return standIn
  }

  #writeRows(): void {
    for (const place of this.places) if (!this.#down.has(place)) this.#writeRow(place, 'ready')
  }

  #writeRow({ service, version, standIn, proxy }: UpstreamPlace, state: 'ready'): void {
    const row = writeUpstream(service, version, proxy.address, state, ++this.#sequence)
    this.options.rows.put(UPSTREAMS_TABLE, standIn.instance, row)
  }
}
