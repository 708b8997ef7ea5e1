import {
  admitToRoom,
  createRoomQueue,
  removeFromRoom,
  takeRoomTurns,
  waitingCount,
  type Clock,
  type Milliseconds,
  type Random,
  type KnownRoom,
  type RoomQueue,
  type RoomRejection,
  type RoomRequest,
  type ServiceRoom,
  type Timer,
} from '@yewkeel/decisions'
import type { EventLog, GatewayMetrics } from '../types/ports.js'
import type { RoomDemand } from './roomDemand.js'
import type { UpstreamQuery } from './upstreamDirectory.js'

/** A request that asks for room at the upstreams of a service. */
export interface RoomSeeker extends RoomRequest {
  service: string
  query: UpstreamQuery
}

/** What became of a request that asked for room. */
export type RoomTurn =
  { kind: 'begins' } | { kind: 'left' } | ({ kind: 'rejected' } & RoomRejection)

export interface RoomAdmissionOptions {
  clock: Clock
  random: Random
  log: EventLog
  metrics: GatewayMetrics
  demand: RoomDemand
  /** Whether requests wait at the box at all. */
  isOn(): boolean
  /** No places: nothing is known. */
  roomOf(query: UpstreamQuery): ServiceRoom
  /** Age of what other boxes tell. */
  staleness(): Milliseconds
}

/** The requests of one service that wait at this box. */
interface ServiceQueue {
  queue: RoomQueue<RoomSeeker>
  /** The query of the latest request, for the room of those that wait. */
  query: UpstreamQuery
  wake: Timer | undefined
  wakesAt: Milliseconds
  isShort: boolean
  waitedAt: Milliseconds
}

/** What a look at the room of a service found. */
interface RoomLook {
  until: Milliseconds
  /** Requests that this box may send until then. */
  left: number
}

/** Free part of the places above which a request is sent without a look at the others. */
const PLENTY = 0.25
/** A look at the room counts for this long: what other boxes tell is older anyway. */
const LOOK_INTERVAL: Milliseconds = 50
/** Changes of room within this time wake the queue once. */
const WAKE_DELAY: Milliseconds = 2
/** Room is reported as back after no request has waited for this time. */
const BACK_AFTER: Milliseconds = 5_000
const BEGINS: RoomTurn = { kind: 'begins' }

/** Lets requests to upstreams wait at this box for room, the most urgent first. */
export class RoomAdmission {
  readonly #services = new Map<string, ServiceQueue>()
  /** Services whose room was plentiful, or unknown, at the last look. */
  readonly #lastLooks = new Map<string, RoomLook>()
  /** Ends the wait of each request that waits. */
  readonly #resolvers = new Map<RoomSeeker, (turn: RoomTurn) => void>()

  constructor(private readonly options: RoomAdmissionOptions) {}

  /** Whether requests wait at the box at all. */
  get isOn(): boolean {
    return this.options.isOn()
  }

  /** Waits for room, unless there is plenty or nothing is known of it. */
  enter(seeker: RoomSeeker): RoomTurn | Promise<RoomTurn> {
    const { roomOf, demand } = this.options
    if (!this.isOn) return BEGINS
    const { service } = seeker
    const known = this.#services.get(service)
    const isQuiet = !known || waitingCount(known.queue) === 0
    if (isQuiet && this.#takeFromLastLook(service)) return BEGINS
    const room = roomOf(seeker.query)
    const plentiful = room.places === 0 ? Infinity : room.free - PLENTY * room.places
    const isPlentiful = plentiful >= 0 && isQuiet && !demand.othersWait(service)
    if (room.places === 0 || isPlentiful) {
      this.#recordLook(service, plentiful)
      return BEGINS
    }
    return this.#admit(seeker, known ?? this.#open(seeker), room)
  }

  #takeFromLastLook(service: string): boolean {
    const look = this.#lastLooks.get(service)
    if (!look || look.left < 1 || look.until <= this.options.clock.now()) return false
    look.left--
    return true
  }

  #recordLook(service: string, plentiful: number): void {
    const until = this.options.clock.now() + LOOK_INTERVAL
    this.#lastLooks.set(service, { until, left: plentiful })
  }

  /** Removes a request that no longer waits for room. */
  leave(seeker: RoomSeeker): void {
    if (!this.#resolvers.has(seeker)) return
    removeFromRoom(this.#services.get(seeker.service)!.queue, seeker)
    this.#resolve(seeker, { kind: 'left' })
  }

  /** Room may have changed: of one service, or of all. */
  onRoomChange(service?: string): void {
    if (this.#resolvers.size === 0) return
    if (service === undefined)
      for (const name of this.#services.keys()) this.#wakeIn(name, WAKE_DELAY)
    else this.#wakeIn(service, WAKE_DELAY)
  }

  /** Number of requests that wait at this box, by service. */
  waiting(): Partial<Record<string, number>> {
    const counts: Partial<Record<string, number>> = {}
    for (const [service, { queue }] of this.#services) counts[service] = waitingCount(queue)
    return counts
  }

  #open({ service, query }: RoomSeeker): ServiceQueue {
    const opened: ServiceQueue = {
      queue: createRoomQueue(),
      query,
      wake: undefined,
      wakesAt: Infinity,
      isShort: false,
      waitedAt: -Infinity,
    }
    this.#services.set(service, opened)
    return opened
  }

  #admit(
    seeker: RoomSeeker,
    serviceQueue: ServiceQueue,
    room: ServiceRoom,
  ): RoomTurn | Promise<RoomTurn> {
    const { clock, random, demand, metrics } = this.options
    const { service } = seeker
    serviceQueue.query = { ...seeker.query, tried: [] }
    demand.markShort(service)
    const picture = this.#pictureOf(service, room)
    const admission = admitToRoom(serviceQueue.queue, seeker, picture, clock.now(), random)
    if (admission.kind === 'begins') return BEGINS
    this.#noteShort(service, serviceQueue, room)
    if (admission.kind === 'rejected') {
      metrics.count('roomRejections', 'line-too-long')
      return admission
    }
    demand.add(seeker, 'waiting', 1)
    this.#wakeIn(service, WAKE_DELAY)
    return new Promise(resolve => this.#resolvers.set(seeker, resolve))
  }

  #pictureOf(service: string, room: ServiceRoom): KnownRoom {
    const { demand, staleness } = this.options
    return { room, flows: demand.flowsOf(service), staleness: staleness() }
  }

  #wakeIn(service: string, delay: Milliseconds): void {
    const { clock } = this.options
    const known = this.#services.get(service)
    if (!known || waitingCount(known.queue) === 0) return
    const at = clock.now() + delay
    if (known.wakesAt <= at) return
    known.wake?.cancel()
    known.wakesAt = at
    known.wake = clock.after(delay, () => this.#takeTurns(service, known))
  }

  #takeTurns(service: string, known: ServiceQueue): void {
    known.wakesAt = Infinity
    const { clock, random, demand, metrics, roomOf } = this.options
    const room = roomOf(known.query)
    // Without knowledge of the room nothing is held back.
    if (room.places === 0) return this.#releaseAll(known)
    const picture = this.#pictureOf(service, room)
    demand.markShort(service)
    const turns = takeRoomTurns(known.queue, picture, clock.now(), random)
    for (const seeker of turns.begun) this.#resolve(seeker, BEGINS)
    for (const { request, rejection } of turns.rejected) {
      metrics.count('roomRejections', 'late')
      this.#resolve(request, { kind: 'rejected', ...rejection })
    }
    if (waitingCount(known.queue) > 0) this.#wakeIn(service, turns.nextIn)
  }

  #releaseAll({ queue }: ServiceQueue): void {
    for (const { requests } of queue.lines.values())
      for (const seeker of requests) this.#resolve(seeker, BEGINS)
    queue.lines.clear()
  }

  #resolve(seeker: RoomSeeker, turn: RoomTurn): void {
    const resolve = this.#resolvers.get(seeker)
    this.#resolvers.delete(seeker)
    this.options.demand.add(seeker, 'waiting', -1)
    resolve?.(turn)
  }

  #noteShort(service: string, known: ServiceQueue, room: ServiceRoom): void {
    const { clock, log } = this.options
    known.waitedAt = clock.now()
    if (known.isShort) return
    known.isShort = true
    const waiting = waitingCount(known.queue)
    log.event('room-short', { service, places: room.places, free: room.free, waiting })
    clock.after(BACK_AFTER, () => this.#checkBack(service, known))
  }

  #checkBack(service: string, known: ServiceQueue): void {
    const { clock, log, roomOf } = this.options
    const quietFor = clock.now() - known.waitedAt
    if (quietFor < BACK_AFTER) {
      clock.after(BACK_AFTER - quietFor, () => this.#checkBack(service, known))
      return
    }
    known.isShort = false
    const { places, free } = roomOf(known.query)
    log.event('room-enough', { service, places, free, waiting: waitingCount(known.queue) })
  }
}
