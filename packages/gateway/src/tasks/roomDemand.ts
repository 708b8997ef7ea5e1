import {
  addToSum,
  allSums,
  clearReportedSums,
  createSharedSums,
  recordBoxSums,
  recordRelaySums,
  sumOf,
  takeChangedSums,
  type Clock,
  type FlowDemand,
  type Milliseconds,
  type SharingRole,
  type SumEntry,
} from '@yewkeel/decisions'
import type { SharedLoad } from './loadSharing.js'

/** What is counted of a flow. */
export type DemandKind = 'running' | 'waiting'

export interface RoomDemandOptions {
  clock: Clock
  /** This box's demand has changed while room is short. */
  onChange(): void
  /** Another box told its demand. */
  onTold(): void
}

/** Requests of one organisation and urgency for a service. */
export interface Flow extends Pick<FlowDemand, 'organisation' | 'urgency'> {
  service: string
}

/** Flows of a service that are told; the largest, since they decide who gets room. */
const MAX_TOLD_FLOWS = 24
/** Demand is told for this long after room was short. */
const TOLD_FOR: Milliseconds = 2_500
const LEAST_URGENT = 9

/** Requests at upstreams and at boxes by flow: of this box and, while room is short, of others. */
export class RoomDemand implements SharedLoad<SumEntry> {
  readonly #own = new Map<string, Map<string, FlowDemand>>()
  readonly #sums = createSharedSums([1, 1])
  readonly #shortAt = new Map<string, Milliseconds>()

  constructor(private readonly options: RoomDemandOptions) {}

  /** Adds to this box's own demand; `change` is 1 or -1. */
  add(flow: Flow, kind: DemandKind, change: 1 | -1): void {
    const { service, organisation, urgency } = flow
    const flows = this.#own.get(service) ?? new Map<string, FlowDemand>()
    this.#own.set(service, flows)
    const key = keyOf(flow)
    const demand = flows.get(key) ?? { organisation, urgency, running: 0, waiting: 0 }
    demand[kind] = Math.max(0, demand[kind] + change)
    if (demand.running + demand.waiting > 0) flows.set(key, demand)
    else flows.delete(key)
    if (this.#isTold(service)) this.options.onChange()
  }

  /** Tells this service's demand to others for some time. */
  markShort(service: string): void {
    const wasTold = this.#isTold(service)
    this.#shortAt.set(service, this.options.clock.now())
    if (!wasTold) this.options.onChange()
  }

  /**
   * Flows of a service over all boxes. What waits at this box is left out, since its queue counts
   * it.
   */
  flowsOf(service: string): FlowDemand[] {
    const flows = [...(this.#own.get(service)?.values() ?? [])].map(flow => ({
      ...flow,
      waiting: 0,
    }))
    const now = this.options.clock.now()
    for (const key of this.#sums.received.keys()) {
      const flow = parseKey(key)
      if (flow?.service !== service) continue
      const own = this.#sums.own.get(key)
      const [running = 0, waiting = 0] = sumOf(this.#sums, key, now)
      const { organisation, urgency } = flow
      flows.push({
        organisation,
        urgency,
        running: running - (own?.[0] ?? 0),
        waiting: waiting - (own?.[1] ?? 0),
      })
    }
    return flows.filter(({ running, waiting }) => running + waiting > 0)
  }

  /** Whether requests for the service wait at other boxes. */
  othersWait(service: string): boolean {
    if (this.#sums.received.size === 0) return false
    return this.flowsOf(service).some(({ waiting }) => waiting > 0)
  }

  takeChanges(role: SharingRole): SumEntry[] {
    this.#updateTold()
    return takeChangedSums(this.#sums, role, this.options.clock.now())
  }

  all(role: SharingRole): SumEntry[] {
    this.#updateTold()
    return allSums(this.#sums, role, this.options.clock.now())
  }

  recordFromBox(box: string, entries: readonly SumEntry[]): void {
    const valid = entries.filter(isValid)
    recordBoxSums(this.#sums, box, valid, this.options.clock.now())
    if (valid.length > 0) this.options.onTold()
  }

  recordFromRelay(entries: readonly SumEntry[]): void {
    const valid = entries.filter(isValid)
    recordRelaySums(this.#sums, valid, this.options.clock.now())
    if (valid.length > 0) this.options.onTold()
  }

  clearReported(): void {
    clearReportedSums(this.#sums)
  }

  #isTold(service: string): boolean {
    const shortAt = this.#shortAt.get(service)
    return shortAt !== undefined && this.options.clock.now() - shortAt < TOLD_FOR
  }

  /** Replaces this box's told amounts by the present ones. */
  #updateTold(): void {
    this.#sums.own.clear()
    for (const [service, flows] of this.#own) {
      if (!this.#isTold(service)) continue
      for (const flow of largestOf(flows.values()))
        addToSum(this.#sums, keyOf({ service, ...flow }), [flow.running, flow.waiting])
    }
  }
}

function largestOf(flows: Iterable<FlowDemand>): FlowDemand[] {
  const all = [...flows]
  if (all.length <= MAX_TOLD_FLOWS) return all
  all.sort((left, right) => right.running + right.waiting - left.running - left.waiting)
  return all.slice(0, MAX_TOLD_FLOWS)
}

function keyOf({ service, organisation, urgency }: Flow): string {
  return `${urgency} ${service} ${organisation}`
}

function parseKey(key: string): Flow | undefined {
  const [urgency = '', service = ''] = key.split(' ', 2)
  const level = Number(urgency)
  if (!Number.isInteger(level) || level < 0 || level > LEAST_URGENT) return undefined
  const organisation = key.slice(urgency.length + service.length + 2)
  return { urgency: level, service, organisation }
}

function isValid([key, ...amounts]: SumEntry): boolean {
  return parseKey(key) !== undefined && amounts.every(amount => amount >= 0)
}
