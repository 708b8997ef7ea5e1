import { isDeepStrictEqual } from 'node:util'
import {
  CONFIGURATION_ROW,
  startRowsStandIn,
  writeConfiguration,
  type DeploymentBounds,
} from '@yewkeel/platform/stand-ins'
import { createSeededRandom, createSystemClock, type Random } from '@yewkeel/decisions'
import { Evidence } from './checks/evidence.js'
import { findViolations } from './checks/guarantees.js'
import { judgedPhases } from './checks/hardLoadChecks.js'
import type { FaultSpan, Violation } from './checks/observations.js'
import { worstRetryWindows, type ServiceRetryWindow } from './checks/retryBudgetCheck.js'
import { observedStreams, type ObservedStream } from './checks/streamEnding.js'
import { FAULT_KINDS, PLANNED_CHANGES, type ProxiedBox, type World } from './faults/faultKinds.js'
import { startLoopbackProxy } from './faults/loopbackProxy.js'
import { planBudgetFaults, planFaults, type PlannedFault } from './faults/planFaults.js'
import {
  createBoxProcess,
  findFreePorts,
  type BoxPreloads,
  type SoakBox,
} from './world/boxProcess.js'
import { Callers, type CallerTarget } from './world/callers.js'
import {
  Crashes,
  FIRST_SEED_WITH_CRASHES,
  planCrashes,
  type PlannedCrashes,
} from './world/crashes.js'
import { DeadlyParts, planDeadlyPart, type PlannedDeadlyPart } from './world/deadlyParts.js'
import { planEarlyEnds } from './world/earlyEnds.js'
import { planRollout, Rollout, type PlannedRollout } from './world/rollout.js'
import {
  planAdvertisements,
  Advertisements,
  type PlannedAdvertisement,
} from './world/advertisements.js'
import { planStoreReturns, StoreReturns, type PlannedStoreReturn } from './world/storeReturns.js'
import {
  cutLetsConnectionsLive,
  FIRST_SEED_WITH_PATH_CUTS,
  PathCuts,
  planPathCuts,
  type PlannedPathCut,
} from './world/pathCuts.js'
import { BoxWatch } from './world/boxWatch.js'
import { CROWD_MEMORY_MEGABYTES, planCrowds } from './world/crowds.js'
import {
  HARD_LOAD_UPSTREAMS,
  hardLoadCapacity,
  NARROW_SLOTS,
  planHardLoad,
  type PlannedHardLoad,
} from './world/hardLoad.js'
import { LoadCallers, waitUntilServing } from './world/loadCallers.js'
import { SlowCallers } from './world/slowCallers.js'
import { Upstreams } from './world/upstreams.js'

export interface SeedOptions {
  seed: number
  /** How long faults are injected, in seconds. */
  seconds: number
  boxes: number
  callers: number
  /** Time in ms between the starts of a caller's attempts; by default it waits after each end. */
  callerInterval?: number
  /** Time in ms after which upstreams close idle connections. */
  keepAlive?: number
  /** Path of the program that runs as a box. */
  program: string
  /** Engines beyond the usual ones; none by default. */
  moreEngines?: number
  /** Defaults to a process of `program`. */
  createBox?: typeof createBoxProcess
  /** Replaces the faults planned for the seed. */
  plan?: readonly PlannedFault[]
  /** Replaces the rollout planned for the seed, if any. */
  rollout?: PlannedRollout
  /** Replaces the crashes planned for the seed, if any. */
  crashes?: PlannedCrashes
  /** Replaces the deadly part planned for the seed, if any. */
  deadlyPart?: PlannedDeadlyPart
  /** Fraction of the streams that have neither a length nor chunks; none by default. */
  unframedShare?: number
  /** Fraction of these that end early, in order, at an upstream that lives on; none by default. */
  earlyEndShare?: number
  /** Replaces the advertisements of upstreams planned for the seed. */
  advertisements?: readonly PlannedAdvertisement[]
  /** Replaces the returns of the store from a copy planned for the seed. */
  storeReturns?: readonly PlannedStoreReturn[]
  /** Replaces the lost paths planned for the seed. */
  pathCuts?: readonly PlannedPathCut[]
  /** Replaces the hard load planned for the seed, if any. */
  hardLoad?: PlannedHardLoad
}

export interface SeedResult {
  seed: number
  requests: number
  served: number
  faults: number
  /** Upstreams that crashed under a poison request. */
  killed: number
  /**
   * Requests with the deadly part that reached upstreams, the upstreams that crashed under them, and
   * those whose answer looked whole.
   */
  deadlyPart: { arrivals: number; crashes: number; seenWhole: number }
  streams: ObservedStream[]
  /** The window of each service in which repeats came closest to their budget, or exceeded it most. */
  retryWindows: ServiceRetryWindow[]
  /** Bursts and floods in which the machine was idle enough to judge them. */
  judgedPhases: number
  violations: Violation[]
  /** Output of each box; empty if there were no violations. */
  outputs: Record<string, string>
}

/** Shorter than in a real deployment, to keep runs short. */
const BOUNDS: DeploymentBounds = {
  keyRevocation: 5_000,
  newsWithin: 2_000,
  stopWithin: 6_000,
  retryRatio: 0.9,
  retrySlack: 50,
  retryWindow: 10_000,
  exposureShare: 0.15,
  exposureSlack: 30,
  rollBackWithin: 5_000,
}
/** Memory of a box of a seed with hard load. */
const HARD_LOAD_MEMORY_MEGABYTES = 200
const DATA_CENTRES = ['ebene', 'curepipe', 'rose-hill']
/** The service that answers streams. */
const ENGINES = 'pool'
const UPSTREAM_SERVICES = ['pool', 'pool', 'pool', 'pool', 'desk', 'desk', 'desk-2', 'desk-2']
/** Time for boxes to discover each other and for callers to get addresses. */
const WARM_UP_MS = 1_500
/** Time without faults at the end, in which the boxes must recover. */
const FAULT_FREE_MS = 7_000
/** Fraction of the attempts that use a revoked key. */
const REVOKED_KEY_FRACTION = 0.05

const sleep = (span: number) => new Promise(resolve => setTimeout(resolve, span))

/** Runs boxes, upstreams and callers under the faults of one seed and reports violations. */
export async function runSeed(options: SeedOptions): Promise<SeedResult> {
  const { seed, seconds } = options
  const random = createSeededRandom(seed)
  const evidence = new Evidence()
  const { now } = createSystemClock()
  const rows = await startRowsStandIn({ pageSize: 100, usesLongPolling: true })
  const hardLoad = options.hardLoad ?? planHardLoad(seed, seconds)
  const crowds = planCrowds(seed, seconds * 1_000)
  const bounds = boundsOf(hardLoad !== undefined, crowds.length > 0)
  const operators = createOperators(rows, evidence, now, hardLoad !== undefined)
  const plannedPart = options.deadlyPart ?? planDeadlyPart(seed)
  const plannedEnds = planEarlyEnds(seed)
  const earlyEndShare = options.earlyEndShare ?? plannedEnds?.earlyEndShare ?? 0
  /** This fault lasts as long as the seed. */
  const hasEarlyEnds = earlyEndShare > 0
  const upstreams = new Upstreams({
    host: loopbackAddress(seed, 0),
    rows,
    random,
    evidence,
    now,
    unframedShare:
      options.unframedShare ?? plannedPart?.unframedShare ?? plannedEnds?.unframedShare ?? 0,
    earlyEndShare,
    deadlyEnding: plannedPart?.ending,
    timesLonger: plannedPart?.timesLonger,
    ...(hardLoad && {
      capacityOf: (service, index) => hardLoadCapacity(hardLoad, service, index),
    }),
    ...(options.keepAlive !== undefined && {
      capacityOf: () => ({ keepAlive: options.keepAlive! }),
    }),
  })
  const moreEngines = Array.from({ length: options.moreEngines ?? 0 }, () => ENGINES)
  for (const service of [...UPSTREAM_SERVICES, ...moreEngines]) await upstreams.add(service)
  if (hardLoad) await addHardLoadUpstreams(hardLoad, upstreams, evidence)
  const { boxes, targets } = await startBoxes(options, bounds, rows.address)
  const key = () => operators.pickKey(random)
  const callers = new Callers({
    count: options.callers,
    interval: options.callerInterval,
    seed,
    random,
    targets,
    evidence,
    key,
    now,
  })
  const plan =
    options.plan ??
    [
      ...planFaults(random, seconds * 1_000),
      ...planBudgetFaults(seed, seconds * 1_000),
      ...crowds,
    ].sort((one, other) => one.at - other.at)
  const planned = options.rollout ?? planRollout(seed, seconds)
  const plannedCrashes = options.crashes ?? planCrashes(seed, seconds)
  const crashes =
    plannedCrashes &&
    new Crashes({ planned: plannedCrashes, targets, upstreams, evidence, random, key, now })
  const deadlyParts =
    plannedPart && new DeadlyParts({ planned: plannedPart, targets, evidence, random, key, now })
  const advertisements = new Advertisements({
    planned: options.advertisements ?? planAdvertisements(seed, seconds),
    upstreams,
    evidence,
    now,
  })
  const storeReturns = new StoreReturns({
    planned: options.storeReturns ?? planStoreReturns(seed, seconds),
    rows,
    evidence,
    now,
    writeLostOperatorRows() {
      operators.writeLostRows()
      rollout?.writeLostOrder()
    },
    writeUpstreamRows: () => upstreams.writeRowsAgain(),
  })
  const pathCuts = new PathCuts({
    planned: options.pathCuts ?? planPathCuts(seed, seconds),
    boxes: boxes.map(({ process }) => process),
    evidence,
    now,
  })
  const rollout = planned && new Rollout({ planned, rows, upstreams, evidence, now })
  try {
    callers.start()
    await sleep(WARM_UP_MS)
    if (hardLoad) await waitUntilServing(targets)
    const load = hardLoad && startHardLoad(hardLoad, options, boxes, targets, evidence, now)
    const watch = crowds.length > 0 ? watchBoxes(boxes, evidence, now) : undefined
    await load?.calm
    await rollout?.start()
    crashes?.start()
    deadlyParts?.start()
    advertisements.start()
    storeReturns.start()
    pathCuts.start()
    await injectFaults(
      plan,
      { boxes, upstreams, callers, rows, random, ...operators },
      evidence,
      now,
    )
    pathCuts.stop()
    watch?.stop()
    if (!hasEarlyEnds) evidence.faultsEndedAt = now()
    await load?.stop()
    await sleep(FAULT_FREE_MS)
    crashes?.stop()
    deadlyParts?.stop()
    advertisements.stop()
    storeReturns.stop()
    rollout?.stop()
    await callers.stop()
    for (const { process } of boxes)
      if (process.unexpectedExits() > 0) evidence.unexpectedExits.push(process.box)
    evidence.finalInstances = new Set(upstreams.slots.map(({ standIn }) => standIn.instance))
  } finally {
    for (const { process, callerProxy, storeProxy } of boxes) {
      await process.dispose()
      callerProxy.close()
      storeProxy.close()
    }
    upstreams.close()
    rows.close()
  }
  return resultOf(seed, plan.length, evidence, boxes, bounds)
}

function boundsOf(hasHardLoad: boolean, hasCrowds: boolean): DeploymentBounds {
  if (hasHardLoad) return { ...BOUNDS, memoryMegabytes: HARD_LOAD_MEMORY_MEGABYTES }
  return hasCrowds ? { ...BOUNDS, memoryMegabytes: CROWD_MEMORY_MEGABYTES } : BOUNDS
}

const watchBoxes = (boxes: readonly ProxiedBox[], evidence: Evidence, now: () => number) =>
  new BoxWatch(
    boxes.map(({ process }) => process),
    evidence,
    now,
  )

function resultOf(
  seed: number,
  faults: number,
  evidence: Evidence,
  boxes: readonly ProxiedBox[],
  bounds: DeploymentBounds,
): SeedResult {
  const violations = findViolations(evidence, bounds)
  const attempts = [...evidence.attempts.values()]
  const outputs = boxes.map(({ process }) => [process.box, process.output()])
  return {
    seed,
    requests: attempts.length,
    served: attempts.filter(({ end }) => end?.status === 200 && end.isWhole).length,
    faults,
    killed: evidence.poisonRequests.crashes.length,
    deadlyPart: {
      arrivals: evidence.arrivals.filter(({ id }) => evidence.deadlyRequests.boxes.has(id)).length,
      crashes: evidence.deadlyRequests.crashes.length,
      seenWhole: evidence.deadlyRequests.seenWhole.length,
    },
    streams: observedStreams(attempts),
    retryWindows: worstRetryWindows(evidence, bounds),
    judgedPhases: judgedPhases(evidence).length,
    violations,
    outputs: violations.length > 0 ? Object.fromEntries(outputs) : {},
  }
}

async function addHardLoadUpstreams(
  { paces }: PlannedHardLoad,
  upstreams: Upstreams,
  evidence: Evidence,
): Promise<void> {
  for (const [service, count] of Object.entries(HARD_LOAD_UPSTREAMS))
    for (let added = 0; added < count; added++) await upstreams.add(service)
  evidence.narrowPlaces = HARD_LOAD_UPSTREAMS.narrow * NARROW_SLOTS
  upstreams.slots
    .filter(({ service }) => service === 'paced')
    .forEach(({ standIn }, index) => evidence.toldPaces.set(standIn.instance, paces[index]!.kind))
}

/** Starts hard load. `calm` resolves when faults may begin. */
function startHardLoad(
  { phases, slowCallers: planned, calmDuration }: PlannedHardLoad,
  { seed }: SeedOptions,
  boxes: readonly ProxiedBox[],
  targets: readonly CallerTarget[],
  evidence: Evidence,
  now: () => number,
) {
  const loadCallers = new LoadCallers({ seed, phases, targets, evidence, now })
  const slowCallers = new SlowCallers({ planned, targets })
  const watch = watchBoxes(boxes, evidence, now)
  evidence.calm = { from: now(), until: now() + calmDuration }
  loadCallers.start()
  slowCallers.start()
  return {
    calm: sleep(calmDuration),
    async stop() {
      await loadCallers.stop()
      slowCallers.stop()
      watch.stop()
    },
  }
}

/** A loopback address that differs by process, seed and box, so that seeds can run in parallel. */
function loopbackAddress(seed: number, box: number): string {
  return `127.${1 + (process.pid % 250)}.${seed % 256}.${1 + box}`
}

/** What is preloaded into the boxes of a seed; nothing in low seeds, so that regressions replay unchanged. */
function preloadsOf(seed: number): BoxPreloads {
  const upstreamHost = loopbackAddress(seed, 0)
  const hasCuts = seed >= FIRST_SEED_WITH_PATH_CUTS
  return {
    isSuspended: seed >= FIRST_SEED_WITH_CRASHES && seed % 3 === 0,
    ...(hasCuts && { severable: { upstreamHost, livesOn: cutLetsConnectionsLive(seed) } }),
  }
}

async function startBoxes(
  { seed, boxes: count, program, createBox = createBoxProcess }: SeedOptions,
  bounds: DeploymentBounds,
  storeAddress: string,
): Promise<{ boxes: ProxiedBox[]; targets: CallerTarget[] }> {
  const boxes: ProxiedBox[] = []
  const targets: CallerTarget[] = []
  for (let index = 0; index < count; index++) {
    const ip = loopbackAddress(seed, 1 + index)
    // The proxies listen first: a port that is found free would else be given to one of them.
    const storeProxy = await startLoopbackProxy(ip, () => storeAddress)
    const callerProxy = await startLoopbackProxy(ip, () => `${ip}:${ports.entry}`)
    const [entry, readiness, directory, peers] = await findFreePorts(ip, 4)
    const ports = { entry: entry!, readiness: readiness!, directory: directory!, peers: peers! }
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!
    const box = `box-${index}`
    const place = { box, dataCentre, ip, ports, storeAddress: storeProxy.address }
    const process: SoakBox = createBox(program, place, bounds, preloadsOf(seed))
    process.start()
    boxes.push({ process, callerProxy, storeProxy })
    targets.push({
      box,
      entryAddress: `${ip}:${entry}`,
      proxyAddress: callerProxy.address,
      directoryAddress: `${ip}:${directory}`,
    })
  }
  return { boxes, targets }
}

/** Writes the configuration: rotates the API key and moves a route between two services. */
function createOperators(
  rows: Awaited<ReturnType<typeof startRowsStandIn>>,
  evidence: Evidence,
  now: () => number,
  hasHardLoad: boolean,
) {
  let version = 1
  let key = 'key-1'
  let service = 'desk'
  const revoked: string[] = []
  const read = () => writeConfiguration(version, [key], service, hasHardLoad)
  const write = () => {
    version++
    rows.put(...CONFIGURATION_ROW, read())
  }
  write()
  return {
    /** Writes the configuration again if the store has lost it. */
    writeLostRows() {
      const content = read()
      if (!isDeepStrictEqual(rows.read(...CONFIGURATION_ROW), content))
        rows.put(...CONFIGURATION_ROW, content)
    },
    pickKey: (random: Random) =>
      revoked.length > 0 && random() < REVOKED_KEY_FRACTION
        ? revoked[Math.floor(random() * revoked.length)]!
        : key,
    changeKey() {
      const previousKey = key
      key = `key-${version + 1}`
      write()
      revoked.push(previousKey)
      evidence.keyRevocations.push({ key: previousKey, revokedAt: now() })
    },
    moveRoute() {
      const previousService = service
      service = previousService === 'desk' ? 'desk-2' : 'desk'
      write()
      evidence.routeMoves.push({ service, previousService, at: now() })
    },
  }
}

/** Injects the planned faults, which may overlap, and resolves when all have ended. */
async function injectFaults(
  plan: readonly PlannedFault[],
  world: World,
  evidence: Evidence,
  now: () => number,
): Promise<void> {
  const startedAt = now()
  const ends: Promise<void>[] = []
  for (const fault of plan) {
    await sleep(startedAt + fault.at - now())
    const span: FaultSpan = { kind: fault.kind, from: now(), until: Infinity }
    if (!PLANNED_CHANGES.has(fault.kind)) evidence.faults.push(span)
    const activeFault = await FAULT_KINDS[fault.kind]!(world)
    if (activeFault.box !== undefined) span.box = activeFault.box
    void activeFault.exited?.then(() => (span.exitedAt = now()))
    ends.push(
      sleep(fault.duration).then(async () => {
        await activeFault.end()
        span.until = now()
      }),
    )
  }
  await Promise.all(ends)
}
