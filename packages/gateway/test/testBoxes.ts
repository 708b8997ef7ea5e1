import { createSeededRandom, ManualClock, type Milliseconds } from '@yewkeel/decisions'
import type { PeerIdentity } from '@yewkeel/box'
import {
  createGateway,
  createGatewayMetrics,
  probeConnection,
  startEntryServer,
  UnreachableError,
  UpstreamConnectionPool,
  type BoxEntry,
  type ConnectionPool,
  type EntryServer,
  type ExchangeListener,
  type Gateway,
} from '../src/index.js'
import { InMemoryNetwork } from './testFleet.js'
import {
  createTestRoute,
  createTestStore,
  testDialect,
  TEST_SETTINGS,
  type StandInUpstream,
} from './testGateway.js'
import type { Configuration } from '@yewkeel/decisions'

/**
 * How a box loses its paths: `silent` lets nothing through, `refused` only open connections, `reset`
 * breaks these, too.
 */
export type CutMode = 'silent' | 'refused' | 'reset'

/** One of several boxes on a manual clock, with a real entry on loopback. */
export interface TestBox {
  identity: PeerIdentity
  gateway: Gateway
  entry: EntryServer
  /** Cuts the paths to all upstreams, or heals them. */
  setCut(mode: CutMode | undefined): void
}

/** Several boxes before the same upstreams. */
export interface TestBoxes {
  clock: ManualClock
  boxes: TestBox[]
  requestLog: { id?: string; outcome?: string; status?: number; box?: string }[]
  events: { box: string; name: string }[]
  /** Advances the clock while sockets are given time. */
  advance(duration: Milliseconds): Promise<void>
  close(): Promise<void>
}

const STEP: Milliseconds = 5
const CUT_CONNECT_TIME: Milliseconds = 200

/** Starts boxes whose paths to upstreams can be cut one by one. */
export async function startTestBoxes(
  count: number,
  upstreams: readonly StandInUpstream[],
  configuration: Partial<Configuration> = { routes: [createTestRoute({})] },
): Promise<TestBoxes> {
  const clock = new ManualClock()
  const { store, content } = createTestStore(clock, upstreams, configuration)
  const entries: BoxEntry[] = []
  store.readBoxes = () => Promise.resolve(entries)
  const network = new InMemoryNetwork(clock)
  const requestLog: TestBoxes['requestLog'] = []
  const events: TestBoxes['events'] = []
  const boxes = await Promise.all(
    Array.from({ length: count }, async (_, index): Promise<TestBox> => {
      const name = `box-${index + 1}`
      const pools: CuttablePool[] = []
      let cut: CutMode | undefined
      const box: Partial<TestBox> = {
        setCut(mode) {
          cut = mode
          if (mode === 'reset') for (const pool of pools) pool.breakAll()
        },
      }
      const entry = await startEntryServer({
        listen: '127.0.0.1:0',
        isReady: () => true,
        clock,
        maxConnections: 1_000,
        bodyBytes: () => content.limits.bodyBytes,
        get kept() {
          return box.gateway!.services.kept
        },
        bodyDeadline: request => box.gateway!.bodyDeadline(request),
        idOf: headers => testDialect.readRequest(headers).id,
        handle: (request, answer) => box.gateway!.handle(request, answer),
        onDropped: () => undefined,
      })
      const identity: PeerIdentity = {
        box: name,
        incarnation: '1',
        dataCentre: 'ebene',
        entryAddress: entry.address,
        peerAddress: `${name}:2`,
      }
      entries.push(identity)
      const gateway = createGateway({
        settings: { ...TEST_SETTINGS, box: name },
        identity,
        clock,
        random: createSeededRandom(index + 1),
        log: {
          event: (event, fields) => void events.push({ ...fields, box: name, name: event }),
          request: fields => void requestLog.push({ ...fields, box: name }),
        },
        metrics: createGatewayMetrics(),
        dialect: testDialect,
        store,
        transport: network.join(identity),
        openConnectionPool(address) {
          const pool = new CuttablePool(
            new UpstreamConnectionPool(address, clock),
            clock,
            () => cut,
          )
          pools.push(pool)
          return pool
        },
        async probe(address) {
          if (!cut) return probeConnection(address, clock)
          const time = cut === 'silent' ? CUT_CONNECT_TIME : 0
          await new Promise<void>(resolve => clock.after(time, resolve))
          return false
        },
        onConfiguration: () => {},
      })
      return Object.assign(box, { identity, gateway, entry }) as TestBox
    }),
  )
  for (const { gateway } of boxes) gateway.start()
  const advance = async (duration: Milliseconds) => {
    for (let passed = 0; passed < duration; passed += STEP) await clock.advance(STEP)
  }
  await advance(3_000)
  return {
    clock,
    boxes,
    requestLog,
    events,
    advance,
    async close() {
      for (const { gateway, entry } of boxes) {
        await gateway.stop()
        entry.close()
      }
      for (const upstream of upstreams) upstream.close()
    },
  }
}

/** Loses requests and answers while the path is cut. */
class CuttablePool implements ConnectionPool {
  readonly #running = new Set<() => void>()

  constructor(
    private readonly pool: UpstreamConnectionPool,
    private readonly clock: ManualClock,
    private readonly cut: () => CutMode | undefined,
  ) {}

  get open(): number {
    return this.pool.open
  }

  get idle(): number {
    return this.pool.idle
  }

  send(request: Parameters<ConnectionPool['send']>[0], listener: ExchangeListener) {
    const mode = this.cut()
    if (mode === undefined) return this.#sendThrough(request, listener)
    const timer = this.clock.after(mode === 'silent' ? CUT_CONNECT_TIME : 0, () =>
      listener.onFailure(new UnreachableError(), false),
    )
    return { cancel: () => timer.cancel(), wasSent: false, pause() {}, resume() {} }
  }

  retire(): void {
    this.pool.retire()
  }

  /** Breaks the exchanges that run. */
  breakAll(): void {
    for (const breakOff of this.#running) breakOff()
  }

  #sendThrough(request: Parameters<ConnectionPool['send']>[0], listener: ExchangeListener) {
    const exchange = this.pool.send(request, {
      ...this.#unlessSilent(listener),
      onEnd: () => {
        this.#running.delete(breakOff)
        this.#unlessSilent(listener).onEnd()
      },
      onFailure: (error, wasSent) => {
        this.#running.delete(breakOff)
        this.#unlessSilent(listener).onFailure(error, wasSent)
      },
    })
    const breakOff = () => {
      this.#running.delete(breakOff)
      exchange.cancel()
      this.clock.after(0, () => listener.onFailure(new Error('reset by the cut'), true))
    }
    this.#running.add(breakOff)
    return exchange
  }

  #unlessSilent(listener: ExchangeListener): ExchangeListener {
    const passes = () => this.cut() !== 'silent'
    return {
      onHead: (status, headers) => passes() && listener.onHead(status, headers),
      onChunk: chunk => passes() && listener.onChunk(chunk),
      onEnd: () => passes() && listener.onEnd(),
      onFailure: (error, wasSent) => passes() && listener.onFailure(error, wasSent),
    }
  }
}
