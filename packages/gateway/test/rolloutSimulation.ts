import { createSeededRandom, type Milliseconds, type Random } from '@yewkeel/decisions'
import type { ExchangeListener, OpenConnectionPool } from '../src/index.js'
import { createSimulatedDialect, headerOf } from './simulatedDialect.js'
import { createTestRoute } from './testGateway.js'
import { createFleet, type Fleet } from './testFleet.js'

/**
 * How a version is faulty. `late`: its responses fail from `onsetDelay` on. `one-route`: they fail
 * on route `tag`. `under-load`: they fail while the engine has `MIN_LOADED_REQUESTS` in flight.
 */
export type VersionFault = 'errors' | 'slow' | 'late' | 'one-route' | 'under-load'

/** Describes a faulty target version. */
export interface BadVersion {
  kind: VersionFault
  /** Fraction of its responses that are faulty, 0 to 1. */
  fraction: number
  /** Factor by which a slow response is slower. */
  slowdownFactor?: number
  /** Time from the rollout order until it becomes faulty. */
  onsetDelay?: Milliseconds
}

/** Load and faults of a simulated rollout. */
export interface RolloutScenario {
  /** Default: the target version is not faulty. */
  bad?: BadVersion
  seed?: number
  boxes?: number
  duration?: Milliseconds
  /** Requests per second, all callers together. */
  rate?: number
  /** Whether requests belong to sessions; they do by default. */
  hasSessions?: boolean
  /** Further faults to inject; `at` counts from the rollout order. */
  faults?: readonly { at: Milliseconds; inject(simulation: RolloutSimulation): void }[]
}

/** The running simulation, as faults act on it. */
export interface RolloutSimulation {
  fleet: Fleet
  engines: SimulatedEngine[]
  /** Multiplies the request rate. */
  rateFactor: number
}

/** Result of a simulated rollout. */
export interface RolloutSimulationResult {
  /** Attempts that engines received during the rollout duration. */
  arrivals: number
  /** Attempts among them that the target version received. */
  targetArrivals: number
  /** Faulty responses of the target version; failures of a whole engine are not counted. */
  faultyResponses: number
  /** Attempts at the target version over `DETECTION_TIMEOUT` after its 50th faulty response. */
  arrivalsAfterDetection: number
  /** Changes of version within a session in the first half of the rollout duration. */
  earlySessionMoves: number
  /** Rollout state in the store at the end. */
  state: string | undefined
  /** Time from the rollout order until its end state was in the store. */
  endedAfter: Milliseconds | undefined
  /** Number of complete responses to callers. */
  served: number
  requests: number
}

const ORDER_AT: Milliseconds = 4_000
export const DETECTION_TIMEOUT: Milliseconds = 5_000
/** Number of faulty responses after which the boxes must detect a faulty version. */
const DETECTION_THRESHOLD = 50
/** Engines per version. */
const ENGINE_COUNT = 8
const TARGET_START_DELAY: Milliseconds = 300
const SESSION_COUNT = 900
const FIRST_EVENT_DELAY: Milliseconds = 25
const EVENT_INTERVAL: Milliseconds = 30
const EVENT_COUNTS = { chat: 24, digest: 40, tag: 5 }
type RouteName = keyof typeof EVENT_COUNTS
/** Routes of every ten requests. */
const ROUTE_MIX: RouteName[] = [
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
/** Requests in flight from which an engine counts as loaded. */
const MIN_LOADED_REQUESTS = 14
const REQUEST_TIMEOUT: Milliseconds = 15_000

interface ResponseInFlight {
  slowdownFactor: number
}

/** A simulated engine with continuous batching: a slow response slows down all in flight. */
export class SimulatedEngine {
  readonly inFlight = new Set<ResponseInFlight>()
  /** Fraction of the requests that it fails, 0 to 1. */
  failureFraction = 0
  /** Factor by which the whole engine is slower. */
  slowdownFactor = 1
  isDown = false

  constructor(
    readonly id: string,
    readonly version: string,
    readonly dataCentre: string,
  ) {}

  /** Mean time between events of a stream at the current load. */
  eventInterval(): Milliseconds {
    const slowest = Math.max(...[...this.inFlight].map(({ slowdownFactor }) => slowdownFactor))
    return EVENT_INTERVAL * this.slowdownFactor * slowest * (1 + 0.02 * this.inFlight.size)
  }
}

const dialect = createSimulatedDialect(get => ({
  ...(get('session') !== undefined && { session: get('session')! }),
  timeLeft: REQUEST_TIMEOUT,
}))

/** Simulates a rollout from `v1` to `v2`. */
export async function simulateRollout(options: RolloutScenario): Promise<RolloutSimulationResult> {
  const { seed = 1, boxes = 4, duration = 24_000, rate = 60, faults = [], bad } = options
  const { hasSessions = true } = options
  const random = createSeededRandom(seed)
  const engines: SimulatedEngine[] = []
  const attempts: { at: Milliseconds; version: string; session: string }[] = []
  const faultyResponseTimes: Milliseconds[] = []
  const routes = Object.keys(EVENT_COUNTS).map(name =>
    createTestRoute({
      name,
      prefix: `/${name}/`,
      kind: 'streaming',
      isResumable: true,
      pauseObjective: 1_200,
      latencyObjective: 1_500,
      timeout: REQUEST_TIMEOUT,
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
    openConnectionPool: address => createConnectionPool(engines.find(({ id }) => id === address)!),
  })
  const { clock, store } = fleet

  function createConnectionPool(engine: SimulatedEngine): ReturnType<OpenConnectionPool> {
    return {
      open: 0,
      idle: 0,
      retire() {},
      send(request, listener) {
        const response = new SimulatedResponse(engine, listener, clock, random)
        const headers = request.headers
        attempts.push({
          at: clock.now(),
          version: engine.version,
          session: headerOf(headers, 'session') ?? '',
        })
        const route = request.target.split('/')[1] as RouteName
        const fault = engine.version === 'v2' ? pickFault(engine, route) : undefined
        if (fault) faultyResponseTimes.push(clock.now())
        const lastEventId = Number(headerOf(headers, 'last-event-id') ?? 0)
        response.start(fault, Math.max(1, EVENT_COUNTS[route] - lastEventId), lastEventId)
        return { cancel: () => response.cancel(), pause() {}, resume() {} }
      },
    }
  }

  /** Picks the fault of a response of the target version; undefined for a good response. */
  function pickFault(engine: SimulatedEngine, route: RouteName): ResponseFault | undefined {
    if (!bad || random() >= bad.fraction) return undefined
    const elapsed = clock.now() - ORDER_AT
    const isFaulty: Record<VersionFault, boolean> = {
      errors: true,
      slow: true,
      late: elapsed >= (bad.onsetDelay ?? 0),
      'one-route': route === 'tag',
      'under-load': engine.inFlight.size >= MIN_LOADED_REQUESTS,
    }
    if (!isFaulty[bad.kind]) return undefined
    return bad.kind === 'slow' ? { slowdownFactor: bad.slowdownFactor ?? 8 } : 'fails'
  }

  const simulation: RolloutSimulation = { fleet, engines, rateFactor: 1 }
  fleet.add(boxes)
  startEngines('v1')
  await clock.advance(ORDER_AT)
  store.operators = {
    ...store.operators,
    revision: ++store.version,
    fingerprint: 2,
    orders: [{ service: 'pool', target: 'v2', duration, revision: store.version }],
  }
  for (const { at, inject } of faults) clock.after(at, () => inject(simulation))
  clock.after(TARGET_START_DELAY, () => startEngines('v2'))

  /** Starts the engines of a version and adds them to the upstream list. */
  function startEngines(version: string): void {
    for (let index = 0; index < ENGINE_COUNT; index++)
      engines.push(
        new SimulatedEngine(`${version}-${index}`, version, index % 2 ? 'ebene' : 'le-morne'),
      )
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
  const endAt = ORDER_AT + duration
  /** Sends requests as a Poisson process. */
  const sendRequests = () => {
    if (clock.now() >= endAt) return
    clock.after((-Math.log(1 - random()) * 1_000) / (rate * simulation.rateFactor), sendRequests)
    const ready = fleet.boxes.filter(({ gateway }) => gateway.isReady())
    const box = ready[Math.floor(random() * ready.length)]
    if (!box) return
    requests++
    const route = ROUTE_MIX[Math.floor(random() * ROUTE_MIX.length)]!
    const session = `s${Math.floor(random() * SESSION_COUNT)}`
    box.gateway.handle(
      {
        method: 'POST',
        host: '127.0.0.1',
        target: `/${route}/1`,
        headers: ['id', `r${requests}`, ...(hasSessions ? ['session', session] : [])],
        body: Buffer.alloc(0),
        receivedAt: clock.now(),
      },
      { start() {}, write() {}, end: () => void served++, abort() {}, onDisconnect() {} },
    )
  }
  clock.after(0, sendRequests)
  while (clock.now() < endAt) {
    await clock.advance(50)
    const state = store.rollouts[0]?.state
    if (endedAfter === undefined && state !== undefined && state !== 'active') {
      endedAfter = clock.now() - ORDER_AT
      stopVersion(state === 'completed' ? 'v1' : 'v2')
    }
  }
  await clock.advance(REQUEST_TIMEOUT)
  await fleet.stop()

  /** Removes a version's engines from the list: `v1` at once, a rolled-back target after 3 s. */
  function stopVersion(version: string): void {
    const unlist = () => {
      store.version++
      store.upstreams = store.upstreams.filter(upstream => upstream.version !== version)
    }
    if (version === 'v1') unlist()
    else clock.after(3_000, unlist)
  }

  const arrivals = attempts.filter(({ at }) => at >= ORDER_AT && at < endAt)
  const targetArrivals = arrivals.filter(({ version }) => version === 'v2')
  const thresholdAt = faultyResponseTimes[DETECTION_THRESHOLD - 1]
  return {
    arrivals: arrivals.length,
    targetArrivals: targetArrivals.length,
    faultyResponses: faultyResponseTimes.length,
    arrivalsAfterDetection:
      thresholdAt === undefined
        ? 0
        : targetArrivals.filter(({ at }) => at > thresholdAt + DETECTION_TIMEOUT).length,
    earlySessionMoves: countSessionMoves(arrivals.filter(({ at }) => at < ORDER_AT + duration / 2)),
    state: store.rollouts[0]?.state,
    endedAfter,
    served,
    requests,
  }
}

/** Attempts on another version than the previous one in their session, less than 5 s before. */
function countSessionMoves(
  attempts: readonly { at: Milliseconds; version: string; session: string }[],
): number {
  const lastBySession = new Map<string, { at: Milliseconds; version: string }>()
  let moves = 0
  for (const attempt of attempts) {
    const previous = lastBySession.get(attempt.session)
    if (previous && attempt.at - previous.at < 5_000 && previous.version !== attempt.version)
      moves++
    lastBySession.set(attempt.session, attempt)
  }
  return moves
}

type ResponseFault = 'fails' | { slowdownFactor: number }

/** A response of an engine. */
class SimulatedResponse {
  readonly #inFlight: ResponseInFlight = { slowdownFactor: 1 }
  #isClosed = false

  constructor(
    private readonly engine: SimulatedEngine,
    private readonly listener: ExchangeListener,
    private readonly clock: { after(delay: Milliseconds, callback: () => void): unknown },
    private readonly random: Random,
  ) {}

  start(fault: ResponseFault | undefined, eventCount: number, lastEventId: number): void {
    const { engine, listener, clock, random } = this
    engine.inFlight.add(this.#inFlight)
    if (fault !== undefined && fault !== 'fails')
      this.#inFlight.slowdownFactor = fault.slowdownFactor
    const fails = fault === 'fails' || random() < engine.failureFraction
    const delay =
      FIRST_EVENT_DELAY *
      this.#inFlight.slowdownFactor *
      engine.slowdownFactor *
      (0.7 + 0.9 * random())
    clock.after(delay, () => {
      if (this.#isClosed) return
      if (engine.isDown) return this.#fail()
      listener.onHead(fails ? 500 : 200, [])
      if (fails) return this.#end()
      this.#sendEvent(lastEventId + 1, lastEventId + eventCount)
    })
  }

  #sendEvent(id: number, last: number): void {
    if (this.#isClosed) return
    if (this.engine.isDown) return this.#fail()
    this.listener.onChunk(Buffer.from(`id: ${id}\ndata: x\n\n`))
    if (this.#isClosed) return
    if (id >= last) return this.#end()
    const delay = this.engine.eventInterval() * (0.8 + 0.5 * this.random())
    this.clock.after(delay, () => this.#sendEvent(id + 1, last))
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
    this.#isClosed = true
    this.engine.inFlight.delete(this.#inFlight)
  }
}
