/**
 * Divides the room of a service among the flows that want it, over all boxes. Load that it answers:
 * more requests than places, of unequal urgency or from unequally active organisations.
 *
 * Every box computes the plan for itself from what it knows of the others. Since that is stale, the
 * plan is a rate at which all boxes together send, and never a place that several could take.
 */
import type { ServiceRoom } from '../room/serviceRoom.js'
import type { Milliseconds } from '../types/clock.js'
import { maxMinShares } from './maxMinShares.js'

/** Requests of one organisation and urgency. */
export interface FlowDemand {
  organisation: string
  /** 0 is the most urgent. */
  urgency: number
  /** Requests at upstreams. */
  running: number
  /** Requests that wait at boxes. */
  waiting: number
}

/** What a box knows of a service's room and of those who want it, over all boxes. */
export interface RoomPicture {
  room: ServiceRoom
  flows: readonly FlowDemand[]
  /** Age of what is known of other boxes; 0 if there are none, so that all is known. */
  staleness: Milliseconds
  /** Time for which a usual request may wait and still be in time. */
  slack: Milliseconds
  /** Part of the requests that were rejected of late, 0 to 1. */
  rejectedPart: number
}

/** What one flow gets of the room, over all boxes. */
export interface FlowPlan extends FlowDemand {
  /** Free places suffice for all that wait and are served no later. */
  beginsAtOnce: boolean
  /** Requests per second that may be sent now; 0 if all is known. */
  sendRate: number
  /** Requests that may begin now, if all is known. */
  openPlaces: number
  /** Requests per second that are served in the long run. */
  serviceRate: number
  /** It wants more than its part of the room. */
  isSaturated: boolean
  /** Time until a request of the flow begins that no other of it precedes. */
  delay: Milliseconds
}

/** Flows that are served together, after all flows of earlier tiers. */
interface Tier {
  flows: FlowDemand[]
  shares: number[]
  /** It wants more than its part; its organisations get equal parts. */
  isSaturated: boolean
  /** Others of the same urgency are within their part. */
  isBesideContent: boolean
}

/** What earlier tiers take. */
interface Taken {
  demand: number
  running: number
  waiting: number
}

const SECOND: Milliseconds = 1_000
/** Free places are handed out over this many times the staleness: faster, boxes would overshoot. */
const CORRECTION_STALENESS = 2
/** Corrects within this time at the soonest: a single place that comes free is not chased. */
const MIN_CORRECTION: Milliseconds = 50
/**
 * Places that a request takes which waits at one upstream while others have free places: less than
 * one, since it will begin sooner than its place shows.
 */
const QUEUED_WEIGHT = 0.4
/** Part of the time that a request may wait, for which upstreams may be given more than they run. */
const QUEUED_SLACK = 0.25
/** Fewer are sent beyond the places for each request that waits at boxes: its turn is due first. */
const LINE_WEIGHT = 0.8
/**
 * Part of those that flows get which want more than their part, so that others of the same urgency
 * don't wait at upstreams behind them.
 */
const SATURATED_BUFFER = 0.5
/** Nothing is sent beyond the places once this part is rejected: it would only take others' turns. */
const MAX_REJECTED = 0.2
/** Standard deviations of urgent arrivals for which places are kept free. */
const RESERVE_DEVIATIONS = 1
/** Of all places, the part that may be kept free, so that nine of ten stay in use. */
const MAX_RESERVED = 0.04

/** Identifies a flow within a service. */
export function flowKey({ urgency, organisation }: Pick<FlowDemand, 'urgency' | 'organisation'>) {
  return `${urgency} ${organisation}`
}

/** Adds up the demand of equal flows. */
export function sumFlows(flows: readonly FlowDemand[]): FlowDemand[] {
  const sums = new Map<string, FlowDemand>()
  for (const flow of flows) {
    const { organisation, urgency, running, waiting } = flow
    const key = flowKey(flow)
    const sum = sums.get(key)
    if (!sum) sums.set(key, { organisation, urgency, running, waiting })
    else {
      sum.running += running
      sum.waiting += waiting
    }
  }
  return [...sums.values()]
}

/** Plans for each flow, by its key. */
export function planRoom(picture: RoomPicture): Map<string, FlowPlan> {
  const plans = new Map<string, FlowPlan>()
  const context = new PlanContext(picture)
  const taken: Taken = { demand: 0, running: 0, waiting: 0 }
  for (const flows of byUrgency(picture.flows))
    for (const tier of tiersOf(flows, context.capacityAfter(taken))) {
      for (const plan of planTier(tier, taken, context)) plans.set(flowKey(plan), plan)
      addTier(taken, tier)
    }
  return plans
}

/** The figures of a picture that all tiers share. */
class PlanContext {
  readonly room: ServiceRoom
  /** Free places; below 0 where more requests were sent than there are places. */
  readonly free: number
  readonly correction: Milliseconds
  /** No other box takes places. */
  readonly isExact: boolean
  /** Requests per second that one place serves. */
  readonly placeRate: number
  /** Time that a request waits which is sent now, beside all that wait at upstreams. */
  readonly queuedFor: Milliseconds
  readonly #running: number
  readonly #buffer: number
  /** From 1, while all are served, to 0. */
  readonly #acceptance: number

  constructor({ room, flows, staleness, slack, rejectedPart }: RoomPicture) {
    this.room = room
    this.isExact = staleness === 0
    this.correction = Math.max(MIN_CORRECTION, CORRECTION_STALENESS * staleness)
    this.placeRate = room.freedPerSecond / Math.max(1, room.places - Math.max(0, room.free))
    this.#running = flows.reduce((sum, flow) => sum + flow.running, 0)
    const excess = Math.max(0, room.free + this.#running - room.places)
    const endRate = this.#endRate
    this.queuedFor = endRate === 0 ? 0 : (excess * SECOND) / endRate
    this.free = room.free - QUEUED_WEIGHT * excess
    const queuedTime = this.isExact ? 0 : Math.min(this.correction, QUEUED_SLACK * slack)
    this.#buffer = (queuedTime * endRate) / SECOND
    this.#acceptance = Math.max(0, 1 - rejectedPart / MAX_REJECTED)
  }

  /** Requests that end per second, also those that upstreams have not told of. */
  get #endRate(): number {
    const { places, freedPerSecond } = this.room
    return Math.max(freedPerSecond, Math.min(places, this.#running) * this.placeRate)
  }

  /**
   * Requests that upstreams may be given beyond their places, with so many waiting at boxes: those
   * that they serve until the boxes see it, so that no place is unused meanwhile, as far as they are
   * still in time.
   */
  bufferBeside(waiting: number, isBesideContent: boolean): number {
    const wanted = (isBesideContent ? SATURATED_BUFFER : 1) * this.#acceptance
    // Places that change hands before the boxes see it can't be kept for others anyway.
    const handovers = Math.min(1, (this.correction * this.placeRate) / SECOND)
    return Math.max(0, Math.max(wanted, handovers) * this.#buffer - LINE_WEIGHT * waiting)
  }

  /** Places kept free for the flows that are served earlier. */
  reserveFor({ running }: Taken): number {
    const { places, freedPerSecond } = this.room
    const arrivals = running * this.placeRate
    if (arrivals === 0) return 0
    const untilKnown = (arrivals * this.correction) / SECOND
    const wanted = arrivals / freedPerSecond + RESERVE_DEVIATIONS * Math.sqrt(untilKnown)
    return Math.min(MAX_RESERVED * places, wanted)
  }

  /** Places that flows get after those that are served earlier. */
  capacityAfter(taken: Taken): number {
    const usable = this.#running + this.free - this.reserveFor(taken)
    return Math.max(0, usable - taken.demand)
  }
}

function byUrgency(flows: readonly FlowDemand[]): FlowDemand[][] {
  const levels: FlowDemand[][] = []
  for (const flow of flows) (levels[flow.urgency] ??= []).push(flow)
  return levels.filter(level => level !== undefined)
}

/** Flows within their part come before those that want more. */
function tiersOf(flows: readonly FlowDemand[], capacity: number): Tier[] {
  const shares = maxMinShares(flows.map(demandOf), capacity)
  const content: Tier = { flows: [], shares: [], isSaturated: false, isBesideContent: false }
  const saturated: Tier = { flows: [], shares: [], isSaturated: true, isBesideContent: false }
  flows.forEach((flow, index) => {
    const tier = shares[index]! < demandOf(flow) ? saturated : content
    tier.flows.push(flow)
    tier.shares.push(shares[index]!)
  })
  saturated.isBesideContent = content.flows.length > 0
  return [content, saturated].filter(tier => tier.flows.length > 0)
}

function planTier(tier: Tier, taken: Taken, context: PlanContext): FlowPlan[] {
  const { room, correction, placeRate } = context
  const waiting = sumOf(tier.flows.map(flow => flow.waiting))
  const buffer = context.bufferBeside(taken.waiting + waiting, tier.isBesideContent)
  const spare = context.free + buffer - context.reserveFor(taken)
  const servedEarlier = taken.running * placeRate
  const serviceRate = serviceRateAfter(taken, context)
  const urgentRate = servedEarlier + (taken.waiting * SECOND) / correction
  const sendRate = Math.max(0, room.freedPerSecond - urgentRate + (spare * SECOND) / correction)
  const toSend = partsOf(sendWeights(tier, context))
  const toServe = partsOf(tier.isSaturated ? tier.shares : tier.flows.map(flow => flow.waiting))
  const open = context.isExact ? openPlacesOf(tier, spare - taken.waiting) : undefined
  return tier.flows.map(({ organisation, urgency, running, waiting: own }, index) => ({
    organisation,
    urgency,
    running,
    waiting: own,
    openPlaces: open?.[index] ?? 0,
    isSaturated: tier.isSaturated,
    beginsAtOnce: spare >= taken.waiting + waiting,
    sendRate: open ? 0 : sendRate * toSend[index]!,
    serviceRate: serviceRate * toServe[index]!,
    delay: context.queuedFor + (spare >= 0 ? 0 : (-spare * SECOND) / serviceRate),
  }))
}

/**
 * Places per second for those that are served after others. Fewer of those may come than run now,
 * by a standard deviation, less those that wait already.
 */
function serviceRateAfter({ running, waiting }: Taken, { room, placeRate }: PlanContext): number {
  const fewer = Math.max(0, Math.sqrt(running) - waiting)
  return Math.max(0, room.freedPerSecond - (running - fewer) * placeRate)
}

/** Hands out free places one by one, to the flow that lacks most of its share. */
function openPlacesOf({ flows, shares }: Tier, spare: number): number[] {
  const open = flows.map(() => 0)
  // A reserve of a part of a place keeps no place free.
  for (let left = Math.round(spare); left > 0; left--) {
    let next = -1
    let most = -Infinity
    flows.forEach(({ running, waiting }, index) => {
      const missing = shares[index]! - running - open[index]!
      if (open[index]! >= waiting || missing <= most) return
      next = index
      most = missing
    })
    if (next < 0) break
    open[next]!++
  }
  return open
}

/** Steers the running requests of a saturated flow towards its share. */
function sendWeights({ flows, shares, isSaturated }: Tier, { placeRate, correction }: PlanContext) {
  return flows.map((flow, index) => {
    if (!isSaturated) return flow.waiting
    const missing = shares[index]! - flow.running
    return Math.max(0, flow.running * placeRate + (missing * SECOND) / correction)
  })
}

function addTier(taken: Taken, { flows }: Tier): void {
  for (const flow of flows) {
    taken.demand += demandOf(flow)
    taken.running += flow.running
    taken.waiting += flow.waiting
  }
}

function demandOf({ running, waiting }: FlowDemand): number {
  return running + waiting
}

/** Weights as parts of their sum; equal parts where all are 0. */
function partsOf(weights: readonly number[]): number[] {
  const sum = sumOf(weights)
  return weights.map(weight => (sum > 0 ? weight / sum : 1 / weights.length))
}

function sumOf(amounts: readonly number[]): number {
  return amounts.reduce((sum, amount) => sum + amount, 0)
}
