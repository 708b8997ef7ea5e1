import { createSeededRandom, type Milliseconds, type Random } from '@yewkeel/decisions'
import type { ExchangeListener, OpenChannels } from '../src/index.js'
import { createPlayedDialect, headerOf } from './playedDialect.js'
import { createTestRoute } from './testGateway.js'
import { createFleet, type Fleet } from './testFleet.js'

/** What is wrong with a version. `late`: its answers fail, from `after` on. `under-load`: while its engine runs many. */
export type Fault = 'errors' | 'slow' | 'late' | 'one-route' | 'under-load'

/** A version that is rolled out, and is no good. */
export interface BadVersion {
  how: Fault
  /** Part of its answers that are bad, 0 to 1. */
  share: number
  /** How many times slower a slow answer is. */
  times?: number
  /** When it turns bad, counted from the order. */
  after?: Milliseconds
}

export interface PlayOptions {
  /** A good version where it is left out. */
  bad?: BadVersion
  seed?: number
  boxes?: number
  duration?: Milliseconds
  /** Requests a second of all callers. */
  rate?: number
  /** What else goes wrong, at a moment counted from the order. */
  trouble?: readonly { at: Milliseconds; strike(world: PlayedWorld): void }[]
}

/** What may be done to the world while a roll-out is played. */
export interface PlayedWorld {
  fleet: Fleet
  engines: PlayedEngine[]
  /** Multiplies the rate of requests. */
  burst: number
}

/** How a roll-out went, from the engines' and the operators' side. */
export interface Played {
  /** Requests that reached the service between the order and the end of its time. */
  arrivals: number
  /** Those of them that the new version got. */
  toTarget: number
  /** Bad answers of the new version. */
  bad: number
  /** Requests that the new version got more than `FOUND_WITHIN` after its 50th bad answer. */
  sentAfterFound: number
  /** Requests that went to another version than the one before in their session, in the first half. */
  movedEarly: number
  state: string | undefined
  /** Of the order, when the end state was written. */
  endedAfter: Milliseconds | undefined
  /** Answers that came whole, of all requests. */
  served: number
  requests: number
}

const ORDER_AT: Milliseconds = 4_000
export const FOUND_WITHIN: Milliseconds = 5_000
const BAD_ANSWERS = 50
const ENGINES = 8
const TARGET_UP_AFTER: Milliseconds = 300
const SESSIONS = 900
const FIRST_EVENT: Milliseconds = 25
const PACE: Milliseconds = 30
const PIECES = { chat: 24, digest: 40, tag: 5 }
type RouteName = keyof typeof PIECES
/** Of each 10 requests. */
const MIX: RouteName[] = [
  'chat',
  'chat',
  'chat',
  'chat',
  'chat',
  'tag',
  'tag',
  'tag',
  'digest',
  'digest',
]
/** Requests on one engine from which it counts as loaded. */
const LOADED_FROM = 14
const TIME_LEFT: Milliseconds = 15_000

/** A running answer. */
interface Running {
  times: number
}

/** An engine in memory. Those that run beside a slow answer are as slow: an engine makes one step for all. */
export class PlayedEngine {
  readonly running = new Set<Running>()
  /** Part of the requests that it fails. */
  failShare = 0
  /** How many times slower it is as a whole. */
  times = 1
  isDown = false

  constructor(
    readonly id: string,
    readonly version: string,
    readonly dataCentre: string,
  ) {}

  /** Beside others a step takes longer, and a slow answer holds up all. */
  pace(): Milliseconds {
    const slowest = Math.max(...[...this.running].map(({ times }) => times))
    return PACE * this.times * slowest * (1 + 0.02 * this.running.size)
  }
}

const dialect = createPlayedDialect(get => ({ session: get('session')!, timeLeft: TIME_LEFT }))

/** Plays a roll-out before a fleet of boxes whose callers all have sessions. */
export async function playRollout(options: PlayOptions): Promise<Played> {
  const { seed = 1, boxes = 4, duration = 24_000, rate = 60, trouble = [], bad } = options
  const random = createSeededRandom(seed)
  const engines: PlayedEngine[] = []
  const runs: { at: Milliseconds; version: string; session: string }[] = []
  const badAt: Milliseconds[] = []
  const routes = Object.keys(PIECES).map(name =>
    createTestRoute({
      name,
      prefix: `/${name}/`,
      kind: 'streaming',
      isResumable: true,
      pauseObjective: 1_200,
      latencyObjective: 1_500,
      timeout: TIME_LEFT,
      targets: [{ service: 'pool', weight: 1 }],
    }),
  )
  const fleet = createFleet(['ebene', 'le-morne'], {
    dialect,
    seed,
    configuration: {
      revision: 1,
      routes,
      services: [{ name: 'pool', healthPath: '/', maxConnections: 400 }],
      limits: { bodyBytes: 1_000, headerTimeout: 1_000, idleTimeout: 1_000 },
    },
    openChannels: address => channelsOf(engines.find(({ id }) => id === address)!),
  })
  const { clock, store } = fleet

  function channelsOf(engine: PlayedEngine): ReturnType<OpenChannels> {
    return {
      open: 0,
      idle: 0,
      retire() {},
      send(request, listener) {
        const answer = new PlayedAnswer(engine, listener, clock, random)
        const headers = request.headers
        runs.push({
          at: clock.now(),
          version: engine.version,
          session: headerOf(headers, 'session')!,
        })
        const route = request.target.split('/')[1] as RouteName
        const flaw = engine.version === 'v2' ? flawOf(engine, route) : undefined
        if (flaw) badAt.push(clock.now())
        const from = Number(headerOf(headers, 'last-event-id') ?? 0)
        answer.begin(flaw, Math.max(1, PIECES[route] - from), from)
        return { cancel: () => answer.cancel() }
      },
    }
  }

  /** What is wrong with this answer of the new version, if anything is. */
  function flawOf(engine: PlayedEngine, route: RouteName): Flaw | undefined {
    if (!bad || random() >= bad.share) return undefined
    const since = clock.now() - ORDER_AT
    const strikes: Record<Fault, boolean> = {
      errors: true,
      slow: true,
      late: since >= (bad.after ?? 0),
      'one-route': route === 'tag',
      'under-load': engine.running.size >= LOADED_FROM,
    }
    if (!strikes[bad.how]) return undefined
    return bad.how === 'slow' ? { times: bad.times ?? 8 } : 'fails'
  }

  const world: PlayedWorld = { fleet, engines, burst: 1 }
  fleet.add(boxes)
  list('v1')
  await clock.advance(ORDER_AT)
  store.operators = {
    ...store.operators,
    revision: ++store.version,
    fingerprint: 2,
    orders: [{ service: 'pool', target: 'v2', duration, revision: store.version }],
  }
  for (const { at, strike } of trouble) clock.after(at, () => strike(world))
  clock.after(TARGET_UP_AFTER, () => list('v2'))

  function list(version: string): void {
    for (let at = 0; at < ENGINES; at++)
      engines.push(new PlayedEngine(`${version}-${at}`, version, at % 2 ? 'ebene' : 'le-morne'))
    store.version++
    store.upstreams = engines.map(engine => ({
      id: engine.id,
      service: 'pool',
      address: engine.id,
      dataCentre: engine.dataCentre,
      version: engine.version,
      slots: 64,
      state: 'ready' as const,
      revision: 1,
    }))
  }

  let requests = 0
  let served = 0
  let endedAfter: Milliseconds | undefined
  const end = ORDER_AT + duration
  const ask = () => {
    if (clock.now() >= end) return
    clock.after((-Math.log(1 - random()) * 1_000) / (rate * world.burst), ask)
    const serving = fleet.boxes.filter(({ gateway }) => gateway.isReady())
    const box = serving[Math.floor(random() * serving.length)]
    if (!box) return
    requests++
    const route = MIX[Math.floor(random() * MIX.length)]!
    const session = `s${Math.floor(random() * SESSIONS)}`
    box.gateway.handle(
      {
        method: 'POST',
        host: '127.0.0.1',
        target: `/${route}/1`,
        headers: ['id', `r${requests}`, 'session', session],
        body: Buffer.alloc(0),
        receivedAt: clock.now(),
      },
      { start() {}, write() {}, end: () => void served++, abort() {}, onGone() {} },
    )
  }
  clock.after(0, ask)
  while (clock.now() < end) {
    await clock.advance(50)
    const state = store.rollouts[0]?.state
    if (endedAfter === undefined && state !== undefined && state !== 'active') {
      endedAfter = clock.now() - ORDER_AT
      stopVersion(state === 'completed' ? 'v1' : 'v2')
    }
  }
  await clock.advance(TIME_LEFT)
  await fleet.stop()

  /** The old upstreams stop at once, those of a version that was rolled back some seconds later. */
  function stopVersion(version: string): void {
    const stop = () => {
      store.version++
      store.upstreams = store.upstreams.filter(upstream => upstream.version !== version)
    }
    if (version === 'v1') stop()
    else clock.after(3_000, stop)
  }

  const arrived = runs.filter(({ at }) => at >= ORDER_AT && at < end)
  const toTarget = arrived.filter(({ version }) => version === 'v2')
  const foundAt = badAt[BAD_ANSWERS - 1]
  return {
    arrivals: arrived.length,
    toTarget: toTarget.length,
    bad: badAt.length,
    sentAfterFound:
      foundAt === undefined ? 0 : toTarget.filter(({ at }) => at > foundAt + FOUND_WITHIN).length,
    movedEarly: countMoved(arrived.filter(({ at }) => at < ORDER_AT + duration / 2)),
    state: store.rollouts[0]?.state,
    endedAfter,
    served,
    requests,
  }
}

/** Requests within 5 s of the one before in their session, on another version. */
function countMoved(
  runs: readonly { at: Milliseconds; version: string; session: string }[],
): number {
  const last = new Map<string, { at: Milliseconds; version: string }>()
  let moved = 0
  for (const run of runs) {
    const before = last.get(run.session)
    if (before && run.at - before.at < 5_000 && before.version !== run.version) moved++
    last.set(run.session, run)
  }
  return moved
}

type Flaw = 'fails' | { times: number }

/** One answer of an engine. */
class PlayedAnswer {
  readonly #run: Running = { times: 1 }
  #isOver = false

  constructor(
    private readonly engine: PlayedEngine,
    private readonly listener: ExchangeListener,
    private readonly clock: { after(delay: Milliseconds, callback: () => void): unknown },
    private readonly random: Random,
  ) {}

  begin(flaw: Flaw | undefined, pieces: number, from: number): void {
    const { engine, listener, clock, random } = this
    engine.running.add(this.#run)
    if (flaw !== undefined && flaw !== 'fails') this.#run.times = flaw.times
    const fails = flaw === 'fails' || random() < engine.failShare
    const first = FIRST_EVENT * this.#run.times * engine.times * (0.7 + 0.9 * random())
    clock.after(first, () => {
      if (this.#isOver) return
      if (engine.isDown) return this.#fail()
      listener.onHead(fails ? 500 : 200, [])
      if (fails) return this.#end()
      this.#next(from + 1, from + pieces)
    })
  }

  #next(id: number, last: number): void {
    if (this.#isOver) return
    if (this.engine.isDown) return this.#fail()
    this.listener.onChunk(Buffer.from(`id: ${id}\ndata: x\n\n`))
    if (this.#isOver) return
    if (id >= last) return this.#end()
    const pace = this.engine.pace() * (0.8 + 0.5 * this.random())
    this.clock.after(pace, () => this.#next(id + 1, last))
  }

  #end(): void {
    this.cancel()
    this.listener.onEnd()
  }

  #fail(): void {
    this.cancel()
    this.listener.onFailure(new Error('reset'), true)
  }

  cancel(): void {
    this.#isOver = true
    this.engine.running.delete(this.#run)
  }
}
