import {
  priceOfPlace,
  recordServed,
  requestsAhead,
  type Milliseconds,
  type PrefillWork,
  type QueuedRequest,
  type WaitQueue,
} from '@yewkeel/decisions'
import type { RoomNeed } from '../tasks/upstreamRooms.js'
import type { UpstreamQuery } from '../tasks/upstreamDirectory.js'
import type { GatewayServices } from '../types/services.js'
import type { Upstream } from '../types/upstream.js'
import type { AdmittedRequest } from './admitCaller.js'
import { RoomWait, type RoomWaitFields } from './roomWait.js'

export interface UpstreamSearchOptions {
  services: GatewayServices
  admitted: AdmittedRequest
  /** Runs of upstreams to exclude; grows with each attempt. */
  tried: readonly string[]
  /** Versions that the request may use. */
  admits(version: string): boolean
  /** Consecutive upstream crashes attributed to this request. */
  crashes(): number
  isOver(): boolean
}

/** Maximum wait for an upstream, as a fraction of the route's latency objective. */
const MAX_WAIT_FRACTION = 0.2
const POLL_INTERVAL: Milliseconds = 12
/** Retry-After of a 503 while upstreams accept requests, and its minimum otherwise. */
const MIN_RETRY_AFTER: Milliseconds = 300
const LEAST_URGENT = 9
const ROUTE_PRIORITY_LEVELS = 3

/** Selects the upstream for each attempt of one request. */
export class UpstreamSearch {
  readonly #waiter: QueuedRequest
  #waitStartedAt: Milliseconds
  /** The prompt of the last search. */
  #prompt: PrefillWork | undefined
  readonly #room: RoomWait

  constructor(private readonly options: UpstreamSearchOptions) {
    const { services, admitted } = options
    const { organisation, route } = admitted
    this.#waitStartedAt = services.clock.now()
    this.#waiter = {
      urgency: urgencyOf(organisation?.priority ?? 0, route.priority),
      organisation: organisation?.name ?? '',
    }
    this.#room = new RoomWait(services, admitted, this.#waiter)
  }

  /** From 0, the most urgent, to 9. */
  get urgency(): number {
    return this.#waiter.urgency
  }

  /** Grants the full wait again. */
  restartWait(): void {
    this.#waitStartedAt = this.options.services.clock.now()
  }

  /**
   * Selects an upstream, and waits for one briefly unless none could accept the request in that
   * time.
   */
  async find(prompt?: PrefillWork): Promise<Upstream | undefined> {
    let query = this.#query(prompt)
    if (!this.#room.mayEnter) {
      const { clock } = this.options.services
      const enteredAt = clock.now()
      const hasRoom = await this.#room.enter(query)
      if (!hasRoom || this.options.isOver()) return undefined
      if (clock.now() > enteredAt) {
        this.restartWait()
        query = this.#query(prompt)
      }
    }
    const upstream = await this.#findUpstream(prompt, query)
    if (upstream && !this.options.isOver()) this.#room.begin()
    return upstream
  }

  /** The request takes no place any more, and waits for none. */
  endRun(): void {
    this.#room.end()
  }

  /** What the log line of the request tells of its wait for room. */
  get roomWaitFields(): RoomWaitFields {
    return this.#room.logFields
  }

  async #findUpstream(
    prompt: PrefillWork | undefined,
    query: UpstreamQuery,
  ): Promise<Upstream | undefined> {
    const { services, admitted } = this.options
    this.#prompt = prompt
    if (prompt && this.options.tried.length === 0)
      services.rooms.recordRequest(admitted.service, prompt)
    const queue = services.upstreams.queueOf(admitted.service)
    queue.requests.add(this.#waiter)
    try {
      return await this.#awaitUpstream(queue, query)
    } finally {
      queue.requests.delete(this.#waiter)
    }
  }

  async #awaitUpstream(queue: WaitQueue, query: UpstreamQuery): Promise<Upstream | undefined> {
    const { services, admitted, isOver } = this.options
    const { clock, upstreams } = services
    const waitEndsAt = this.#waitStartedAt + MAX_WAIT_FRACTION * admitted.route.latencyObjective
    for (;;) {
      query.queuedAhead = requestsAhead(queue, this.#waiter)
      const upstream = upstreams.pick(query)
      if (upstream && upstreams.isRateLimited(upstream)) recordServed(queue, this.#waiter)
      if (upstream) upstreams.recordSend(upstream)
      if (
        upstream ||
        isOver() ||
        clock.now() >= waitEndsAt ||
        !upstreams.canSendBefore(query, waitEndsAt)
      )
        return upstream
      await new Promise<void>(resolve => clock.after(POLL_INTERVAL, resolve))
    }
  }

  /**
   * Estimated time to the first token of an answer to the prompt, with the last upstream eligible
   * again. Infinite if none accepts it.
   */
  estimateTimeToFirstToken(prompt: PrefillWork): Milliseconds {
    const tried = this.options.tried.slice(0, -1)
    return this.options.services.upstreams.beginsWithin({ ...this.#query(prompt), tried, prompt })
  }

  /** Expected time of a call at an upstream that has not been tried; undefined if not known. */
  expectedCallTime(): Milliseconds | undefined {
    return this.options.services.upstreams.expectedCallTime(this.#query(undefined))
  }

  /** What a place at the service's upstreams costs others while a model answers, in ms of their waiting. */
  priceOfPlace(model: string): Milliseconds {
    const { upstreams } = this.options.services
    const heldFor = upstreams.holdingTimes.of(this.options.admitted.service, model) ?? 0
    return priceOfPlace(upstreams.toldRoomOf(this.#query(undefined)), heldFor)
  }

  /** Whether an upstream that has not been tried can take the request now. */
  hasUpstream(prompt?: PrefillWork): boolean {
    return this.options.services.upstreams.pick(this.#query(prompt)) !== undefined
  }

  /** Retry-After for a rejected caller, with random jitter while upstreams restrict their rate. */
  retryAfter(): Milliseconds {
    if (this.#room.retryAfter !== undefined) return this.#room.retryAfter
    const { upstreams, random } = this.options.services
    const reopensIn = upstreams.availableIn({ ...this.#query(undefined), tried: [] })
    if (reopensIn === 0) return MIN_RETRY_AFTER
    return Math.max(MIN_RETRY_AFTER, reopensIn) * (1 + random())
  }

  /** What the last searched attempt needs of an upstream's room. */
  get roomNeed(): RoomNeed {
    return this.#needFor(this.#prompt)
  }

  #needFor(prompt: PrefillWork | undefined): RoomNeed {
    const { route, fields } = this.options.admitted
    return {
      kind: `${route.name} ${prompt?.model ?? ''}`,
      isStream: route.kind === 'streaming',
      fields,
      prompt,
      urgency: this.urgency,
    }
  }

  #query(prompt: PrefillWork | undefined): UpstreamQuery {
    const { services, admitted, tried, admits, crashes } = this.options
    const { service, request } = admitted
    const trial = services.rollouts.trialOf(service)
    return {
      service,
      route: admitted.route.name,
      admits,
      ...(trial && { trial }),
      tried,
      ...(prompt && { prompt }),
      bodyBytes: request.body.length,
      connectionLimit: services.connectionLimit(service),
      crashes: crashes(),
      need: this.#needFor(prompt),
    }
  }
}

/** Orders by the organisation's priority, then by the route's. */
function urgencyOf(organisation: number, route: number): number {
  return Math.min(
    LEAST_URGENT,
    organisation * ROUTE_PRIORITY_LEVELS + Math.min(route, ROUTE_PRIORITY_LEVELS - 1),
  )
}
