import { createSeededRandom, type ListedUpstream, type Milliseconds } from '@yewkeel/decisions'
import type { ExchangeListener, OpenChannels } from '../src/index.js'
import { createFleet, type Fleet, type FleetBox } from './testFleet.js'
import { createPlayedDialect, headerOf } from './playedDialect.js'
import { createTestRoute } from './testGateway.js'

export type Service = 'pool' | 'desk'
export type RouteName = 'chat' | 'check' | 'hold'

/** What the first upstreams of a service say of themselves in their answers, for some time of the play. */
export interface Says {
  service: Service
  count: number
  from: Milliseconds
  until?: Milliseconds
  /** Requests a second that each takes from all boxes together. */
  limit?: number
  /** Each turns all requests away and asks for so many seconds of rest. */
  rest?: number
  isLeaving?: boolean
}

export interface StatementPlay {
  says?: readonly Says[]
  boxes?: number
  seed?: number
  duration?: Milliseconds
  /** Of all callers together, a second. */
  streams?: number
  calls?: number
  /** Callers know only the first boxes, so many. */
  calledBoxes?: number
  trouble?: readonly { at: Milliseconds; strike(world: StatementWorld): void | Promise<void> }[]
}

/** What may be done to the world while it is played. */
export interface StatementWorld {
  fleet: Fleet
  upstreams: readonly SayingUpstream[]
  /** Boxes end without a word and start again. */
  restart(boxes: readonly FleetBox[]): Promise<void>
  /** Writes the upstreams' entries anew. */
  list(): void
}

/** A request as it reached an upstream. */
interface Arrival {
  at: Milliseconds
  box: string
  /** When its caller sent it. */
  sentAt: Milliseconds
}

/** An upstream asked a box for rest. */
interface AskedRest {
  box: string
  at: Milliseconds
  span: Milliseconds
}

/** An upstream in memory, and what reached it. */
export class SayingUpstream {
  readonly arrivals: Arrival[] = []
  readonly rests: AskedRest[] = []
  /** When each box first got an answer that names a limit, or says that the upstream leaves. */
  readonly limitTold = new Map<string, Milliseconds>()
  readonly leavingTold = new Map<string, Milliseconds>()
  firstLimitAt = Infinity
  /** Its present run; what was told of an earlier one holds no more. */
  run = 1
  /** Its entry is gone. */
  isUnlisted = false

  constructor(
    readonly name: string,
    readonly service: Service,
    readonly dataCentre: string,
    private readonly says: readonly Says[],
  ) {}

  /** What it says at a moment. */
  at(now: Milliseconds): Pick<Says, 'limit' | 'rest' | 'isLeaving'> {
    const said = {}
    for (const { from, until = Infinity, limit, rest, isLeaving } of this.says) {
      if (now < from || now >= until) continue
      if (limit !== undefined) Object.assign(said, { limit })
      if (rest !== undefined) Object.assign(said, { rest })
      if (isLeaving) Object.assign(said, { isLeaving })
    }
    return said
  }
}

/** A request of a caller that came to its end. */
export interface Ended {
  at: Milliseconds
  route: RouteName
  isServed: boolean
  took: Milliseconds
  status: number | undefined
  /** In milliseconds, where it was refused. */
  retryAfter: Milliseconds | undefined
}

export interface PlayedStatements {
  fleet: Fleet
  upstreams: readonly SayingUpstream[]
  ended: Ended[]
  /** When boxes last started again. */
  restarted: Map<string, Milliseconds>
}

/** The time at which everything has started and callers begin; the times of a play count from here. */
const STARTED_BY: Milliseconds = 3_000
const POOL = 10
const DESK = 4
const SLOTS = 16
const FIRST_EVENT: Milliseconds = 30
const PACE: Milliseconds = 30
const PIECES = 24
const CALL_TIME: Milliseconds = 8
const TIME_LEFT: Milliseconds = 8_000

const dialect = createPlayedDialect(get => ({ key: get('key')!, timeLeft: TIME_LEFT }))

/** Plays good requests before a fleet of boxes whose upstreams say something of themselves. */
export async function playStatements(options: StatementPlay): Promise<PlayedStatements> {
  const { says = [], boxes = 6, seed = 1, duration = 24_000, trouble = [] } = options
  const { streams = 60, calls = 100, calledBoxes = Infinity } = options
  const random = createSeededRandom(seed)
  const upstreams = [
    ...Array.from({ length: POOL }, (_, at) => createUpstream('pool', at, says)),
    ...Array.from({ length: DESK }, (_, at) => createUpstream('desk', at, says)),
  ]
  const byName = new Map(upstreams.map(upstream => [upstream.name, upstream]))
  const fleet = createFleet(['ebene', 'le-morne'], {
    dialect,
    seed,
    configuration: {
      revision: 1,
      routes: [
        createTestRoute({
          name: 'chat',
          prefix: '/chat/',
          kind: 'streaming',
          isResumable: true,
          pauseObjective: 1_000,
          latencyObjective: 1_500,
          timeout: TIME_LEFT,
          targets: [{ service: 'pool', weight: 1 }],
        }),
        createTestRoute({ name: 'check', prefix: '/check/', kind: 'unsafe' }),
        createTestRoute({ name: 'hold', prefix: '/hold/', kind: 'safe', priority: 2 }),
      ],
      services: ['pool', 'desk'].map(name => ({ name, healthPath: '/', maxConnections: 4_000 })),
      limits: { bodyBytes: 1_000, headerTimeout: 1_000, idleTimeout: 1_000 },
    },
    openChannels: address => channelsOf(byName.get(address)!),
  })
  const { clock, store } = fleet
  const sinceStart = () => clock.now() - STARTED_BY

  function channelsOf(upstream: SayingUpstream): ReturnType<OpenChannels> {
    return {
      open: 0,
      idle: 0,
      retire() {},
      send(request, listener) {
        const box = headerOf(request.headers, 'box')!
        const sentAt = Number(headerOf(request.headers, 'sent-at'))
        upstream.arrivals.push({ at: sinceStart(), box, sentAt })
        const answer = new PlayedAnswer(listener, () => headOf(upstream, box))
        const isStream = request.target.startsWith('/chat/')
        const { rest } = upstream.at(sinceStart())
        if (rest !== undefined) clock.after(1, () => turnAway(upstream, box, rest, answer))
        else if (isStream) stream(answer, Number(headerOf(request.headers, 'last-event-id') ?? 0))
        else clock.after(CALL_TIME, () => answer.finish())
        return { cancel: () => answer.end() }
      },
    }
  }

  /** The headers of an answer that is begun now; the box has been told with it. */
  function headOf(upstream: SayingUpstream, box: string): string[] {
    const now = sinceStart()
    const { limit, isLeaving } = upstream.at(now)
    if (limit !== undefined) {
      upstream.firstLimitAt = Math.min(upstream.firstLimitAt, now)
      if (!upstream.limitTold.has(box)) upstream.limitTold.set(box, now)
    }
    if (isLeaving && !upstream.leavingTold.has(box)) upstream.leavingTold.set(box, now)
    return [
      ...(limit === undefined ? [] : ['limit', String(limit)]),
      ...(isLeaving ? ['leaving', '1'] : []),
    ]
  }

  function turnAway(
    upstream: SayingUpstream,
    box: string,
    rest: number,
    answer: PlayedAnswer,
  ): void {
    upstream.rests.push({ box, at: sinceStart(), span: rest * 1_000 })
    answer.refuse(['not-run', '1', 'retry-after', String(rest)])
  }

  function stream(answer: PlayedAnswer, last: number): void {
    const next = (id: number) => {
      if (answer.isOver) return
      if (id > PIECES) return answer.finish()
      answer.piece(id)
      clock.after(PACE * (0.8 + 0.4 * random()), () => next(id + 1))
    }
    clock.after(FIRST_EVENT, () => next(last + 1))
  }

  function list(): void {
    store.version++
    const listed = upstreams.filter(({ isUnlisted }) => !isUnlisted)
    store.upstreams = listed.map(({ name, service, dataCentre, run }): ListedUpstream => ({
      id: `${name}/${run}`,
      service,
      address: name,
      dataCentre,
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      revision: store.version,
    }))
  }

  const ended: Ended[] = []
  let attempts = 0
  function ask(route: RouteName): void {
    const called = fleet.boxes.slice(0, calledBoxes)
    const serving = called.filter(({ gateway }) => gateway.isReady())
    const box = serving[Math.floor(random() * serving.length)]
    if (!box) return
    const sentAt = sinceStart()
    let status: number | undefined
    let retryAfter: Milliseconds | undefined
    const end = (isWhole: boolean) => {
      const took = sinceStart() - sentAt
      const isServed = isWhole && status === 200
      ended.push({ at: sentAt, route, isServed, took, status, retryAfter })
    }
    box.gateway.handle(
      {
        method: 'POST',
        host: '127.0.0.1',
        target: `/${route}/1`,
        headers: [
          ...['id', `r${++attempts}`, 'key', 'belle-mare'],
          ...['box', box.identity.box, 'sent-at', String(sentAt)],
        ],
        body: Buffer.from(`good ${attempts}`),
        receivedAt: clock.now(),
      },
      {
        start(code, headers) {
          status = code
          const seconds = headerOf(headers, 'retry-after')
          if (seconds !== undefined) retryAfter = Number(seconds) * 1_000
        },
        write() {},
        end: () => end(true),
        abort: () => end(false),
        onGone() {},
      },
    )
  }

  const askAgain = (rate: number, route: () => RouteName) => {
    if (sinceStart() >= duration || rate === 0) return
    clock.after((-Math.log(1 - random()) * 1_000) / rate, () => askAgain(rate, route))
    ask(route())
  }

  const restarted = new Map<string, Milliseconds>()
  const world: StatementWorld = {
    fleet,
    upstreams,
    list,
    async restart(struck) {
      for (const { identity } of struck) restarted.set(identity.box, sinceStart())
      await fleet.restart(struck)
    },
  }
  fleet.add(boxes)
  list()
  await clock.advance(STARTED_BY)
  for (const { at, strike } of trouble) clock.after(at, () => void strike(world))
  clock.after(0, () => askAgain(streams, () => 'chat'))
  clock.after(0, () => askAgain(calls, () => (random() < 0.5 ? 'check' : 'hold')))
  await clock.advance(duration + TIME_LEFT)
  await fleet.stop()
  return { fleet, upstreams, ended, restarted }
}

function createUpstream(service: Service, at: number, says: readonly Says[]): SayingUpstream {
  const own = says.filter(said => said.service === service && at < said.count)
  return new SayingUpstream(`${service}-${at}`, service, at % 2 === 0 ? 'ebene' : 'le-morne', own)
}

/** One answer under way. Its head says what is true when it begins. */
class PlayedAnswer {
  isOver = false
  #hasHead = false

  constructor(
    private readonly listener: ExchangeListener,
    private readonly head: () => string[],
  ) {}

  piece(id: number): void {
    this.#begin()
    this.listener.onChunk(Buffer.from(`id: ${id}\ndata: x\n\n`))
  }

  finish(): void {
    if (this.isOver) return
    this.#begin()
    this.end()
    this.listener.onEnd()
  }

  refuse(headers: string[]): void {
    if (this.isOver) return
    this.end()
    this.listener.onHead(503, [...headers, ...this.head()])
    this.listener.onEnd()
  }

  end(): void {
    this.isOver = true
  }

  #begin(): void {
    if (this.#hasHead) return
    this.#hasHead = true
    this.listener.onHead(200, this.head())
  }
}

/** Boxes count as in touch again so long after their start, and upstreams' words bind so long after they were first said. */
const CONTACT: Milliseconds = 3_000
const LIMIT_WINDOW: Milliseconds = 4_000
/** A box counts as told so long after an answer that it passed on. */
const TOLD_AFTER: Milliseconds = 500
const LIMIT_TIMES = 1.5
const LIMIT_SLACK = 5

/** Requests beyond what is allowed, in the fullest window of any upstream that names a limit. At most 0 is right. */
export function limitExcess({ upstreams, restarted }: PlayedStatements): number {
  const excess = upstreams.flatMap(upstream => {
    const counted = upstream.arrivals.filter(({ at, box }) => {
      const told = upstream.limitTold.get(box) ?? Infinity
      const isExcused = at < (restarted.get(box) ?? -Infinity) + CONTACT
      return at >= upstream.firstLimitAt + CONTACT && at >= told + TOLD_AFTER && !isExcused
    })
    return counted.map(({ at: from }, index) => {
      const count = counted.slice(index).filter(({ at }) => at < from + LIMIT_WINDOW).length
      return count - LIMIT_TIMES * allowedIn(upstream, from) - LIMIT_SLACK
    })
  })
  return Math.max(-Infinity, ...excess)
}

/** What an upstream's limit allows from `from` on; where it names none, nothing is counted against it. */
function allowedIn(upstream: SayingUpstream, from: Milliseconds): number {
  const step = 100
  let allowed = 0
  for (let at = from; at < from + LIMIT_WINDOW; at += step)
    allowed += ((upstream.at(at).limit ?? Infinity) * step) / 1_000
  return allowed
}

/** The most requests that an upstream got from a box in a rest that it had asked that box for. */
export function mostInRest({ upstreams, restarted }: PlayedStatements): number {
  const counts = upstreams.flatMap(({ arrivals, rests }) =>
    rests.map(({ box, at: askedAt, span }) => {
      const within = arrivals.filter(
        arrival =>
          arrival.box === box &&
          arrival.at >= askedAt + TOLD_AFTER &&
          arrival.at < askedAt + span &&
          !((restarted.get(box) ?? -Infinity) > askedAt),
      )
      return within.length
    }),
  )
  return Math.max(0, ...counts)
}

const LEAVES_WITHIN: Milliseconds = 2_000

/** Requests that reached an upstream although their caller sent them later than allowed after the box was told that it leaves. */
export function lateAtLeaving({ upstreams, restarted }: PlayedStatements): number {
  return upstreams.reduce((sum, { arrivals, leavingTold }) => {
    const late = arrivals.filter(({ box, sentAt }) => {
      const told = leavingTold.get(box) ?? Infinity
      return sentAt > told + LEAVES_WITHIN && !((restarted.get(box) ?? -Infinity) > told)
    })
    return sum + late.length
  }, 0)
}

/** Part of the requests of some kinds sent in a span that were served, 0 to 1. */
export function servedShare(
  { ended }: PlayedStatements,
  routes: readonly RouteName[],
  from: Milliseconds,
  to: Milliseconds,
): number {
  const some = ended.filter(({ at, route }) => routes.includes(route) && at >= from && at < to)
  return some.filter(({ isServed }) => isServed).length / some.length
}

/** Requests a second that reached a group of upstreams in a span. */
export function arrivalRate(
  upstreams: readonly SayingUpstream[],
  from: Milliseconds,
  to: Milliseconds,
): number {
  const counts = upstreams.map(
    ({ arrivals }) => arrivals.filter(({ at }) => at >= from && at < to).length,
  )
  return (counts.reduce((sum, count) => sum + count, 0) * 1_000) / (to - from)
}
