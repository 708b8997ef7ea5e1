import {
  CONFIGURATION_ROW,
  startRowsStandIn,
  writeConfiguration,
  type DeploymentBounds,
} from '@yewkeel/platform/stand-ins'
import { createSeededRandom, createSystemClock, type Random } from '@yewkeel/decisions'
import { Evidence } from './checks/evidence.js'
import { findViolations } from './checks/promises.js'
import type { FaultSpan, Violation } from './checks/seen.js'
import { FAULT_KINDS, PLANNED, type BoxWorld, type World } from './faults/faultKinds.js'
import { startLoopbackProxy } from './faults/loopbackProxy.js'
import { planFaults, type PlannedFault } from './faults/planFaults.js'
import { createBoxProcess, freePorts, type SoakBox } from './world/boxProcess.js'
import { Callers, type CallerTarget } from './world/callers.js'
import {
  Crashes,
  FIRST_SEED_WITH_CRASHES,
  planCrashes,
  type PlannedCrashes,
} from './world/crashes.js'
import { planRollout, Rollout, type PlannedRollout } from './world/rollout.js'
import { planStatements, Statements, type PlannedStatement } from './world/statements.js'
import { Upstreams } from './world/upstreams.js'

export interface SeedOptions {
  seed: number
  /** How long faults are injected, in seconds. */
  seconds: number
  boxes: number
  callers: number
  /** The bundle that runs as a box. */
  program: string
  /** Makes a box; tests put one that breaks a promise in its place. */
  createBox?: typeof createBoxProcess
  /** In place of the seed's own plan. */
  plan?: readonly PlannedFault[]
  /** In place of the seed's own roll-out, if it has one. */
  rollout?: PlannedRollout
  /** In place of the seed's own crashes, if it has some. */
  crashes?: PlannedCrashes
  /** In place of what upstreams say of themselves in the seed. */
  statements?: readonly PlannedStatement[]
}

export interface SeedResult {
  seed: number
  requests: number
  served: number
  faults: number
  /** Upstreams that ended under a request that ends whoever runs it. */
  killed: number
  violations: Violation[]
  /** What the boxes wrote, by box, for a seed that failed. */
  outputs: Record<string, string>
}

/** Bounds of the sites, a little shorter so that a run is. */
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
const DATA_CENTRES = ['ebene', 'curepipe', 'rose-hill']
const UPSTREAMS = ['pool', 'pool', 'pool', 'pool', 'desk', 'desk', 'desk-2', 'desk-2']
/** Boxes have found each other and callers have addresses, in ms. */
const WARM_UP_MS = 1_500
/** Everything works again, and is judged by that, in ms. */
const CALM_MS = 7_000
/** Part of the attempts with a key that was taken away. */
const STALE_KEY_SHARE = 0.05

const sleep = (span: number) => new Promise(resolve => setTimeout(resolve, span))

/** Runs boxes, upstreams and callers under the faults of one seed and says which promises were not kept. */
export async function runSeed(options: SeedOptions): Promise<SeedResult> {
  const { seed, seconds } = options
  const random = createSeededRandom(seed)
  const evidence = new Evidence()
  const { now } = createSystemClock()
  const rows = await startRowsStandIn({ pageSize: 100, feedsWait: true })
  const operators = createOperators(rows, evidence, now)
  const upstreams = new Upstreams({ host: hostOf(seed, 0), rows, random, evidence, now })
  for (const service of UPSTREAMS) await upstreams.add(service)
  const { boxes, targets } = await startBoxes(options, rows.address)
  const key = () => operators.keyFor(random)
  const callers = new Callers({ count: options.callers, seed, random, targets, evidence, key, now })
  const plan = options.plan ?? planFaults(random, seconds * 1_000)
  const planned = options.rollout ?? planRollout(seed, seconds)
  const plannedCrashes = options.crashes ?? planCrashes(seed, seconds)
  const crashes =
    plannedCrashes &&
    new Crashes({ planned: plannedCrashes, targets, upstreams, evidence, random, key, now })
  const statements = new Statements({
    planned: options.statements ?? planStatements(seed, seconds),
    upstreams,
    evidence,
    now,
  })
  const rollout = planned && new Rollout({ planned, rows, upstreams, evidence, now })
  try {
    callers.start()
    await sleep(WARM_UP_MS)
    await rollout?.start()
    crashes?.start()
    statements.start()
    await injectFaults(plan, { boxes, upstreams, rows, random, ...operators }, evidence, now)
    evidence.calmFrom = now()
    await sleep(CALM_MS)
    crashes?.stop()
    statements.stop()
    rollout?.stop()
    await callers.stop()
    evidence.lastListed = new Set(upstreams.places.map(({ standIn }) => standIn.instance))
  } finally {
    for (const { process, callerProxy, storeProxy } of boxes) {
      await process.dispose()
      callerProxy.close()
      storeProxy.close()
    }
    upstreams.close()
    rows.close()
  }
  return resultOf(seed, plan.length, evidence, boxes)
}

function resultOf(
  seed: number,
  faults: number,
  evidence: Evidence,
  boxes: readonly BoxWorld[],
): SeedResult {
  const violations = findViolations(evidence, BOUNDS)
  const attempts = [...evidence.attempts.values()]
  const outputs = boxes.map(({ process }) => [process.box, process.output()])
  return {
    seed,
    requests: attempts.length,
    served: attempts.filter(({ end }) => end?.status === 200 && end.isWhole).length,
    faults,
    killed: evidence.killers.crashes.length,
    violations,
    outputs: violations.length > 0 ? Object.fromEntries(outputs) : {},
  }
}

/** Loopback addresses of a seed's own, so that several seeds run at the same time. */
function hostOf(seed: number, box: number): string {
  return `127.${1 + (process.pid % 250)}.${seed % 256}.${1 + box}`
}

/** In every third of these seeds a paused box is one whose machine is suspended. */
function isSuspendedIn(seed: number): boolean {
  return seed >= FIRST_SEED_WITH_CRASHES && seed % 3 === 0
}

async function startBoxes(
  { seed, boxes: count, program, createBox = createBoxProcess }: SeedOptions,
  storeAddress: string,
): Promise<{ boxes: BoxWorld[]; targets: CallerTarget[] }> {
  const boxes: BoxWorld[] = []
  const targets: CallerTarget[] = []
  for (let index = 0; index < count; index++) {
    const ip = hostOf(seed, 1 + index)
    const [entry, readiness, directory, peers] = await freePorts(ip, 4)
    const ports = { entry: entry!, readiness: readiness!, directory: directory!, peers: peers! }
    const storeProxy = await startLoopbackProxy(ip, () => storeAddress)
    const callerProxy = await startLoopbackProxy(ip, () => `${ip}:${entry}`)
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!
    const box = `box-${index}`
    const place = { box, dataCentre, ip, ports, storeAddress: storeProxy.address }
    const process: SoakBox = createBox(program, place, BOUNDS, isSuspendedIn(seed))
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

/** The operators: keys that come and go, and a route that moves between two services. */
function createOperators(
  rows: Awaited<ReturnType<typeof startRowsStandIn>>,
  evidence: Evidence,
  now: () => number,
) {
  let version = 1
  let key = 'key-1'
  let service = 'desk'
  const taken: string[] = []
  const write = () => rows.put(...CONFIGURATION_ROW, writeConfiguration(++version, [key], service))
  write()
  return {
    keyFor: (random: Random) =>
      taken.length > 0 && random() < STALE_KEY_SHARE
        ? taken[Math.floor(random() * taken.length)]!
        : key,
    changeKey() {
      const before = key
      key = `key-${version + 1}`
      write()
      taken.push(before)
      evidence.keyChanges.push({ key: before, takenAwayAt: now() })
    },
    moveRoute() {
      const before = service
      service = before === 'desk' ? 'desk-2' : 'desk'
      write()
      evidence.routeMoves.push({ service, before, at: now() })
    },
  }
}

/** Each fault of the plan begins at its time and ends after its own, whatever the others do. */
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
    if (!PLANNED.has(fault.kind)) evidence.faults.push(span)
    const strike = await FAULT_KINDS[fault.kind]!(world)
    if (strike.box !== undefined) span.box = strike.box
    ends.push(
      sleep(fault.lasts).then(async () => {
        await strike.end()
        span.until = now()
      }),
    )
  }
  await Promise.all(ends)
}
