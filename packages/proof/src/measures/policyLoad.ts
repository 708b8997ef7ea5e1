/** Choice of upstream and admission under load, through the product's own functions. */
import { PoolUses } from '@yewkeel/box'
import {
  admit,
  chooseUpstream,
  createSeededRandom,
  createUpstreamView,
  hashText,
  ManualClock,
  noteEnded,
  noteFirstToken,
  noteReport,
  noteSent,
  noteSuccess,
  predictFirstToken,
  predictLoad,
  predictQueue,
  PrefixMap,
  type AdmissionRequest,
  type Milliseconds,
  type Random,
  type RequestOutlook,
  type UpstreamStrategyName,
  type UpstreamView,
} from '@yewkeel/decisions'
import { LoadEngine } from './loadWorld.js'
import { quantileOf, type RowCollector } from './measureRow.js'
import {
  drawCount,
  drawGap,
  drawKind,
  drawOrganisation,
  type Workload,
  type WorkloadKind,
} from './workload.js'

const POLICIES: UpstreamStrategyName[] = [
  'predicted',
  'round-robin',
  'random',
  'least-reported',
  'two-choices',
]
const LOADS = [0.5, 0.8, 0.95, 1.2]
const LAGS: Milliseconds[] = [100, 1_000, 5_000]
const REPORT_EVERY: Milliseconds = 500
const GOSSIP_EVERY: Milliseconds = 500
const SPAN: Milliseconds = 120_000
const WARM_UP: Milliseconds = 30_000
/** An answer whose first token comes later than this helps nobody. */
const FIRST_TOKEN_DEADLINE: Milliseconds = 10_000
const HOLD_IN_TIME: Milliseconds = 300
const CALL_WORK: Milliseconds = 40
const HOLD_SHARE = 0.15
const TOKEN_MILLISECONDS = 20
const PREFILL = 20
const CACHE_BLOCKS = 96

interface LoadBox {
  views: UpstreamView[]
  services: UpstreamView[]
  prefixes: PrefixMap
  uses: PoolUses
  turn: number
}

interface Session {
  kind: WorkloadKind
  organisation: string
  blocks: number[]
  promptTokens: number
  turnsLeft: number
}

interface LoadResult {
  firstTokens: number[]
  totals: number[]
  goodTokens: number
  capacityTokens: number
  holds: number
  holdsInTime: number
  asked: number
  refused: number
}

/** Runs every policy, load and lag. Baselines have no admission; `predicted` has the product's. */
export function measureLoad(
  workload: Workload,
  seed: number,
  quick: boolean,
  rows: RowCollector,
): void {
  for (const load of quick ? [0.95, 1.2] : LOADS) {
    for (const lag of quick ? [1_000] : LAGS) {
      for (const policy of POLICIES) {
        addRows(rows, workload, load, lag, policy, runLoad(workload, seed, load, lag, policy))
      }
    }
  }
}

function addRows(
  rows: RowCollector,
  workload: Workload,
  load: number,
  lag: Milliseconds,
  policy: UpstreamStrategyName,
  result: LoadResult,
): void {
  const labels = {
    workload: workload.name,
    case: `${load * 100} % of capacity, reports ${lag / 1_000} s late`,
    policy: policy === 'predicted' ? 'yewkeel' : policy,
  }
  const add = (metric: string, unit: string, value: number) =>
    rows.add({ ...labels, metric, unit }, value)
  add('firstTokenP50', 'ms', quantileOf(result.firstTokens, 0.5))
  add('firstTokenP95', 'ms', quantileOf(result.firstTokens, 0.95))
  add('firstTokenP99', 'ms', quantileOf(result.firstTokens, 0.99))
  add('totalP99', 'ms', quantileOf(result.totals, 0.99))
  add('goodput', 'share of capacity', result.goodTokens / result.capacityTokens)
  add('holdsInTime', 'share of holds', result.holds === 0 ? 1 : result.holdsInTime / result.holds)
  add('refusedShare', 'share of requests', result.refused / result.asked)
}

function runLoad(
  workload: Workload,
  seed: number,
  load: number,
  lag: Milliseconds,
  policy: UpstreamStrategyName,
): LoadResult {
  const clock = new ManualClock()
  const random = createSeededRandom(seed)
  const world = createWorld(workload, clock)
  const result: LoadResult = {
    firstTokens: [],
    totals: [],
    goodTokens: 0,
    capacityTokens: 0,
    holds: 0,
    holdsInTime: 0,
    asked: 0,
    refused: 0,
  }
  startReports(world, clock, lag)
  startGossip(world, clock)
  const capacity = capacityOf(workload)
  runArrivals(clock, random, capacity.completionsPerSecond * load, () =>
    askCompletion(workload, world, clock, random, policy, result),
  )
  runArrivals(clock, random, capacity.callsPerSecond * load, () =>
    askCall(world, clock, random, policy, result),
  )
  clock.advanceSync(SPAN)
  result.capacityTokens = (capacity.tokensPerSecond * (SPAN - WARM_UP)) / 1_000
  return result
}

interface LoadWorld {
  engines: LoadEngine[]
  services: LoadEngine[]
  boxes: LoadBox[]
  sessions: Session[]
}

function createWorld(workload: Workload, clock: ManualClock): LoadWorld {
  const { engines, slots, serviceRunners, boxes, dataCentres } = workload
  const engineOptions = {
    slots,
    tokenMilliseconds: TOKEN_MILLISECONDS,
    prefillTokensPerMillisecond: PREFILL,
    cacheBlocks: CACHE_BLOCKS,
  }
  const serviceOptions = {
    ...engineOptions,
    tokenMilliseconds: CALL_WORK,
    prefillTokensPerMillisecond: 1_000,
  }
  const viewsOf = (prefix: string, count: number) =>
    Array.from({ length: count }, (_, index) =>
      createUpstreamView({
        id: `${prefix}-${index}`,
        kind: prefix === 'engine' ? 'engine' : 'service',
        address: `${prefix}-${index}`,
        dataCentre: `dc-${index % dataCentres}`,
        slots,
      }),
    )
  return {
    engines: Array.from({ length: engines }, () => new LoadEngine(clock, engineOptions)),
    services: Array.from({ length: serviceRunners }, () => new LoadEngine(clock, serviceOptions)),
    boxes: Array.from({ length: boxes }, () => ({
      views: viewsOf('engine', engines),
      services: viewsOf('service', serviceRunners).map(view => ({
        ...view,
        requestMilliseconds: CALL_WORK,
        firstTokenMilliseconds: 1,
      })),
      prefixes: new PrefixMap(),
      uses: new PoolUses(),
      turn: 0,
    })),
    sessions: [],
  }
}

/** What the engines can do with a full batch, prompts uncached but for what every prompt of a kind shares. */
function capacityOf(workload: Workload) {
  const { kinds, engines, slots, serviceRunners } = workload
  const shares = kinds.reduce((sum, kind) => sum + kind.share, 0)
  const mean = (valueOf: (kind: WorkloadKind) => number) =>
    kinds.reduce((sum, kind) => sum + (kind.share / shares) * valueOf(kind), 0)
  const fullBatch = 1.6
  const busy = mean(
    kind => (kind.promptTokens / PREFILL + kind.completionTokens * TOKEN_MILLISECONDS) * fullBatch,
  )
  const completionsPerSecond = (engines * slots * 1_000) / busy
  return {
    completionsPerSecond,
    tokensPerSecond: completionsPerSecond * mean(kind => kind.completionTokens),
    callsPerSecond: (serviceRunners * slots * 1_000) / (CALL_WORK * fullBatch),
  }
}

function startReports(world: LoadWorld, clock: ManualClock, lag: Milliseconds): void {
  const report = () => {
    const at = clock.now()
    const loads = world.engines.map(engine => engine.load)
    const serviceLoads = world.services.map(service => service.load)
    clock.after(lag, () => {
      for (const box of world.boxes) {
        box.views.forEach((view, index) => noteReport(view, { at, ...loads[index]! }))
        box.services.forEach((view, index) => noteReport(view, { at, ...serviceLoads[index]! }))
      }
    })
    clock.after(REPORT_EVERY, report)
  }
  report()
}

/** Heartbeats: what each box has under way at each upstream. */
function startGossip(world: LoadWorld, clock: ManualClock): void {
  const totalsOf = (pick: (box: LoadBox) => UpstreamView[]) =>
    pick(world.boxes[0]!).map((_view, index) =>
      world.boxes.reduce((sum, box) => sum + pick(box)[index]!.inFlight, 0),
    )
  const tell = () => {
    for (const pick of [(box: LoadBox) => box.views, (box: LoadBox) => box.services]) {
      const totals = totalsOf(pick)
      for (const box of world.boxes) {
        pick(box).forEach((view, index) => (view.peersInFlight = totals[index]! - view.inFlight))
      }
    }
    clock.after(GOSSIP_EVERY, tell)
  }
  tell()
}

function runArrivals(clock: ManualClock, random: Random, perSecond: number, ask: () => void): void {
  const next = () => {
    ask()
    clock.after(drawGap(perSecond, random), next)
  }
  clock.after(drawGap(perSecond, random), next)
}

function nextSession(workload: Workload, world: LoadWorld, random: Random): Session {
  const kind = drawKind(workload, random)
  const running = world.sessions.filter(session => session.kind === kind)
  const share = (kind.turns - 1) / kind.turns
  const session = running[Math.floor(random() * running.length)]
  if (session && random() < share) return session
  const organisation = drawOrganisation(workload, random)
  const blocks = Array.from({ length: kind.sharedPromptTokens / 256 }, (_, index) =>
    hashText(`${organisation}/${kind.name}/${index}`),
  )
  const created = {
    kind,
    organisation,
    blocks,
    promptTokens: kind.sharedPromptTokens,
    turnsLeft: kind.turns,
  }
  if (kind.turns > 1) world.sessions.push(created)
  return created
}

function askCompletion(
  workload: Workload,
  world: LoadWorld,
  clock: ManualClock,
  random: Random,
  policy: UpstreamStrategyName,
  result: LoadResult,
): void {
  const session = nextSession(workload, world, random)
  const { kind, organisation } = session
  const box = world.boxes[Math.floor(random() * world.boxes.length)]!
  const completionTokens = drawCount(kind.completionTokens, random)
  session.promptTokens += drawCount(kind.promptTokens, random)
  while (session.blocks.length < Math.floor(session.promptTokens / 256)) {
    session.blocks.push(hashText(`${organisation}/${session.blocks.length}/${random()}`))
  }
  if (--session.turnsLeft <= 0) world.sessions = world.sessions.filter(other => other !== session)
  const cached = box.prefixes.match(session.blocks)
  const request = {
    dataCentre: '',
    promptTokens: session.promptTokens,
    cachedTokensOf: (id: string) => cached.get(id) ?? 0,
  }
  const isCounted = clock.now() > WARM_UP
  if (isCounted) result.asked++
  const share = workload.organisations.find(other => other.name === organisation)!.share
  const admission: AdmissionRequest = {
    organisation,
    priority: kind.completionTokens > 200 ? 'low' : 'normal',
    isCall: false,
    deadline: clock.now() + FIRST_TOKEN_DEADLINE,
  }
  const affine = box.views.filter(view => cached.has(view.id))
  const view = chooseAndAdmit(box, 'engines', { affine, request, admission, policy }, clock, random)
  if (!view) {
    if (isCounted) result.refused++
    return
  }
  const askedAt = clock.now()
  const queue = predictQueue(view, askedAt)
  noteSent(view, askedAt)
  box.uses.add('engines', organisation, share)
  box.prefixes.note(session.blocks, view.id)
  let firstTokenAfter = 0
  world.engines[box.views.indexOf(view)]!.submit({
    priority: 5,
    blocks: [...session.blocks],
    promptTokens: session.promptTokens,
    completionTokens,
    onFirstToken() {
      firstTokenAfter = clock.now() - askedAt
      noteFirstToken(view, firstTokenAfter, queue)
      if (isCounted) result.firstTokens.push(firstTokenAfter)
    },
    onEnd() {
      noteEnded(view, clock.now())
      noteSuccess(view, clock.now() - askedAt)
      box.uses.remove('engines', organisation)
      if (isCounted) result.totals.push(clock.now() - askedAt)
      // By when it ended: what long answers began before the count makes up for what ends after it.
      const isUseful = firstTokenAfter <= FIRST_TOKEN_DEADLINE
      if (clock.now() > WARM_UP && isUseful) result.goodTokens += completionTokens
    },
  })
}

/** A call to the booking service: a look at what is free, or a hold that must be in time. */
function askCall(
  world: LoadWorld,
  clock: ManualClock,
  random: Random,
  policy: UpstreamStrategyName,
  result: LoadResult,
): void {
  const box = world.boxes[Math.floor(random() * world.boxes.length)]!
  const isHold = random() < HOLD_SHARE
  const request = { dataCentre: '', promptTokens: 0, cachedTokensOf: () => 0 }
  const isCounted = clock.now() > WARM_UP
  if (isCounted && isHold) result.holds++
  const admission: AdmissionRequest = {
    organisation: 'all',
    priority: 'normal',
    isCall: isHold,
    deadline: clock.now() + FIRST_TOKEN_DEADLINE,
  }
  const asked = { affine: [], request, admission, policy }
  const view = chooseAndAdmit(box, 'services', asked, clock, random)
  if (!view) return
  const askedAt = clock.now()
  noteSent(view, askedAt)
  world.services[box.services.indexOf(view)]!.submit({
    priority: 5,
    blocks: [],
    promptTokens: 1,
    completionTokens: 1,
    onFirstToken() {},
    onEnd() {
      noteEnded(view, clock.now())
      noteSuccess(view, clock.now() - askedAt)
      if (isCounted && isHold && clock.now() - askedAt <= HOLD_IN_TIME) result.holdsInTime++
    },
  })
}

type PoolName = 'engines' | 'services'

interface AskedRequest {
  affine: UpstreamView[]
  request: RequestOutlook
  admission: AdmissionRequest
  policy: UpstreamStrategyName
}

/** The upstream that the policy chooses. Only the product's own policy has affinity and admission. */
function chooseAndAdmit(
  box: LoadBox,
  poolName: PoolName,
  { affine, request, admission, policy }: AskedRequest,
  clock: ManualClock,
  random: Random,
): UpstreamView | undefined {
  const now = clock.now()
  const pool = poolName === 'engines' ? box.views : box.services
  const isPredicted = policy === 'predicted'
  const view = chooseUpstream(policy, {
    pool,
    affine: isPredicted ? affine : [],
    request,
    excluded: new Set(),
    now,
    random,
    turn: box.turn++,
  })
  if (!view || !isPredicted) return view
  const outlook = poolOutlook(box, pool, predictFirstToken(view, request, now), poolName, now)
  return admit(admission, outlook, now) ? undefined : view
}

function poolOutlook(
  box: LoadBox,
  views: readonly UpstreamView[],
  firstToken: Milliseconds,
  pool: PoolName,
  now: Milliseconds,
) {
  let load = 0
  let slots = 0
  for (const view of views) {
    load += predictLoad(view, now)
    slots += view.slots
  }
  const takesCalls = pool === 'services'
  return { firstToken, utilisation: load / slots, takesCalls, uses: box.uses.usesOf(pool) }
}
