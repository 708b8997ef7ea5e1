import {
  hashText,
  roomTicketAt,
  type Milliseconds,
  type QueuedRequest,
  type RoomTicket,
} from '@yewkeel/decisions'
import type { RoomSeeker, RoomTurn } from '../tasks/roomAdmission.js'
import type { UpstreamQuery } from '../tasks/upstreamDirectory.js'
import type { GatewayServices } from '../types/services.js'
import type { AdmittedRequest } from './admitCaller.js'

/** What the log line of a request tells of its wait for room. */
export interface RoomWaitFields {
  /** Time for which it waited at the box. */
  waited?: Milliseconds
  /** Expected wait for which it was rejected. */
  expectedWait?: Milliseconds
}

/** Bytes of a body that tell requests apart. */
const HASHED_BODY_BYTES = 4_096

/** The wait of one request for room at the upstreams, and the place that it takes there. */
export class RoomWait {
  /** Retry-After, if the request was rejected for want of room. */
  retryAfter: Milliseconds | undefined
  readonly logFields: RoomWaitFields = {}
  #isAdmitted = false
  #seeker: RoomSeeker | undefined
  #enteredAt: Milliseconds = 0
  #beganAt: Milliseconds | undefined
  /** It counts in the demand of this box. */
  #isCounted = false

  constructor(
    private readonly services: GatewayServices,
    private readonly admitted: AdmittedRequest,
    private readonly waiter: QueuedRequest,
  ) {}

  /** Whether the request need not ask for room: it has begun before, or none waits at this box. */
  get mayEnter(): boolean {
    return this.#isAdmitted || !this.services.roomQueue.isOn
  }

  /**
   * Waits for room. Returns whether the request may be sent; later attempts of a request that was
   * sent don't wait again.
   */
  async enter(query: UpstreamQuery): Promise<boolean> {
    if (this.mayEnter) return true
    const { clock, roomQueue } = this.services
    this.#enteredAt = clock.now()
    this.#seeker = this.#createSeeker(query)
    const turn = await roomQueue.enter(this.#seeker)
    this.#seeker = undefined
    this.#record(turn)
    return turn.kind === 'begins'
  }

  /** Counts the request as one that takes a place. */
  begin(): void {
    this.end()
    const { clock, roomQueue, demand } = this.services
    this.#beganAt = clock.now()
    this.#isCounted = roomQueue.isOn
    if (this.#isCounted) demand.add(this.#flow, 'running', 1)
  }

  /** The request takes no place any more, and waits for none. */
  end(): void {
    const { clock, roomQueue, demand, upstreams } = this.services
    if (this.#seeker) {
      this.#recordWait()
      roomQueue.leave(this.#seeker)
    }
    if (this.#beganAt === undefined) return
    const { service } = this.admitted
    upstreams.holdingTimes.record(service, clock.now() - this.#beganAt)
    this.#beganAt = undefined
    if (this.#isCounted) demand.add(this.#flow, 'running', -1)
    roomQueue.onRoomChange(service)
  }

  get #flow() {
    const { urgency, organisation } = this.waiter
    return { service: this.admitted.service, urgency, organisation }
  }

  #recordWait(): void {
    const waited = this.services.clock.now() - this.#enteredAt
    if (waited > 0) this.logFields.waited = Math.round(waited)
  }

  #record(turn: RoomTurn): void {
    if (turn.kind !== 'left') this.#recordWait()
    if (turn.kind === 'begins') this.#isAdmitted = true
    if (turn.kind !== 'rejected') return
    this.retryAfter = turn.retryAfter
    this.logFields.expectedWait = Math.round(
      Math.min(turn.expectedWait, this.admitted.route.timeout),
    )
  }

  #createSeeker(query: UpstreamQuery): RoomSeeker {
    const ticket = () => this.#ticket()
    return {
      ...this.#flow,
      query,
      ...this.#times(query),
      get ticket() {
        return ticket()
      },
    }
  }

  /** Until when an answer can begin in time, or end in time if the caller waits for its end. */
  #times({ prompt }: UpstreamQuery): Pick<RoomSeeker, 'beginBy' | 'returnBy'> {
    const { admitted, services } = this
    const { request, route, deadline, service } = admitted
    const duration = prompt?.prefillTime ?? services.upstreams.holdingTimes.of(service) ?? 0
    const returnBy = deadline - duration
    const beginBy = request.receivedAt + route.latencyObjective - duration
    // What cannot be in time anyway is still worth an answer by its deadline.
    const isPossible = beginBy > request.receivedAt
    return { beginBy: isPossible ? Math.min(beginBy, returnBy) : returnBy, returnBy }
  }

  /** Requests are told apart by what callers repeat unchanged; without a body by their attempt. */
  #ticket(): RoomTicket {
    const { request, fields } = this.admitted
    const { body, host, target } = request
    const text = body.length === 0 ? fields.id : body.toString('latin1', 0, HASHED_BODY_BYTES)
    const hash = hashText(`${host} ${target} ${fields.key ?? ''} ${body.length} ${text}`)
    return roomTicketAt(hash, this.services.clock.wallTime())
  }
}
