import {
  createBox,
  hashKey,
  NO_METRICS,
  NO_TRACER,
  settingsSchema,
  SILENT_LOG,
  type Box,
  type CallerRequest,
  type Responder,
  type SettingsInput,
} from '@yewkeel/box'
import {
  createSeededRandom,
  ManualClock,
  sleep,
  type Milliseconds,
  type Random,
  type TableRow,
  type TableService,
} from '@yewkeel/decisions'
import {
  BoxList,
  Engine,
  MemoryTable,
  PlainService,
  RatingService,
  WeightStore,
  type EngineOptions,
  type ListedMachine,
  type StandInHandler,
} from '@yewkeel/stand-ins'
import { createMemoryClient, MemoryNetwork } from './memoryNetwork.js'
import { PausableClock } from './pausableClock.js'

/** Options of one engine of a virtual system. */
export type VirtualEngine = Omit<EngineOptions, 'clock' | 'random' | 'ratings' | 'weights'> & {
  dataCentre: string
}

export interface VirtualSystemOptions {
  seed: number
  boxCount: number
  dataCentres: number
  engines: VirtualEngine[]
  services?: { name: string; dataCentre: string }[]
  rows: TableRow[]
  /** One-way latency between data centres. @default 1.5 */
  crossDataCentreLatency?: Milliseconds
  /** Round-trip latency of the store. @default 4 */
  storeLatency?: Milliseconds
  ratings?: { delay?: Milliseconds; coverage?: number }
  settings?: Partial<SettingsInput>
}

/** Answer that a caller received. */
export interface CallerAnswer {
  status: number
  headers: Record<string, string>
  body: string
  /** The connection closed before the answer was complete. */
  broken: boolean
  timeToFirstByte: Milliseconds
  duration: Milliseconds
}

/** Request of a caller. */
export interface CallerRequestOptions {
  method?: string
  path: string
  headers?: Record<string, string>
  body?: string
  /** The caller closes the connection after this time. */
  timeout?: Milliseconds
}

/** A box of a virtual system, with its fault injection. */
export interface VirtualBox {
  box: Box
  name: string
  dataCentre: string
  clock: PausableClock
  storeLink: { cut: boolean }
  dead: boolean
  /** Callbacks that break the connections of open requests. */
  disconnectCallbacks: Set<() => void>
}

export const ORGANISATIONS = ['belle-mare', 'le-morne', 'tamarin', 'flic-en-flac']

/** API key of an organisation's callers. */
export function callerKeyOf(organisation: string): string {
  return `key-of-${organisation}`
}

/** Complete boxes with in-process stand-ins for upstreams and store, on a manual clock. */
export class VirtualSystem {
  readonly clock = new ManualClock()
  readonly random: Random
  readonly table: MemoryTable
  readonly ratings: RatingService
  readonly boxList: BoxList
  readonly network: MemoryNetwork
  readonly engines = new Map<string, Engine>()
  readonly services = new Map<string, PlainService>()
  readonly boxes: VirtualBox[] = []
  readonly #handlers = new Map<string, StandInHandler>()
  readonly #upstreams: ListedMachine[] = []
  #incarnations = 0

  constructor(readonly options: VirtualSystemOptions) {
    const { clock } = this
    const random = createSeededRandom(options.seed)
    this.random = random
    this.table = new MemoryTable({ clock, random, latency: options.storeLatency ?? 4 })
    this.ratings = new RatingService({ clock, random, ...options.ratings })
    this.boxList = new BoxList({ clock, random })
    this.network = new MemoryNetwork(clock, options.crossDataCentreLatency ?? 1.5)
    const weights = new WeightStore({ clock })
    for (const { dataCentre, ...engine } of options.engines) {
      const created = new Engine({ clock, random, ratings: this.ratings, weights, ...engine })
      this.engines.set(engine.id, created)
      this.#addUpstream(engine.id, created.handler, {
        role: 'engine',
        dataCentre,
        slots: created.slots,
      })
    }
    for (const { name, dataCentre } of options.services ?? []) {
      const created = new PlainService({ clock, random })
      this.services.set(name, created)
      this.#addUpstream(name, created.handler, { role: 'service', dataCentre, slots: 16 })
    }
  }

  /** Starts all boxes, submits the table and waits until the boxes have applied it. */
  async start(): Promise<void> {
    for (let index = 0; index < this.options.boxCount; index++) this.addBox(index)
    this.#publishBoxList()
    this.boxList.publishNow()
    this.boxes.forEach(({ box }) => void box.start())
    await this.clock.advance(6_000)
    const outcome = this.submit(0, this.options.rows, 'first')
    await this.clock.advance(2_000)
    if ((await outcome).outcome !== 'accepted')
      throw new Error('the initial table was not accepted; check the rows option')
    await this.clock.advance(3_000)
  }

  /**
   * Replaces the handler of an upstream and returns the previous one. Without a handler,
   * connections to the upstream are refused.
   */
  setHandler(name: string, handler: StandInHandler | undefined): StandInHandler | undefined {
    const previous = this.#handlers.get(name)
    if (handler) this.#handlers.set(name, handler)
    else this.#handlers.delete(name)
    return previous
  }

  /** Creates a box without starting it; replaces the box of the same index, if any. */
  addBox(index: number): VirtualBox {
    const name = `box-${index + 1}`
    const dataCentre = `dc-${(index % this.options.dataCentres) + 1}`
    const clock = new PausableClock(this.clock)
    const storeLink = { cut: false }
    const identity = {
      box: name,
      incarnation: String(++this.#incarnations),
      dataCentre,
      entryAddress: `${name}:entry`,
      peerAddress: `${name}:peers`,
    }
    const settings = settingsSchema.parse(this.#settingsFor(name, dataCentre))
    settings.peers.seeds = this.#peerAddresses()
    const client = createMemoryClient(
      { clock: this.clock, handlers: this.#handlers, latency: 1 },
      clock,
    )
    const box = createBox({
      settings,
      identity,
      clock,
      random: createSeededRandom(this.options.seed * 1_000 + this.#incarnations),
      platform: {
        table: deferAnswers(this.table.connect(storeLink), clock),
        listMachines: () => this.#listMachines(),
        readRatings: (cursor, router) => this.#readRatings(cursor, router),
      },
      client,
      transport: this.network.join(identity, clock),
      log: SILENT_LOG,
      metrics: NO_METRICS,
      tracer: NO_TRACER,
    })
    const created = {
      box,
      name,
      dataCentre,
      clock,
      storeLink,
      dead: false,
      disconnectCallbacks: new Set<() => void>(),
    }
    this.boxes[index] = created
    return created
  }

  /** Kills a box at once and breaks the connections of its callers. */
  kill(index: number): void {
    const target = this.boxes[index]!
    target.dead = true
    target.clock.pause()
    target.box.kill()
    this.network.leave(target.box.identity.peerAddress)
    for (const disconnect of [...target.disconnectCallbacks]) disconnect()
  }

  /** Starts a new incarnation of a killed or stopped box. */
  restart(index: number): void {
    void this.addBox(index).box.start()
  }

  /** Proposes a table change at a box, on top of the revision that this box has applied. */
  submit(index: number, rows: TableRow[], changeId: string) {
    const { table } = this.boxes[index]!.box.services
    const baseRevision = table.state.table.revision
    return table.propose({
      changeId,
      author: 'operator',
      baseRevision,
      upserts: rows,
      removals: [],
    })
  }

  /** Sends a caller's request to a box. Resolves also when the connection breaks. */
  sendRequest(index: number, options: CallerRequestOptions): Promise<CallerAnswer> {
    const target = this.boxes[index]!
    const startedAt = this.clock.now()
    const answer: CallerAnswer = {
      status: 0,
      headers: {},
      body: '',
      broken: false,
      timeToFirstByte: 0,
      duration: 0,
    }
    if (target.dead) return Promise.resolve({ ...answer, broken: true })
    return new Promise(resolve => {
      const disconnection = new AbortController()
      let isDone = false
      const finish = (broken: boolean) => {
        if (isDone) return
        isDone = true
        target.disconnectCallbacks.delete(disconnect)
        if (broken && !target.dead) disconnection.abort()
        resolve({ ...answer, broken, duration: this.clock.now() - startedAt })
      }
      const disconnect = () => finish(true)
      target.disconnectCallbacks.add(disconnect)
      if (options.timeout !== undefined) this.clock.after(options.timeout, disconnect)
      const append = (chunk: Uint8Array | string) => {
        if (isDone || target.dead) return
        if (answer.body === '') answer.timeToFirstByte = this.clock.now() - startedAt
        answer.body += typeof chunk === 'string' ? chunk : Buffer.from(chunk).toString()
      }
      const responder: Responder = {
        start(status, headers) {
          answer.status = status
          answer.headers = headers
        },
        write: append,
        end(chunk) {
          if (chunk !== undefined) append(chunk)
          if (!target.dead) finish(false)
        },
      }
      const request: CallerRequest = {
        method: options.method ?? 'POST',
        path: options.path,
        headers: options.headers ?? {},
        body: options.body ?? '',
        signal: disconnection.signal,
      }
      target.clock.runOrDefer(() => void target.box.handle(request, responder))
    })
  }

  #settingsFor(box: string, dataCentre: string): SettingsInput {
    return {
      box,
      dataCentre,
      entry: { listen: '127.0.0.1:1' },
      operators: { listen: '127.0.0.1:1' },
      peers: {
        listen: '127.0.0.1:1',
        seeds: [],
        secret: 'shared-by-the-boxes-of-a-test',
      },
      platform: { table: '127.0.0.1:1' },
      organisations: ORGANISATIONS.map(name => ({ name, keys: [hashKey(callerKeyOf(name))] })),
      sessionKeys: [{ id: 'first', secret: 'signs-the-sessions-of-a-test' }],
      addressLifetimeMilliseconds: 2_000,
      ...this.options.settings,
    }
  }

  #addUpstream(
    name: string,
    handler: StandInHandler,
    listed: Omit<ListedMachine, 'name' | 'address' | 'state'>,
  ): void {
    this.#handlers.set(name, handler)
    this.#upstreams.push({ name, address: name, state: 'live', ...listed })
  }

  #peerAddresses(): string[] {
    return Array.from({ length: this.options.boxCount }, (_, index) => `box-${index + 1}:peers`)
  }

  #publishBoxList(): void {
    const entries = this.boxes.map(({ name, dataCentre }): ListedMachine => ({
      name,
      role: 'entry',
      address: `${name}:peers`,
      dataCentre,
      state: 'live',
    }))
    this.boxList.set([...this.#upstreams, ...entries])
  }

  async #listMachines() {
    await sleep(this.clock, 2)
    return this.boxList.faults.down ? undefined : this.boxList.boxes
  }

  async #readRatings(cursor: number, router: string) {
    await sleep(this.clock, 2)
    return this.ratings.faults.down ? undefined : this.ratings.ratingsAfter(cursor, router)
  }
}

/** Defers answers of the store while the box is paused. */
function deferAnswers(table: TableService, clock: PausableClock): TableService {
  const afterPause = async <T>(answer: Promise<T>): Promise<T> => {
    const value = await answer
    await clock.whenResumed()
    return value
  }
  return {
    read: keys => afterPause(table.read(keys)),
    list: (prefix, options) => afterPause(table.list(prefix, options)),
    commit: transaction => afterPause(table.commit(transaction)),
  }
}
