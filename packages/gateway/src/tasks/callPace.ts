import {
  createLearnedSlowness,
  expectedPace,
  expectedTime,
  recordCallTime,
  othersLoadAt,
  recordSlowness,
  slownessAt,
  turnsAhead,
  usualTimeOf,
  type CallTimes,
  type Clock,
  type Milliseconds,
} from '@yewkeel/decisions'
import type { EventLog } from '../types/ports.js'
import type { Upstream } from '../types/upstream.js'
import { TOLD_LOAD_LIFETIME } from './toldLoads.js'

export interface CallPaceOptions {
  clock: Clock
  log: EventLog
  /** Whether told paces are used. */
  isOn(): boolean
}

/** A call sent to an upstream, from dispatch to its answer. */
export interface CallTimer {
  /** Time until the answer is expected at the pace told now; undefined if none was told of late. */
  dueIn(): Milliseconds | undefined
  /** Records the complete answer, after the load in its head was recorded. */
  recordAnswer(): void
}

/** Most calls take at most this multiple of the expected time. */
const TIME_SPREAD = 1.5

/** Whether an upstream counts as slow for good, and since when. */
interface Belief {
  isSlow: boolean
  since: Milliseconds
}

/** From this factor, slowness times usual pace, an upstream counts as slow for good ... */
const SLOW_FACTOR = 1.5
/** ... until it falls below this one. */
const USUAL_FACTOR = 1.25
/** Samples before an upstream can count as slow. */
const MIN_SAMPLES = 30
/** A change is logged at most this often for one upstream. */
const MIN_BELIEF_TIME: Milliseconds = 30_000

/** Expected times of calls: what upstreams are for good, times the pace that they tell. */
export class CallPace {
  readonly #times: CallTimes = new Map()
  /** What was last logged of each upstream. */
  readonly #beliefs = new WeakMap<Upstream, Belief>()

  constructor(private readonly options: CallPaceOptions) {}

  /** Whether any of the upstreams tells its pace. */
  isKnownOf(upstreams: readonly Upstream[]): boolean {
    return this.options.isOn() && upstreams.some(({ told }) => told?.pace !== undefined)
  }

  /** Usual time of a call of the route. */
  usualTimeOf(route: string): Milliseconds {
    return usualTimeOf(this.#times, route)
  }

  /** Expected time until the upstream has answered one more call of the route. */
  expectedTimeAt(upstream: Upstream, route: string, now: Milliseconds): Milliseconds {
    const usualTime = this.usualTimeOf(route)
    return expectedTime({
      usualTime,
      slowdown: slowdownOf(upstream, now),
      load: callLoadOf(upstream, usualTime, now),
      places: placesOf(upstream),
    })
  }

  /** Records that a call was sent. */
  begin(upstream: Upstream, route: string): CallTimer {
    const { clock, isOn } = this.options
    const startedAt = clock.now()
    const load = callLoadOf(upstream, this.usualTimeOf(route), startedAt)
    const turns = turnsAhead(load, placesOf(upstream))
    return {
      dueIn: () => {
        const now = clock.now()
        const { told } = upstream
        if (!isOn() || !told?.pace || now - told.at > TOLD_LOAD_LIFETIME) return undefined
        const time = this.usualTimeOf(route) * slowdownOf(upstream, now) * (1 + turns)
        return startedAt + TIME_SPREAD * time - now
      },
      recordAnswer: () => {
        if (!isOn() || !upstream.told?.pace) return
        const work = (clock.now() - startedAt) / (1 + turns) / upstream.told.pace.pace
        this.#recordWork(upstream, route, work)
      },
    }
  }

  #recordWork(upstream: Upstream, route: string, work: Milliseconds): void {
    const now = this.options.clock.now()
    const learned = (upstream.callSlowness ??= createLearnedSlowness(now))
    recordSlowness(learned, work / this.usualTimeOf(route), now)
    recordCallTime(this.#times, route, work)
    if (learned.samples >= MIN_SAMPLES) this.#logSlowness(upstream, learned.factor, now)
  }

  /** Logs when an upstream turns out to be slow for good, and when it is usual again. */
  #logSlowness(upstream: Upstream, slowness: number, now: Milliseconds): void {
    const pace = upstream.told?.pace?.usual ?? 1
    const belief = this.#beliefs.get(upstream)
    const isSlow = slowness * pace >= (belief?.isSlow ? USUAL_FACTOR : SLOW_FACTOR)
    if (isSlow === (belief?.isSlow ?? false)) return
    if (belief && now - belief.since < MIN_BELIEF_TIME) return
    this.#beliefs.set(upstream, { isSlow, since: now })
    const { id, service } = upstream.listed
    this.options.log.event(isSlow ? 'upstream-slow' : 'upstream-usual', {
      upstream: id,
      service,
      slowness: round(slowness),
      pace: round(pace),
    })
  }
}

function slowdownOf({ told, callSlowness }: Upstream, now: Milliseconds): number {
  const pace = told?.pace ? expectedPace(told.pace, now) : 1
  return pace * (callSlowness ? slownessAt(callSlowness, now) : 1)
}

/** Requests that run or wait there: this box's own, and those that others are expected to have. */
function callLoadOf(
  { told, inFlight, load }: Upstream,
  usualTime: Milliseconds,
  now: Milliseconds,
): number {
  if (!told || now - told.at > TOLD_LOAD_LIFETIME) return load
  return inFlight + othersLoadAt(told.others, usualTime, now)
}

function placesOf({ told, listed }: Upstream): number {
  return Math.max(1, told?.load.slots ?? listed.slots)
}

function round(factor: number): number {
  return Math.round(factor * 100) / 100
}
