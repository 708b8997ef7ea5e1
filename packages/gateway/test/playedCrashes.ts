import { createSeededRandom, type ListedUpstream, type Milliseconds } from '@yewkeel/decisions'
import type { ExchangeListener, OpenChannels, RawHeaders } from '../src/index.js'
import { createFleet, type Fleet, type FleetBox } from './testFleet.js'
import { createPlayedDialect, headerOf } from './playedDialect.js'
import { createTestRoute } from './testGateway.js'

export type RouteName = 'chat' | 'tag' | 'check' | 'hold'

/** A request that ends each upstream that runs it, sent again and again. */
export interface Killer {
  route: RouteName
  every: Milliseconds
  /** It comes to so many boxes at the same moment. */
  copies?: number
  from?: Milliseconds
}

export interface CrashPlay {
  killers?: readonly Killer[]
  seed?: number
  boxes?: number
  duration?: Milliseconds
  /** Part of the good requests that are one and the same, 0 to 1. */
  popular?: number
  /** Good requests a second of all callers. */
  rate?: number
  /** What else goes wrong, and when. */
  trouble?: readonly { at: Milliseconds; strike(world: CrashWorld): void | Promise<void> }[]
}

/** What may be done to the world while crashes are played. */
export interface CrashWorld {
  fleet: Fleet
  upstreams: PlayedUpstream[]
  /** Ends the processes of a share of a service's upstreams. */
  crash(service: string, share: number): void
}

/** What became of one killer. */
export interface KillerRecord {
  /** When it was sent to an upstream. */
  sent: Milliseconds[]
  /** When an upstream ended under it. */
  crashes: Milliseconds[]
  statuses: number[]
}

export interface PlayedCrashes {
  killers: KillerRecord[]
  /** Good requests that came to their end, by when they were sent. */
  good: { at: Milliseconds; route: RouteName; isServed: boolean }[]
  /** Good requests that were taken for killers. */
  wronglyCondemned: number
  crashes: number
  fleet: Fleet
}

const STARTED_BY: Milliseconds = 3_000
const BACK_AFTER: Milliseconds = 2_500
/** The entry of a process that ended stands for so long. */
const LISTED_FOR: Milliseconds = 3_600
const POOL = 10
const DESK = 4
/** A killer's run begins after the first, and ends its upstream after the second. */
const BEGINS_AFTER: Milliseconds = 20
const CRASHES_AFTER: Milliseconds = 60
const FIRST_EVENT: Milliseconds = 30
const PACE: Milliseconds = 30
const PIECES = { chat: 24, tag: 4 }
const CALL_TIME: Milliseconds = 8
const TIME_LEFT: Milliseconds = 8_000
const ROUTES: RouteName[] = ['chat', 'chat', 'chat', 'tag', 'check', 'hold']

const dialect = createPlayedDialect(get => ({ key: get('key')!, timeLeft: TIME_LEFT }))

/** An upstream in memory, and the answers that are under way at its present process. */
export class PlayedUpstream {
  run = 1
  isDown = false
  readonly running = new Set<{ fail(): void }>()

  constructor(
    readonly name: string,
    readonly service: string,
    readonly dataCentre: string,
  ) {}
}

/** Plays killers and crashes before a fleet of boxes. */
export async function playCrashes(options: CrashPlay): Promise<PlayedCrashes> {
  const { killers = [], seed = 1, boxes = 6, duration = 24_000 } = options
  const { popular = 0, rate = 40, trouble = [] } = options
  const random = createSeededRandom(seed)
  const records: KillerRecord[] = killers.map(() => ({ sent: [], crashes: [], statuses: [] }))
  const upstreams = [
    ...Array.from({ length: POOL }, (_, at) => createUpstream('pool', at)),
    ...Array.from({ length: DESK }, (_, at) => createUpstream('desk', at)),
  ]
  const fleet = createFleet(['ebene', 'le-morne'], {
    dialect,
    seed,
    configuration: {
      revision: 1,
      routes: [
        streamRoute('chat', true),
        streamRoute('tag', false),
        createTestRoute({ name: 'check', prefix: '/check/', kind: 'unsafe' }),
        createTestRoute({ name: 'hold', prefix: '/hold/', kind: 'safe' }),
      ],
      services: ['pool', 'desk'].map(name => ({ name, healthPath: '/', maxConnections: 400 })),
      limits: { bodyBytes: 1_000, headerTimeout: 1_000, idleTimeout: 1_000 },
    },
    openChannels: address => channelsOf(upstreams.find(({ name }) => name === address)!),
    probe: address => Promise.resolve(!upstreams.find(({ name }) => name === address)!.isDown),
  })
  const { clock, store } = fleet
  let crashCount = 0

  function channelsOf(upstream: PlayedUpstream): ReturnType<OpenChannels> {
    return {
      open: 0,
      idle: 0,
      retire() {},
      send(request, listener) {
        if (upstream.isDown) {
          const refused = Object.assign(new Error('refused'), { code: 'ECONNREFUSED' })
          clock.after(1, () => listener.onFailure(refused, false))
          return { cancel() {} }
        }
        const answer = new PlayedRun(upstream, listener)
        const killer = /^killer (\d+)$/.exec(request.body.toString())
        if (killer) runKiller(upstream, answer, records[Number(killer[1])]!)
        else runGood(answer, request.target.split('/')[1] as RouteName, request.headers)
        return { cancel: () => answer.end() }
      },
    }
  }

  function runKiller(upstream: PlayedUpstream, answer: PlayedRun, record: KillerRecord): void {
    record.sent.push(clock.now())
    clock.after(BEGINS_AFTER + CRASHES_AFTER * (0.8 + 0.4 * random()), () => {
      if (answer.isOver) return
      record.crashes.push(clock.now())
      crash(upstream)
    })
  }

  function runGood(answer: PlayedRun, route: RouteName, headers: RawHeaders): void {
    if (route === 'check' || route === 'hold') {
      clock.after(CALL_TIME, () => answer.finish())
      return
    }
    const first = Number(headerOf(headers, 'last-event-id') ?? 0) + 1
    const next = (id: number) => {
      if (answer.isOver) return
      answer.piece(id)
      if (id >= PIECES[route]) answer.finish()
      else clock.after(PACE * (0.8 + 0.4 * random()), () => next(id + 1))
    }
    clock.after(FIRST_EVENT, () => next(first))
  }

  function crash(upstream: PlayedUpstream): void {
    if (upstream.isDown) return
    crashCount++
    upstream.isDown = true
    const { run } = upstream
    for (const answer of [...upstream.running]) answer.fail()
    clock.after(BACK_AFTER, () => {
      upstream.run++
      upstream.isDown = false
      list()
    })
    clock.after(LISTED_FOR, () => list(`${upstream.name}/${run}`))
  }

  const listed = new Map<string, ListedUpstream>()
  function list(without?: string): void {
    if (without !== undefined) listed.delete(without)
    for (const { name, run, service, dataCentre } of upstreams) {
      const id = `${name}/${run}`
      if (listed.has(id) || id === without) continue
      listed.set(id, {
        id,
        service,
        address: name,
        dataCentre,
        version: 'v1',
        slots: 64,
        state: 'ready',
        revision: ++store.version,
      })
    }
    store.version++
    store.upstreams = [...listed.values()]
  }

  const good: PlayedCrashes['good'] = []
  let attempts = 0
  function ask(
    box: FleetBox,
    route: RouteName,
    body: string,
    onEnd: (isServed: boolean, status: number | undefined) => void,
  ): void {
    let status: number | undefined
    let isOver = false
    const end = (isWhole: boolean) => {
      if (isOver) return
      isOver = true
      onEnd(isWhole && status === 200, status)
    }
    box.gateway.handle(
      {
        method: 'POST',
        host: '127.0.0.1',
        target: `/${route}/1`,
        headers: ['id', `r${++attempts}`, 'key', 'belle-mare'],
        body: Buffer.from(body),
        receivedAt: clock.now(),
      },
      {
        start: code => void (status = code),
        write() {},
        end: () => end(true),
        abort: () => end(false),
        onGone() {},
      },
    )
  }

  const anyBox = () => {
    const serving = fleet.boxes.filter(({ gateway }) => gateway.isReady())
    return serving[Math.floor(random() * serving.length)]
  }

  const end = STARTED_BY + duration
  const askGood = () => {
    if (clock.now() >= end) return
    clock.after((-Math.log(1 - random()) * 1_000) / rate, askGood)
    const box = anyBox()
    if (!box) return
    const at = clock.now()
    const route = ROUTES[Math.floor(random() * ROUTES.length)]!
    const body = random() < popular ? 'popular' : `good ${attempts}`
    ask(box, route, body, isServed => void good.push({ at, route, isServed }))
  }

  const askKiller = (killer: Killer, number: number) => {
    if (clock.now() >= end) return
    clock.after(killer.every, () => askKiller(killer, number))
    const first = Math.floor(random() * boxes)
    for (let copy = 0; copy < (killer.copies ?? 1); copy++) {
      const box = fleet.boxes[(first + copy) % fleet.boxes.length]!
      if (!box.gateway.isReady()) continue
      ask(box, killer.route, `killer ${number}`, (_isServed, status) => {
        if (status !== undefined) records[number]!.statuses.push(status)
      })
    }
  }

  fleet.add(boxes)
  list()
  await clock.advance(STARTED_BY)
  const world: CrashWorld = {
    fleet,
    upstreams,
    crash(service, share) {
      const members = upstreams.filter(upstream => upstream.service === service)
      for (const upstream of members.slice(0, Math.ceil(members.length * share))) crash(upstream)
    },
  }
  for (const { at, strike } of trouble) clock.after(at, () => void strike(world))
  clock.after(0, askGood)
  killers.forEach((killer, number) =>
    clock.after(killer.from ?? 4_000, () => askKiller(killer, number)),
  )
  await clock.advance(duration + TIME_LEFT)
  await fleet.stop()
  const condemned = fleet.lines.filter(({ outcome }) => outcome === 'condemned')
  const answered = records.reduce((sum, { statuses }) => sum + statuses.length, 0)
  const digests = new Set(condemned.map(({ request }) => request))
  return {
    killers: records,
    good,
    wronglyCondemned:
      answered === 0 ? condemned.length : Math.max(0, digests.size - killers.length),
    crashes: crashCount,
    fleet,
  }
}

function createUpstream(service: string, at: number): PlayedUpstream {
  return new PlayedUpstream(`${service}-${at}`, service, at % 2 === 0 ? 'ebene' : 'le-morne')
}

function streamRoute(name: 'chat' | 'tag', isResumable: boolean) {
  return createTestRoute({
    name,
    prefix: `/${name}/`,
    kind: 'streaming',
    isResumable,
    pauseObjective: 1_000,
    latencyObjective: 1_500,
    timeout: TIME_LEFT,
    targets: [{ service: 'pool', weight: 1 }],
  })
}

/** One answer under way. */
class PlayedRun {
  isOver = false
  #hasHead = false

  constructor(
    private readonly upstream: PlayedUpstream,
    private readonly listener: ExchangeListener,
  ) {
    upstream.running.add(this)
  }

  piece(id: number): void {
    if (!this.#hasHead) this.listener.onHead(200, [])
    this.#hasHead = true
    this.listener.onChunk(Buffer.from(`id: ${id}\ndata: x\n\n`))
  }

  finish(): void {
    if (this.isOver) return
    if (!this.#hasHead) this.listener.onHead(200, [])
    this.end()
    this.listener.onEnd()
  }

  fail(): void {
    if (this.isOver) return
    this.end()
    this.listener.onFailure(new Error('other side closed'), true)
  }

  end(): void {
    this.isOver = true
    this.upstream.running.delete(this)
  }
}

/** Sends of a killer later than `within` after the third upstream had ended under it. */
export function lateSends({ sent, crashes }: KillerRecord, within: Milliseconds): number {
  const third = crashes[2]
  return third === undefined ? 0 : sent.filter(at => at > third + within).length
}

/** Part of the good requests of a kind sent in a span of the play that were served, 0 to 1. */
export function servedShare(
  { good }: PlayedCrashes,
  routes: readonly RouteName[],
  from: Milliseconds,
  to: Milliseconds,
): number {
  const some = good.filter(
    ({ at, route }) => routes.includes(route) && at >= STARTED_BY + from && at < STARTED_BY + to,
  )
  return some.filter(({ isServed }) => isServed).length / some.length
}
