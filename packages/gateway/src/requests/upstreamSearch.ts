import {
  noteServed,
  waitersAhead,
  type Milliseconds,
  type PromptWork,
  type Waiter,
  type WaitingLine,
} from '@yewkeel/decisions'
import type { PickQuery } from '../tasks/upstreamDirectory.js'
import type { GatewayServices } from '../types/services.js'
import type { Upstream } from '../types/upstream.js'
import type { AdmittedRequest } from './admitCaller.js'

export interface UpstreamSearchOptions {
  services: GatewayServices
  admitted: AdmittedRequest
  /** Runs that are not tried again; grows with the tries. */
  tried: readonly string[]
  /** Versions that the request may run on. */
  admits(version: string): boolean
  /** Upstreams that ended under the request in a row. */
  crashes(): number
  isOver(): boolean
}

/** How long a request waits for an upstream that takes it, as a share of its latency objective. */
const WAIT_SHARE = 0.2
const LOOK_AGAIN: Milliseconds = 12
/** When a refused caller is told to come back, where upstreams take requests. */
const COME_BACK_AFTER: Milliseconds = 300
const LEAST_URGENT = 9
const ROUTE_PRIORITIES = 3

/** Looks for the upstream of each try of one request. */
export class UpstreamSearch {
  readonly #waiter: Waiter
  /** The request's wait counts from then on. */
  #waitsFrom: Milliseconds

  constructor(private readonly options: UpstreamSearchOptions) {
    const { services, admitted } = options
    const { organisation, route } = admitted
    this.#waitsFrom = services.clock.now()
    this.#waiter = {
      urgency: urgencyOf(organisation?.priority ?? 0, route.priority),
      organisation: organisation?.name ?? '',
    }
  }

  /** 0 to 9; 0 is the most urgent. */
  get urgency(): number {
    return this.#waiter.urgency
  }

  /** The request may wait again as long as at its beginning. */
  waitAnew(): void {
    this.#waitsFrom = this.options.services.clock.now()
  }

  /** An upstream that takes the request now, or within a short wait. Nothing is waited for where none could take it. */
  async find(prompt?: PromptWork): Promise<Upstream | undefined> {
    const { services, admitted } = this.options
    const line = services.upstreams.lineOf(admitted.service)
    line.waiters.add(this.#waiter)
    try {
      return await this.#await(line, this.#query(prompt))
    } finally {
      line.waiters.delete(this.#waiter)
    }
  }

  async #await(line: WaitingLine, query: PickQuery): Promise<Upstream | undefined> {
    const { services, admitted, isOver } = this.options
    const { clock, upstreams } = services
    const until = this.#waitsFrom + WAIT_SHARE * admitted.route.latencyObjective
    for (;;) {
      query.ahead = waitersAhead(line, this.#waiter)
      const found = upstreams.pick(query)
      if (found && upstreams.isHeld(found)) noteServed(line, this.#waiter)
      if (found) upstreams.noteChosen(found)
      if (found || isOver() || clock.now() >= until || !upstreams.couldTake(query, until))
        return found
      await new Promise<void>(resolve => clock.after(LOOK_AGAIN, resolve))
    }
  }

  /** How long it would take until an answer to the prompt begins, the last upstream included. Infinite when none takes it. */
  beginsWithin(prompt: PromptWork): Milliseconds {
    const tried = this.options.tried.slice(0, -1)
    return this.options.services.upstreams.beginsWithin({ ...this.#query(prompt), tried, prompt })
  }

  /** When a refused caller is to come back. Drawn apart where upstreams hold requests back, so that those refused together don't return together. */
  comeBackAfter(): Milliseconds {
    const { upstreams, random } = this.options.services
    const reopensIn = upstreams.reopensIn({ ...this.#query(undefined), tried: [] })
    if (reopensIn === 0) return COME_BACK_AFTER
    return Math.max(COME_BACK_AFTER, reopensIn) * (1 + random())
  }

  #query(prompt: PromptWork | undefined): PickQuery {
    const { services, admitted, tried, admits, crashes } = this.options
    const { service, request } = admitted
    const trial = services.rollouts.trialOf(service)
    return {
      service,
      admits,
      ...(trial && { trial }),
      tried,
      ...(prompt && { prompt }),
      bodyBytes: request.body.length,
      channelLimit: services.channelLimit(service),
      crashes: crashes(),
    }
  }
}

/** An organisation's priority counts before that of the route. */
function urgencyOf(organisation: number, route: number): number {
  return Math.min(
    LEAST_URGENT,
    organisation * ROUTE_PRIORITIES + Math.min(route, ROUTE_PRIORITIES - 1),
  )
}
