import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import {
  createSeededRandom,
  ManualClock,
  type Configuration,
  type ListedUpstream,
  type Route,
} from '@yewkeel/decisions'
import {
  ALL_PARTS,
  UNKNOWN_MACHINE,
  createGateway,
  createGatewayMetrics,
  hasFramedBody,
  startEntryServer,
  type Dialect,
  type EntryServer,
  type Gateway,
  type GatewaySettings,
  type OperatorState,
  type Store,
} from '../src/index.js'

/** A dialect with plain header names, independent of any platform. */
export const testDialect: Dialect = {
  readRequest(headers) {
    const get = (name: string) => valueOf(headers, name)
    const model = get('model')
    const timeLeft = get('time-left')
    const lastEventId = get('last-event-id')
    return {
      id: get('id') ?? '',
      ...(timeLeft !== undefined && { timeLeft: Number(timeLeft) }),
      ...(get('key') !== undefined && { key: get('key')! }),
      ...(model !== undefined && { model }),
      ...(lastEventId !== undefined && { lastEventId }),
      promptTokens: Number(get('tokens') ?? 0),
      promptParts: [],
    }
  },
  writeRequest(headers, fields) {
    const forwarded = ['id', valueOf(headers, 'id') ?? '', 'upstream', fields.upstreamId]
    forwarded.push('time-left', String(fields.timeLeft))
    if (fields.model !== undefined) forwarded.push('model', fields.model)
    if (fields.lastEventId !== undefined) forwarded.push('last-event-id', fields.lastEventId)
    return forwarded
  },
  writeRelayed(headers, timeLeft) {
    const written: string[] = []
    for (const name of ['id', 'key', 'model', 'tokens']) {
      const value = valueOf(headers, name)
      if (value !== undefined) written.push(name, value)
    }
    return [...written, 'time-left', String(timeLeft)]
  },
  readResponse(headers) {
    const get = (name: string) => valueOf(headers, name)
    const id = get('id')
    const answeredBy = get('answered-by')
    const confidence = get('confidence')
    const load = get('load')
    const pace = get('pace')
    const brittle = get('brittle')
    return {
      ...(id !== undefined && { id }),
      isSigned: get('signed') !== undefined,
      isNotRun: get('not-run') !== undefined,
      ...(load !== undefined && { load: { running: Number(load), waiting: 0 } }),
      ...(confidence !== undefined && { confidence: Number(confidence) }),
      ...(answeredBy !== undefined && { answeredBy }),
      ...(brittle !== undefined && { bearableRejections: Number(brittle) }),
      ...(pace !== undefined && { load: { running: 1, waiting: 0, pace: Number(pace) } }),
      isFramed: hasFramedBody(headers),
      isEncoded: false,
    }
  },
  writeResponse: headers => {
    const id = valueOf(headers, 'signed')
    return id === undefined ? [] : ['signed', id]
  },
  writeRejection: (id, retryAfter) => [
    'id',
    id,
    ...(retryAfter === undefined ? [] : ['retry-after', String(retryAfter / 1_000)]),
  ],
}

function valueOf(headers: readonly string[], name: string): string | undefined {
  const position = headers.findIndex(
    (text, index) => index % 2 === 0 && text.toLowerCase() === name,
  )
  return position === -1 ? undefined : headers[position + 1]
}

/** How a fake upstream handles a request whose body it has read. */
export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => void

/** An HTTP server on loopback that acts as an upstream. */
export interface StandInUpstream {
  id: string
  listed: ListedUpstream
  /** Requests received, in order of arrival. */
  requests: IncomingMessage[]
  close(): void
}

/** Starts a fake upstream of service `desk`; `id` is its process id in the upstream list. */
export async function startUpstream(id: string, behave: UpstreamHandler): Promise<StandInUpstream> {
  const requests: IncomingMessage[] = []
  const server = createServer((request, response) => {
    requests.push(request)
    request.resume()
    request.once('end', () => behave(request, response))
  })
  const address = await listen(server)
  return {
    id,
    requests,
    listed: {
      id,
      service: 'desk',
      address,
      dataCentre: 'ebene',
      version: 'v1',
      slots: 4,
      state: 'ready',
      revision: 1,
    },
    close: () => {
      server.close()
      server.closeAllConnections()
    },
  }
}

async function listen(server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** A gateway on loopback with a manual clock and an in-memory store. */
export interface TestGateway {
  gateway: Gateway
  clock: ManualClock
  entry: EntryServer
  /** State that later store reads return; reads fail while `isOut` is true. */
  store: { operators: OperatorState; upstreams: ListedUpstream[]; isOut: boolean; version: number }
  /** Request log entries of finished requests. */
  requestLog: { id?: string; outcome?: string; status?: number }[]
  /** Fields of the logged events, by name. */
  events: { name: string; fields: Record<string, unknown> }[]
  /** Advances the clock in steps until the condition holds; throws after `MAX_STEPS`. */
  advanceUntil(condition: () => boolean): Promise<void>
  close(): Promise<void>
}

/** A public route for idempotent calls to service `desk`, with the given changes. */
export function createTestRoute(change: Partial<Route>): Route {
  return {
    name: 'route',
    host: '127.0.0.1',
    prefix: '/desk/',
    kind: 'safe',
    targets: [{ service: 'desk', weight: 1 }],
    maxAttempts: 3,
    timeout: 2_000,
    latencyObjective: 400,
    priority: 0,
    isPublic: true,
    isResumable: false,
    models: [],
    ...change,
  }
}

/** Settings of a box in tests, without addresses. */
export const TEST_SETTINGS: GatewaySettings = {
  box: 'box-1',
  dataCentre: 'ebene',
  listen: { entry: '', readiness: '', directory: '', peers: '' },
  peerSecret: 'secret of the tests',
  machine: UNKNOWN_MACHINE,
  parts: ALL_PARTS,
  isFirstStart: true,
  keyRevocation: 5_000,
  newsWithin: 2_000,
  addressLifetime: 2_000,
  stopWithin: 7_000,
  retries: { ratio: 0.9, slack: 50, window: 10_000 },
  coldOverage: { times: 1.5, slack: 5 },
  exposureLimit: 0.15,
  exposureSlack: 30,
  confidenceThreshold: 45,
}

/** Creates a store that tests change through `state`. */
export function createTestStore(
  clock: ManualClock,
  upstreams: readonly StandInUpstream[],
  configuration: Partial<Configuration>,
): { state: TestGateway['store']; store: Store; content: Configuration } {
  const content: Configuration = {
    revision: 1,
    routes: [createTestRoute({})],
    services: [{ name: 'desk', healthPath: '/', maxConnections: 40 }],
    limits: { bodyBytes: 100_000, headerTimeout: 1_000, idleTimeout: 1_000 },
    ...configuration,
  }
  const state = {
    operators: {
      revision: 1,
      fingerprint: 1,
      configuration: content,
      orders: [],
      evacuated: [],
    } as OperatorState,
    upstreams: upstreams.map(upstream => upstream.listed),
    isOut: false,
    version: 1,
  }
  const read = <T>(value: T) =>
    state.isOut
      ? Promise.reject(new Error('simulated store outage (store.isOut)'))
      : Promise.resolve({ value, version: state.version, storeNow: clock.now() })
  const store: Store = {
    readOperatorState: () => read(state.operators),
    // Waits on the manual clock like a long poll, so that the reader does not spin.
    awaitOperatorState: ({ revision }, wait) =>
      new Promise(resolve => clock.after(wait, () => resolve(undefined))).then(() =>
        read(state.operators.revision > revision),
      ),
    readUpstreams: () => read(state.upstreams),
    readRollouts: () => read([]),
    writeRollout: () => Promise.resolve('written'),
    readBoxes: () => Promise.resolve([]),
    writeBox: () => Promise.resolve(),
    writeBoxes: () => Promise.resolve(),
    removeBoxes: () => Promise.resolve(),
    readQuarantined: () => Promise.resolve([]),
    writeQuarantined: () => Promise.resolve(),
    removeQuarantined: () => Promise.resolve(),
  }
  return { state, store, content }
}

/** Starts a gateway on loopback with a manual clock and waits until it is ready. */
export async function startTestGateway(
  upstreams: readonly StandInUpstream[],
  configuration: Partial<Configuration>,
  settings: Partial<GatewaySettings> = {},
): Promise<TestGateway> {
  const clock = new ManualClock()
  const { state, store, content } = createTestStore(clock, upstreams, configuration)
  const lines: TestGateway['requestLog'] = []
  const events: TestGateway['events'] = []
  const gateway = createGateway({
    settings: { ...TEST_SETTINGS, ...settings },
    identity: {
      box: 'box-1',
      incarnation: '1',
      dataCentre: 'ebene',
      entryAddress: '127.0.0.1:1',
      peerAddress: '127.0.0.1:2',
    },
    clock,
    random: createSeededRandom(1),
    log: {
      event: (name, fields) => void events.push({ name, fields: { ...fields } }),
      request: fields => void lines.push(fields),
    },
    metrics: createGatewayMetrics(),
    dialect: testDialect,
    store,
    transport: { listen() {}, link() {}, send: () => false, close: () => Promise.resolve() },
    onConfiguration: () => {},
  })
  const entry = await startEntryServer({
    listen: '127.0.0.1:0',
    isReady: () => gateway.isReady(),
    clock,
    maxConnections: 1_000,
    bodyBytes: () => content.limits.bodyBytes,
    kept: gateway.services.kept,
    bodyDeadline: request => gateway.bodyDeadline(request),
    idOf: headers => testDialect.readRequest(headers).id,
    handle: (request, answer) => gateway.handle(request, answer),
    onDropped: () => undefined,
  })
  gateway.start()
  const until = async (condition: () => boolean) => {
    for (let step = 0; step < MAX_STEPS && !condition(); step++) await clock.advance(STEP_DURATION)
    if (!condition()) throw new Error('the condition is still false after 20 s on the manual clock')
  }
  await until(() => gateway.isReady())
  return {
    gateway,
    clock,
    entry,
    store: state,
    requestLog: lines,
    events,
    advanceUntil: until,
    async close() {
      await gateway.stop()
      entry.close()
      for (const upstream of upstreams) upstream.close()
    },
  }
}

/** In milliseconds. */
const STEP_DURATION = 5
const MAX_STEPS = 4_000
