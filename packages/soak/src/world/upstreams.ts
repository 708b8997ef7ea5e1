import {
  startServiceStandIn,
  UPSTREAMS_TABLE,
  writeUpstream,
  type DeadlyEnding,
  type RowsStandIn,
  type ServiceCapacity,
  type ServiceStandIn,
  type VersionFlaw,
} from '@yewkeel/platform/stand-ins'
import type { Random } from '@yewkeel/decisions'
import { NARROW_SERVICE, type Evidence } from '../checks/evidence.js'
import { startLoopbackProxy, type LoopbackProxy } from '../faults/loopbackProxy.js'

/** A slot in which upstream processes run one after the other, behind a proxy. */
export interface UpstreamSlot {
  service: string
  version: string
  /** Undefined for the default. */
  capacity: ServiceCapacity | undefined
  standIn: ServiceStandIn
  proxy: LoopbackProxy
}

export interface UpstreamsOptions {
  host: string
  rows: RowsStandIn
  random: Random
  evidence: Evidence
  now(): number
  /** Fraction of the streams without a length and chunks. */
  unframedShare?: number
  /** Fraction of these that end early, in order, at an upstream that lives on. */
  earlyEndShare?: number
  /** How upstreams end under the deadly part; the stand-in's default if undefined. */
  deadlyEnding?: DeadlyEnding | undefined
  /** How many times as long every other upstream works. */
  timesLonger?: number | undefined
  /** The capacity of the `index`-th upstream of a service; the default if undefined. */
  capacityOf?(service: string, index: number): ServiceCapacity | undefined
}

/** How often an upstream writes its row. */
const ROW_INTERVAL_MS = 1_200
/** How long an upstream serves after it has announced that it drains. */
const DRAIN_DURATION_MS = 4_500
/** How long a slot is down after a crash. */
const RESTART_DELAY_MS = 1_500

/** The version of every service when the run starts. */
export const INITIAL_VERSION = 'v1'

/** The upstreams behind the boxes, with their rows in the store. */
export class Upstreams {
  readonly slots: UpstreamSlot[] = []
  readonly #instances = new Map<string, ServiceStandIn>()
  readonly #timer: NodeJS.Timeout
  #instanceCount = 0
  #sequence = 0
  readonly #down = new Set<UpstreamSlot>()
  /** Proxies of crashed upstreams whose connections stay open. */
  readonly #dark: LoopbackProxy[] = []
  /** Upstreams that have announced in their rows that they drain, by instance. */
  readonly #draining = new Map<string, object>()
  readonly #ended = new Set<string>()
  #isClosed = false

  constructor(private readonly options: UpstreamsOptions) {
    this.#timer = setInterval(() => this.#writeRows(), ROW_INTERVAL_MS)
  }

  /** Adds a slot and starts its first upstream. `flaw` applies to all upstreams of the slot. */
  async add(service: string, version = INITIAL_VERSION, flaw?: VersionFlaw): Promise<void> {
    const index = this.slots.filter(slot => slot.service === service).length
    const capacity = this.options.capacityOf?.(service, index)
    const standIn = await this.#startInstance(service, version, capacity)
    standIn.flaw = flaw
    const slot: Omit<UpstreamSlot, 'proxy'> = { service, version, capacity, standIn }
    const proxy = await startLoopbackProxy(this.options.host, () => slot.standIn.address)
    this.slots.push(Object.assign(slot, { proxy }))
    this.#writeRow(this.slots.at(-1)!, 'ready')
  }

  /** Crashes the upstream of a slot; its successor starts at once behind the same address. */
  async crash(slot: UpstreamSlot): Promise<void> {
    const crashed = slot.standIn
    this.#end(crashed)
    slot.standIn = await this.#startSuccessor(slot)
    this.#removeRow(crashed)
    this.#writeRow(slot, 'ready')
  }

  /** Crashes the upstream of a slot; its successor starts after a delay, at another address. */
  async #crashAndRestart(slot: UpstreamSlot, isSilent = false): Promise<void> {
    if (this.#down.has(slot)) return
    this.#down.add(slot)
    const crashed = slot.standIn
    if (isSilent) this.#goDark(slot.proxy)
    this.#end(crashed)
    if (!isSilent) slot.proxy.close()
    await new Promise(resolve => setTimeout(resolve, RESTART_DELAY_MS))
    if (this.#isClosed) return
    slot.standIn = await this.#startSuccessor(slot)
    slot.proxy = await startLoopbackProxy(this.options.host, () => slot.standIn.address)
    this.#removeRow(crashed)
    this.#down.delete(slot)
    this.#writeRow(slot, 'ready')
  }

  #goDark(proxy: LoopbackProxy): void {
    proxy.goDark()
    this.#dark.push(proxy)
  }

  /** Crashes a fraction of a service's upstreams at once, at least one. */
  async crashFraction(service: string, share: number): Promise<void> {
    const members = this.slots.filter(slot => slot.service === service)
    const affected = members.slice(0, Math.max(1, Math.floor(members.length * share)))
    await Promise.all(affected.map(slot => this.#crashAndRestart(slot)))
  }

  /** Crashes the upstream that executes a request which crashes upstreams. */
  #crashUnder(
    { crashes }: Evidence['poisonRequests'],
    instance: string,
    id: string,
    isSilent = false,
  ): void {
    const slot = this.slots.find(({ standIn }) => standIn.instance === instance)
    if (!slot) return
    crashes.push({ id, at: this.options.now() })
    void this.#crashAndRestart(slot, isSilent)
  }

  /** Drains the upstream of a slot, announced in its row, and starts its successor. */
  async replace(slot: UpstreamSlot): Promise<void> {
    const { rows, evidence, now } = this.options
    const draining = slot.standIn
    const proxy = await startLoopbackProxy(this.options.host, () => draining.address)
    const row = this.#rowOf(slot, proxy, 'draining')
    rows.put(UPSTREAMS_TABLE, draining.instance, row)
    this.#draining.set(draining.instance, row)
    evidence.drains.push({ instance: draining.instance, at: now() })
    await this.#handOver(slot, proxy)
  }

  /** Like `replace`, but the row stays `ready`: only the upstream's answers state the drain. */
  async drainSilently(slot: UpstreamSlot): Promise<void> {
    const { rows } = this.options
    const draining = slot.standIn
    const proxy = await startLoopbackProxy(this.options.host, () => draining.address)
    const row = this.#rowOf(slot, proxy, 'ready')
    rows.put(UPSTREAMS_TABLE, draining.instance, row)
    await this.#handOver(slot, proxy)
  }

  /** Starts a slot's next upstream; the current one drains behind `proxy` and then exits. */
  async #handOver(slot: UpstreamSlot, proxy: LoopbackProxy): Promise<void> {
    const draining = slot.standIn
    slot.standIn = await this.#startSuccessor(slot)
    this.#writeRow(slot, 'ready')
    setTimeout(() => {
      this.#removeRow(draining)
      this.#end(draining)
      proxy.close()
    }, DRAIN_DURATION_MS)
  }

  /** Stops all upstreams of a version at once and removes their slots. */
  removeVersion(service: string, version: string): void {
    const isRemoved = (slot: UpstreamSlot) => slot.service === service && slot.version === version
    const removed = this.slots.filter(isRemoved)
    this.slots.splice(0, Infinity, ...this.slots.filter(slot => !isRemoved(slot)))
    for (const { standIn, proxy } of removed) {
      this.#removeRow(standIn)
      this.#end(standIn)
      proxy.close()
    }
  }

  close(): void {
    this.#isClosed = true
    clearInterval(this.#timer)
    for (const { proxy } of this.slots) proxy.close()
    for (const proxy of this.#dark) proxy.close()
    for (const instance of this.#instances.values()) instance.crash()
  }

  /** Starts another process of the slot's version with the same flaw. */
  async #startSuccessor(slot: UpstreamSlot): Promise<ServiceStandIn> {
    const { service, version, capacity, standIn } = slot
    const next = await this.#startInstance(service, version, capacity)
    next.flaw = standIn.flaw
    return next
  }

  async #startInstance(
    service: string,
    version: string,
    capacity: ServiceCapacity | undefined,
  ): Promise<ServiceStandIn> {
    const { host, random, evidence, now, deadlyEnding, timesLonger } = this.options
    const isSilent = deadlyEnding?.how === 'silent'
    const instance = `i-${service}-${++this.#instanceCount}`
    const standIn = await startServiceStandIn({
      instance,
      host,
      random,
      ...capacity,
      ...(service === NARROW_SERVICE && {
        onLoad: load => void evidence.upstreamLoads.push({ ...load, instance, at: now() }),
      }),
      onArrival: id => void evidence.arrivals.push({ id, service, version, instance, at: now() }),
      onExecution: run => evidence.recordExecution({ ...run, service, at: now() }),
      onPoison: id => this.#crashUnder(evidence.poisonRequests, instance, id),
      onDeadly: id => this.#crashUnder(evidence.deadlyRequests, instance, id, isSilent),
      onAdvertised: (id, content) =>
        void evidence.advertisingAnswers.push({ instance, id, content, at: now() }),
    })
    standIn.faults.unframedShare = this.options.unframedShare ?? 0
    standIn.faults.earlyEndShare = this.options.earlyEndShare ?? 0
    if (deadlyEnding) standIn.faults.deadlyEnding = deadlyEnding
    if (timesLonger !== undefined && this.#instanceCount % 2 === 0)
      standIn.faults.timesLonger = timesLonger
    this.#instances.set(instance, standIn)
    return standIn
  }

  /** Writes the rows of a restored store again, and removes those of upstreams that have ended. */
  writeRowsAgain(): void {
    const { rows } = this.options
    for (const instance of this.#ended) rows.remove(UPSTREAMS_TABLE, instance)
    for (const [instance, row] of this.#draining) rows.put(UPSTREAMS_TABLE, instance, row)
    this.#writeRows()
  }

  #end(standIn: ServiceStandIn): void {
    const { evidence, now } = this.options
    evidence.instanceEnds.set(standIn.instance, now())
    standIn.crash()
  }

  #removeRow({ instance }: ServiceStandIn): void {
    this.#draining.delete(instance)
    this.#ended.add(instance)
    this.options.rows.remove(UPSTREAMS_TABLE, instance)
  }

  #writeRows(): void {
    for (const slot of this.slots) if (!this.#down.has(slot)) this.#writeRow(slot, 'ready')
  }

  #writeRow(slot: UpstreamSlot, state: 'ready'): void {
    const row = this.#rowOf(slot, slot.proxy, state)
    this.options.rows.put(UPSTREAMS_TABLE, slot.standIn.instance, row)
  }

  #rowOf(
    { service, version, capacity }: UpstreamSlot,
    { address }: LoopbackProxy,
    state: 'ready' | 'draining',
  ): object {
    return writeUpstream(service, version, address, state, ++this.#sequence, capacity?.slots)
  }
}
