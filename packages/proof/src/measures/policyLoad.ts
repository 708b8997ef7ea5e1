/** Latency and goodput of upstream selection and admission in a simulation under load. */
import { PoolUses } from '@yewkeel/box'
import {
  admit,
  chooseUpstream,
  createSeededRandom,
  createUpstreamView,
  hashText,
  ManualClock,
  recordEnd,
  recordFirstToken,
  recordReport,
  recordSend,
  recordSuccess,
  predictFirstToken,
  predictLoad,
  predictQueue,
  PrefixMap,
  type AdmissionRequest,
  type Milliseconds,
  type Random,
  type RequestProfile,
  type UpstreamStrategyName,
  type UpstreamView,
} from '@yewkeel/decisions'
import { SimulatedEngine } from './simulatedEngine.js'
import { quantileOf, type RowCollector } from './measureRow.js'
import {
  drawTokenCount,
  drawInterarrivalTime,
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
const REPORT_LAGS: Milliseconds[] = [100, 1_000, 5_000]
const REPORT_INTERVAL: Milliseconds = 500
const GOSSIP_INTERVAL: Milliseconds = 500
const RUN_DURATION: Milliseconds = 120_000
const WARM_UP_DURATION: Milliseconds = 30_000
/** Tokens of a completion count as goodput only if its first token meets this deadline. */
const FIRST_TOKEN_DEADLINE: Milliseconds = 10_000
/** Response time within which a hold of the booking service counts as in time. */
const HOLD_LATENCY_OBJECTIVE: Milliseconds = 300
const CALL_DURATION: Milliseconds = 40
const HOLD_FRACTION = 0.15
const MILLISECONDS_PER_TOKEN = 20
const PREFILL_TOKENS_PER_MILLISECOND = 20
const CACHE_BLOCKS = 96

interface SimulatedBox {
  engineViews: UpstreamView[]
  serviceViews: UpstreamView[]
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
  responseTimes: number[]
  goodTokens: number
  capacityTokens: number
  holds: number
  holdsInTime: number
  requestCount: number
  refused: number
}

/** Runs every policy, load and report lag. Only `predicted` has prefix affinity and admission. */
export function measureLoad(
  workload: Workload,
  seed: number,
  quick: boolean,
  rows: RowCollector,
): void {
  for (const load of quick ? [0.95, 1.2] : LOADS) {
    for (const reportLag of quick ? [1_000] : REPORT_LAGS) {
      for (const policy of POLICIES) {
        addRows(
          rows,
          workload,
          load,
          reportLag,
          policy,
          runLoad(workload, seed, load, reportLag, policy),
        )
      }
    }
  }
}

function addRows(
  rows: RowCollector,
  workload: Workload,
  load: number,
  reportLag: Milliseconds,
  policy: UpstreamStrategyName,
  result: LoadResult,
): void {
  const labels = {
    workload: workload.name,
    case: `${load * 100} % of capacity, reports ${reportLag / 1_000} s late`,
    policy: policy === 'predicted' ? 'yewkeel' : policy,
  }
  const add = (metric: string, unit: string, value: number) =>
    rows.add({ ...labels, metric, unit }, value)
  add('firstTokenP50', 'ms', quantileOf(result.firstTokens, 0.5))
  add('firstTokenP95', 'ms', quantileOf(result.firstTokens, 0.95))
  add('firstTokenP99', 'ms', quantileOf(result.firstTokens, 0.99))
  add('totalP99', 'ms', quantileOf(result.responseTimes, 0.99))
  add('goodput', 'share of capacity', result.goodTokens / result.capacityTokens)
  add('holdsInTime', 'share of holds', result.holds === 0 ? 1 : result.holdsInTime / result.holds)
  add('refusedShare', 'share of requests', result.refused / result.requestCount)
}

function runLoad(
  workload: Workload,
  seed: number,
  load: number,
  reportLag: Milliseconds,
  policy: UpstreamStrategyName,
): LoadResult {
  const clock = new ManualClock()
  const random = createSeededRandom(seed)
  const simulation = createSimulation(workload, clock)
  const result: LoadResult = {
    firstTokens: [],
    responseTimes: [],
    goodTokens: 0,
    capacityTokens: 0,
    holds: 0,
    holdsInTime: 0,
    requestCount: 0,
    refused: 0,
  }
  startReports(simulation, clock, reportLag)
  startGossip(simulation, clock)
  const capacity = capacityOf(workload)
  runArrivals(clock, random, capacity.completionsPerSecond * load, () =>
    sendCompletion(workload, simulation, clock, random, policy, result),
  )
  runArrivals(clock, random, capacity.callsPerSecond * load, () =>
    sendCall(simulation, clock, random, policy, result),
  )
  clock.advanceSync(RUN_DURATION)
  result.capacityTokens = (capacity.tokensPerSecond * (RUN_DURATION - WARM_UP_DURATION)) / 1_000
  return result
}

interface LoadSimulation {
  engines: SimulatedEngine[]
  services: SimulatedEngine[]
  boxes: SimulatedBox[]
  sessions: Session[]
}

function createSimulation(workload: Workload, clock: ManualClock): LoadSimulation {
  const { engines, slots, serviceRunners, boxes, dataCentres } = workload
  const engineOptions = {
    slots,
    tokenMilliseconds: MILLISECONDS_PER_TOKEN,
    prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND,
    cacheBlocks: CACHE_BLOCKS,
  }
  const serviceOptions = {
    ...engineOptions,
    tokenMilliseconds: CALL_DURATION,
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
    engines: Array.from({ length: engines }, () => new SimulatedEngine(clock, engineOptions)),
    services: Array.from(
      { length: serviceRunners },
      () => new SimulatedEngine(clock, serviceOptions),
    ),
    boxes: Array.from({ length: boxes }, () => ({
      engineViews: viewsOf('engine', engines),
      serviceViews: viewsOf('service', serviceRunners).map(view => ({
        ...view,
        requestMilliseconds: CALL_DURATION,
        firstTokenMilliseconds: 1,
      })),
      prefixes: new PrefixMap(),
      uses: new PoolUses(),
      turn: 0,
    })),
    sessions: [],
  }
}

/** Throughput with full batches, when only the shared prefix of each kind is cached. */
function capacityOf(workload: Workload) {
  const { kinds, engines, slots, serviceRunners } = workload
  const shares = kinds.reduce((sum, kind) => sum + kind.share, 0)
  const mean = (valueOf: (kind: WorkloadKind) => number) =>
    kinds.reduce((sum, kind) => sum + (kind.share / shares) * valueOf(kind), 0)
  const fullBatchSlowdown = 1.6
  const slotMilliseconds = mean(
    kind =>
      (kind.promptTokens / PREFILL_TOKENS_PER_MILLISECOND +
        kind.completionTokens * MILLISECONDS_PER_TOKEN) *
      fullBatchSlowdown,
  )
  const completionsPerSecond = (engines * slots * 1_000) / slotMilliseconds
  return {
    completionsPerSecond,
    tokensPerSecond: completionsPerSecond * mean(kind => kind.completionTokens),
    callsPerSecond: (serviceRunners * slots * 1_000) / (CALL_DURATION * fullBatchSlowdown),
  }
}

function startReports(
  simulation: LoadSimulation,
  clock: ManualClock,
  reportLag: Milliseconds,
): void {
  const report = () => {
    const at = clock.now()
    const loads = simulation.engines.map(engine => engine.load)
    const serviceLoads = simulation.services.map(service => service.load)
    clock.after(reportLag, () => {
      for (const box of simulation.boxes) {
        box.engineViews.forEach((view, index) => recordReport(view, { at, ...loads[index]! }))
        box.serviceViews.forEach((view, index) =>
          recordReport(view, { at, ...serviceLoads[index]! }),
        )
      }
    })
    clock.after(REPORT_INTERVAL, report)
  }
  report()
}

/** Sends every box the other boxes' requests in flight at each upstream, once per interval. */
function startGossip(simulation: LoadSimulation, clock: ManualClock): void {
  const totalsOf = (viewsIn: (box: SimulatedBox) => UpstreamView[]) =>
    viewsIn(simulation.boxes[0]!).map((_view, index) =>
      simulation.boxes.reduce((sum, box) => sum + viewsIn(box)[index]!.inFlight, 0),
    )
  const exchange = () => {
    for (const viewsIn of [
      (box: SimulatedBox) => box.engineViews,
      (box: SimulatedBox) => box.serviceViews,
    ]) {
      const totals = totalsOf(viewsIn)
      for (const box of simulation.boxes) {
        viewsIn(box).forEach((view, index) => (view.peersInFlight = totals[index]! - view.inFlight))
      }
    }
    clock.after(GOSSIP_INTERVAL, exchange)
  }
  exchange()
}

function runArrivals(
  clock: ManualClock,
  random: Random,
  perSecond: number,
  sendRequest: () => void,
): void {
  const next = () => {
    sendRequest()
    clock.after(drawInterarrivalTime(perSecond, random), next)
  }
  clock.after(drawInterarrivalTime(perSecond, random), next)
}

function nextSession(workload: Workload, simulation: LoadSimulation, random: Random): Session {
  const kind = drawKind(workload, random)
  const openSessions = simulation.sessions.filter(session => session.kind === kind)
  const continuationFraction = (kind.turns - 1) / kind.turns
  const session = openSessions[Math.floor(random() * openSessions.length)]
  if (session && random() < continuationFraction) return session
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
  if (kind.turns > 1) simulation.sessions.push(created)
  return created
}

function sendCompletion(
  workload: Workload,
  simulation: LoadSimulation,
  clock: ManualClock,
  random: Random,
  policy: UpstreamStrategyName,
  result: LoadResult,
): void {
  const session = nextSession(workload, simulation, random)
  const { kind, organisation } = session
  const box = simulation.boxes[Math.floor(random() * simulation.boxes.length)]!
  const completionTokens = drawTokenCount(kind.completionTokens, random)
  session.promptTokens += drawTokenCount(kind.promptTokens, random)
  while (session.blocks.length < Math.floor(session.promptTokens / 256)) {
    session.blocks.push(hashText(`${organisation}/${session.blocks.length}/${random()}`))
  }
  if (--session.turnsLeft <= 0)
    simulation.sessions = simulation.sessions.filter(other => other !== session)
  const cached = box.prefixes.match(session.blocks)
  const request = {
    dataCentre: '',
    promptTokens: session.promptTokens,
    cachedTokensOf: (id: string) => cached.get(id) ?? 0,
  }
  const isCounted = clock.now() > WARM_UP_DURATION
  if (isCounted) result.requestCount++
  const share = workload.organisations.find(other => other.name === organisation)!.share
  const admission: AdmissionRequest = {
    organisation,
    priority: kind.completionTokens > 200 ? 'low' : 'normal',
    isCall: false,
    deadline: clock.now() + FIRST_TOKEN_DEADLINE,
  }
  const affine = box.engineViews.filter(view => cached.has(view.id))
  const view = chooseAndAdmit(box, 'engines', { affine, request, admission, policy }, clock, random)
  if (!view) {
    if (isCounted) result.refused++
    return
  }
  const sentAt = clock.now()
  const queue = predictQueue(view, sentAt)
  recordSend(view, sentAt)
  box.uses.add('engines', organisation, share)
  box.prefixes.record(session.blocks, view.id)
  let firstTokenAfter = 0
  simulation.engines[box.engineViews.indexOf(view)]!.submit({
    priority: 5,
    blocks: [...session.blocks],
    promptTokens: session.promptTokens,
    completionTokens,
    onFirstToken() {
      firstTokenAfter = clock.now() - sentAt
      recordFirstToken(view, firstTokenAfter, queue)
      if (isCounted) result.firstTokens.push(firstTokenAfter)
    },
    onEnd() {
      recordEnd(view, clock.now())
      recordSuccess(view, clock.now() - sentAt)
      box.uses.remove('engines', organisation)
      if (isCounted) result.responseTimes.push(clock.now() - sentAt)
      // Counted by end time: answers begun in the warm-up make up for those that end after the run.
      const isUseful = firstTokenAfter <= FIRST_TOKEN_DEADLINE
      if (clock.now() > WARM_UP_DURATION && isUseful) result.goodTokens += completionTokens
    },
  })
}

/** Sends a call to the booking service: an availability query or a hold with a latency objective. */
function sendCall(
  simulation: LoadSimulation,
  clock: ManualClock,
  random: Random,
  policy: UpstreamStrategyName,
  result: LoadResult,
): void {
  const box = simulation.boxes[Math.floor(random() * simulation.boxes.length)]!
  const isHold = random() < HOLD_FRACTION
  const request = { dataCentre: '', promptTokens: 0, cachedTokensOf: () => 0 }
  const isCounted = clock.now() > WARM_UP_DURATION
  if (isCounted && isHold) result.holds++
  const admission: AdmissionRequest = {
    organisation: 'all',
    priority: 'normal',
    isCall: isHold,
    deadline: clock.now() + FIRST_TOKEN_DEADLINE,
  }
  const input = { affine: [], request, admission, policy }
  const view = chooseAndAdmit(box, 'services', input, clock, random)
  if (!view) return
  const sentAt = clock.now()
  recordSend(view, sentAt)
  simulation.services[box.serviceViews.indexOf(view)]!.submit({
    priority: 5,
    blocks: [],
    promptTokens: 1,
    completionTokens: 1,
    onFirstToken() {},
    onEnd() {
      recordEnd(view, clock.now())
      recordSuccess(view, clock.now() - sentAt)
      if (isCounted && isHold && clock.now() - sentAt <= HOLD_LATENCY_OBJECTIVE)
        result.holdsInTime++
    },
  })
}

type PoolName = 'engines' | 'services'

interface RoutingInput {
  affine: UpstreamView[]
  request: RequestProfile
  admission: AdmissionRequest
  policy: UpstreamStrategyName
}

/** The upstream that the policy chooses; undefined when there is none or admission refuses. */
function chooseAndAdmit(
  box: SimulatedBox,
  poolName: PoolName,
  { affine, request, admission, policy }: RoutingInput,
  clock: ManualClock,
  random: Random,
): UpstreamView | undefined {
  const now = clock.now()
  const pool = poolName === 'engines' ? box.engineViews : box.serviceViews
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
  box: SimulatedBox,
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
