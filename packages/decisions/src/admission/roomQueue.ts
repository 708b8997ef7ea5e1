/**
 * The requests of one service that wait at this box for room: who begins, who waits, and who is
 * rejected. Each box serves its part of a flow, by its part of the requests that wait.
 */
import type { Milliseconds } from '../types/clock.js'
import type { Random } from '../types/random.js'
import type { RoomTicket } from './roomTicket.js'
import {
  createTicketLimits,
  isTicketServed,
  recordRejectedTicket,
  type TicketLimits,
} from './ticketLimits.js'
import {
  flowKey,
  planRoom,
  sumFlows,
  type FlowDemand,
  type FlowPlan,
  type RoomPicture,
} from './roomPlan.js'

/** What a box knows of a service's room, without what waits at this box. */
export type KnownRoom = Omit<RoomPicture, 'slack' | 'rejectedPart'>

/** A request that waits for room. */
export interface RoomRequest {
  /** 0 is the most urgent. */
  urgency: number
  organisation: string
  /** Its answer is in time if it begins by then. */
  beginBy: Milliseconds
  /** Its caller gives up if it comes back later. */
  returnBy: Milliseconds
  ticket: RoomTicket
}

/** Why a request is rejected, and when the caller may come back. */
export interface RoomRejection {
  expectedWait: Milliseconds
  retryAfter: Milliseconds
}

/** What becomes of a request that arrives. */
export type RoomAdmission =
  { kind: 'begins' } | { kind: 'waits' } | ({ kind: 'rejected' } & RoomRejection)

/** What becomes of the requests that wait. */
export interface RoomTurns<T extends RoomRequest> {
  begun: T[]
  rejected: { request: T; rejection: RoomRejection }[]
  /** Time until the next request may begin; infinite if none waits. */
  nextIn: Milliseconds
}

/** The requests of one flow, in order of arrival. */
interface RoomLine<T> {
  requests: T[]
  /** Requests that the flow's rate has allowed since the last one began; fractions count. */
  credit: number
  /** Credit at which the next request begins. */
  threshold: number
  /** Requests per second that this box sends of the flow, by the last plan. */
  rate: number
}

export interface RoomQueue<T extends RoomRequest> {
  lines: Map<string, RoomLine<T>>
  /** When the credits were last updated. */
  updatedAt: Milliseconds
  /** When the caller that was rejected last is to come back, by flow. */
  returns: Map<string, Milliseconds>
  /** Which tickets are served. */
  tickets: TicketLimits
  /** Mean time for which requests that arrive may wait. */
  slack: Milliseconds | undefined
  /** Part of the requests that were rejected of late. */
  rejectedPart: number
}

const SECOND: Milliseconds = 1_000
/** Least time after which a rejected caller comes back. */
const MIN_RETURN: Milliseconds = 300
/** Part of the time that requests have to begin, which the line of a saturated flow usually takes. */
const USUAL_LINE = 0.5
/** Part of its time left before whose end a caller comes back that would be told to come too late. */
const EARLY_RETURN = 0.5
/** Longest time after which it comes back: later, nothing is known of the load. */
const MAX_RETURN: Milliseconds = 4_000
/** Part by which the times of return are spread. */
const RETURN_SPREAD = 0.1
/** Places that must come free, on average, before the first request of a line begins at the latest. */
const MAX_THRESHOLD = 3
/** Longest time between two updates while requests wait: a rejection is told within this. */
const MAX_INTERVAL: Milliseconds = 15
/** Shortest time between two updates. */
const MIN_INTERVAL: Milliseconds = 2
/** Weight of a new sample in the means over requests. */
const SAMPLE_WEIGHT = 0.05

export function createRoomQueue<T extends RoomRequest>(): RoomQueue<T> {
  return {
    lines: new Map(),
    updatedAt: 0,
    returns: new Map(),
    slack: undefined,
    rejectedPart: 0,
    tickets: createTicketLimits(),
  }
}

/** Number of requests that wait at this box. */
export function waitingCount<T extends RoomRequest>({ lines }: RoomQueue<T>): number {
  let count = 0
  for (const { requests } of lines.values()) count += requests.length
  return count
}

/** The requests that wait at this box, by flow. */
export function waitingFlows<T extends RoomRequest>({ lines }: RoomQueue<T>): FlowDemand[] {
  const flows: FlowDemand[] = []
  for (const { requests } of lines.values()) {
    const [first] = requests
    if (!first) continue
    const { organisation, urgency } = first
    flows.push({ organisation, urgency, running: 0, waiting: requests.length })
  }
  return flows
}

/**
 * Decides on a request that arrives; one that waits joins the queue. The picture leaves out what
 * waits at this box.
 */
export function admitToRoom<T extends RoomRequest>(
  queue: RoomQueue<T>,
  request: T,
  picture: KnownRoom,
  now: Milliseconds,
  random: Random,
): RoomAdmission {
  updateCredits(queue, now)
  recordSlack(queue, request.beginBy - now)
  const line = lineOf(queue, request, random)
  line.requests.push(request)
  const plans = planWithOwn(queue, picture)
  const plan = plans.get(flowKey(request))!
  setRate(line, plan)
  const isFirst = line.requests.length === 1
  if (isFirst && plan.beginsAtOnce) {
    removeFromRoom(queue, request)
    recordDecision(queue, false)
    return { kind: 'begins' }
  }
  const expectedWait = expectedWaitAt(plan.waiting + Math.sqrt(plan.waiting), plan)
  const isServed = hasServedTicket(queue, request, plan, expectedWait, now)
  const isInTime = now + expectedWait <= request.beginBy
  if ((isServed && isInTime) || isRoomForAll(plans, picture)) return { kind: 'waits' }
  if (plan.isSaturated) recordRejectedTicket(queue.tickets, request.ticket, now)
  removeFromRoom(queue, request)
  return { kind: 'rejected', ...rejectionOf(queue, request, plan, expectedWait, now, random) }
}

/** Lets requests begin as far as room has come free, and rejects those that cannot be in time. */
export function takeRoomTurns<T extends RoomRequest>(
  queue: RoomQueue<T>,
  picture: KnownRoom,
  now: Milliseconds,
  random: Random,
): RoomTurns<T> {
  updateCredits(queue, now)
  const plans = planWithOwn(queue, picture)
  const turns: RoomTurns<T> = { begun: [], rejected: [], nextIn: Infinity }
  for (const [key, plan] of plans) {
    const line = queue.lines.get(key)
    if (!line) continue
    setRate(line, plan)
    if (!plan.beginsAtOnce && !isRoomForAll(plans, picture))
      rejectLate(queue, line, plan, turns, now, random)
    beginAllowed(queue, line, plan, turns)
    if (line.requests.length === 0) queue.lines.delete(key)
    else turns.nextIn = Math.min(turns.nextIn, timeToNext(line))
  }
  return turns
}

/** Removes a request whose caller or deadline is gone. */
export function removeFromRoom<T extends RoomRequest>(queue: RoomQueue<T>, request: T): boolean {
  const key = flowKey(request)
  const line = queue.lines.get(key)
  const index = line?.requests.indexOf(request) ?? -1
  if (!line || index < 0) return false
  line.requests.splice(index, 1)
  if (line.requests.length === 0) queue.lines.delete(key)
  return true
}

function lineOf<T extends RoomRequest>(
  queue: RoomQueue<T>,
  request: RoomRequest,
  random: Random,
): RoomLine<T> {
  const key = flowKey(request)
  const known = queue.lines.get(key)
  if (known) return known
  // Exponential, so that boxes which each get a fraction of a place don't all take it at once.
  const line: RoomLine<T> = {
    requests: [],
    credit: 0,
    threshold: Math.min(MAX_THRESHOLD, -Math.log(1 - random())),
    rate: 0,
  }
  queue.lines.set(key, line)
  return line
}

/** Plans with the requests that wait at this box added. */
function planWithOwn<T extends RoomRequest>(queue: RoomQueue<T>, picture: KnownRoom) {
  const { room, staleness } = picture
  const flows = sumFlows([...picture.flows, ...waitingFlows(queue)])
  const { slack = 0, rejectedPart } = queue
  return planRoom({ room, staleness, flows, slack, rejectedPart })
}

function recordSlack<T extends RoomRequest>(queue: RoomQueue<T>, sample: Milliseconds): void {
  const known = queue.slack ?? sample
  queue.slack = known + SAMPLE_WEIGHT * (Math.max(0, sample) - known)
}

function recordDecision<T extends RoomRequest>(queue: RoomQueue<T>, isRejected: boolean): void {
  queue.rejectedPart += SAMPLE_WEIGHT * (Number(isRejected) - queue.rejectedPart)
}

/** Whether the request is served by its ticket, so that repeating at once gains nothing. */
function hasServedTicket<T extends RoomRequest>(
  { tickets }: RoomQueue<T>,
  request: T,
  plan: FlowPlan,
  expectedWait: Milliseconds,
  now: Milliseconds,
): boolean {
  const usualWait = USUAL_LINE * Math.max(1, request.beginBy - now)
  const excess = expectedWait / usualWait - 1
  const isServed = isTicketServed(tickets, flowKey(request), request.ticket, excess, now)
  return isServed || !plan.isSaturated
}

/** Whether the free places suffice for all that wait. */
function isRoomForAll(plans: ReadonlyMap<string, FlowPlan>, { room }: KnownRoom): boolean {
  if (room.free < 1) return false
  let waiting = 0
  for (const plan of plans.values()) waiting += plan.waiting
  return waiting <= room.free
}

function updateCredits<T extends RoomRequest>(queue: RoomQueue<T>, now: Milliseconds): void {
  const elapsed = Math.max(0, now - queue.updatedAt)
  for (const line of queue.lines.values()) line.credit += (line.rate * elapsed) / SECOND
  queue.updatedAt = now
}

function setRate<T>(line: RoomLine<T>, plan: FlowPlan): void {
  line.rate = (plan.sendRate * line.requests.length) / plan.waiting
}

function beginAllowed<T extends RoomRequest>(
  queue: RoomQueue<T>,
  line: RoomLine<T>,
  plan: FlowPlan,
  turns: RoomTurns<T>,
): void {
  for (let begun = 0; line.requests.length > 0; begun++) {
    const isOpen = plan.beginsAtOnce || begun < plan.openPlaces
    if (!isOpen && line.credit < line.threshold) return
    line.credit = Math.max(0, line.credit - line.threshold)
    line.threshold = 1
    turns.begun.push(line.requests.shift()!)
    recordDecision(queue, false)
  }
}

/** Rejects from the end of the line, so that those before them can still be in time. */
function rejectLate<T extends RoomRequest>(
  queue: RoomQueue<T>,
  line: RoomLine<T>,
  plan: FlowPlan,
  turns: RoomTurns<T>,
  now: Milliseconds,
  random: Random,
): void {
  const own = line.requests.length
  for (let index = own - 1; index >= 0; index--) {
    const request = line.requests[index]!
    const expectedWait = expectedWaitAt((plan.waiting * index) / own, plan)
    if (now + expectedWait <= request.beginBy) continue
    line.requests.splice(index, 1)
    const rejection = rejectionOf(queue, request, plan, expectedWait, now, random)
    turns.rejected.push({ request, rejection })
  }
}

/** Expected wait of the request at this position of its flow, over all boxes. */
function expectedWaitAt(position: number, { delay, serviceRate }: FlowPlan): Milliseconds {
  if (position === 0) return delay
  return delay + (position * SECOND) / serviceRate
}

/**
 * Callers come back one after another, at the rate at which this box's part of the flow is served:
 * those of an organisation above its part, or of low urgency, later than others.
 */
function rejectionOf<T extends RoomRequest>(
  queue: RoomQueue<T>,
  request: T,
  plan: FlowPlan,
  expectedWait: Milliseconds,
  now: Milliseconds,
  random: Random,
): RoomRejection {
  recordDecision(queue, true)
  const key = flowKey(request)
  const own = (queue.lines.get(key)?.requests.length ?? 0) + 1
  const interval = (SECOND * Math.max(own, plan.waiting)) / (plan.serviceRate * own)
  const roomIn = expectedWait - (request.beginBy - now)
  const inTurn = (queue.returns.get(key) ?? 0) + interval - now
  const returnIn = Math.max(
    MIN_RETURN,
    request.ticket.renewedIn,
    Math.min(MAX_RETURN, Math.max(roomIn, inTurn)),
  )
  queue.returns.set(key, now + returnIn)
  const latest = Math.max(MIN_RETURN, (request.returnBy - now) * (1 - EARLY_RETURN * random()))
  const retryAfter = Math.min(latest, returnIn * (1 + RETURN_SPREAD * random()))
  return { expectedWait, retryAfter }
}

function timeToNext<T>({ credit, threshold, rate }: RoomLine<T>): Milliseconds {
  const time = (Math.max(0, threshold - credit) * SECOND) / rate
  return Math.min(MAX_INTERVAL, Math.max(MIN_INTERVAL, time))
}
