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
import type { FaultSpan, Violation } from './checks/observations.js'
import { FAULT_KINDS, PLANNED_CHANGES, type ProxiedBox, type World } from './faults/faultKinds.js'
import { startLoopbackProxy } from './faults/loopbackProxy.js'
import { planFaults, type PlannedFault } from './faults/planFaults.js'
import { createBoxProcess, findFreePorts, type SoakBox } from './world/boxProcess.js'
import { Callers, type CallerTarget } from './world/callers.js'
import {
  Crashes,
  FIRST_SEED_WITH_CRASHES,
  planCrashes,
  type PlannedCrashes,
} from './world/crashes.js'
import { planRollout, Rollout, type PlannedRollout } from './world/rollout.js'
import {
  planAdvertisements,
  Advertisements,
  type PlannedAdvertisement,
} from './world/advertisements.js'
import { planStoreReturns, StoreReturns, type PlannedStoreReturn } from './world/storeReturns.js'
import { Upstreams } from './world/upstreams.js'

export interface SeedOptions {
  seed: number
  /** How long faults are injected, in seconds. */
  seconds: number
  boxes: number
  callers: number
  /** Path of the program that runs as a box. */
  program: string
  /** Defaults to a process of `program`. */
  createBox?: typeof createBoxProcess
  /** Replaces the faults planned for the seed. */
  plan?: readonly PlannedFault[]
  /** Replaces the rollout planned for the seed, if any. */
  rollout?: PlannedRollout
  /** Replaces the crashes planned for the seed, if any. */
  crashes?: PlannedCrashes
  /** Replaces the advertisements of upstreams planned for the seed. */
  advertisements?: readonly PlannedAdvertisement[]
  /** Replaces the returns of the store from a copy planned for the seed. */
  storeReturns?: readonly PlannedStoreReturn[]
}

export interface SeedResult {
  seed: number
  requests: number
  served: number
  faults: number
  /** Upstreams that crashed under a poison request. */
  killed: number
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
const DATA_CENTRES = ['ebene', 'curepipe', 'rose-hill']
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
  const operators = createOperators(rows, evidence, now)
  const upstreams = new Upstreams({ host: loopbackAddress(seed, 0), rows, random, evidence, now })
  for (const service of UPSTREAM_SERVICES) await upstreams.add(service)
  const { boxes, targets } = await startBoxes(options, rows.address)
  const key = () => operators.pickKey(random)
  const callers = new Callers({ count: options.callers, seed, random, targets, evidence, key, now })
  const plan = options.plan ?? planFaults(random, seconds * 1_000)
  const planned = options.rollout ?? planRollout(seed, seconds)
  const plannedCrashes = options.crashes ?? planCrashes(seed, seconds)
  const crashes =
    plannedCrashes &&
    new Crashes({ planned: plannedCrashes, targets, upstreams, evidence, random, key, now })
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
  const rollout = planned && new Rollout({ planned, rows, upstreams, evidence, now })
  try {
    callers.start()
    await sleep(WARM_UP_MS)
    await rollout?.start()
    crashes?.start()
    advertisements.start()
    storeReturns.start()
    await injectFaults(plan, { boxes, upstreams, rows, random, ...operators }, evidence, now)
    evidence.faultsEndedAt = now()
    await sleep(FAULT_FREE_MS)
    crashes?.stop()
    advertisements.stop()
    storeReturns.stop()
    rollout?.stop()
    await callers.stop()
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
  return resultOf(seed, plan.length, evidence, boxes)
}

function resultOf(
  seed: number,
  faults: number,
  evidence: Evidence,
  boxes: readonly ProxiedBox[],
): SeedResult {
  const violations = findViolations(evidence, BOUNDS)
  const attempts = [...evidence.attempts.values()]
  const outputs = boxes.map(({ process }) => [process.box, process.output()])
  return {
    seed,
    requests: attempts.length,
    served: attempts.filter(({ end }) => end?.status === 200 && end.isWhole).length,
    faults,
    killed: evidence.poisonRequests.crashes.length,
    violations,
    outputs: violations.length > 0 ? Object.fromEntries(outputs) : {},
  }
}

/** A loopback address that differs by process, seed and box, so that seeds can run in parallel. */
function loopbackAddress(seed: number, box: number): string {
  return `127.${1 + (process.pid % 250)}.${seed % 256}.${1 + box}`
}

/**
 * Whether a pause of a box simulates a suspension of its machine. Never for seeds below
 * `FIRST_SEED_WITH_CRASHES`, so that regressions replay unchanged.
 */
function pausesAsSuspension(seed: number): boolean {
  return seed >= FIRST_SEED_WITH_CRASHES && seed % 3 === 0
}

async function startBoxes(
  { seed, boxes: count, program, createBox = createBoxProcess }: SeedOptions,
  storeAddress: string,
): Promise<{ boxes: ProxiedBox[]; targets: CallerTarget[] }> {
  const boxes: ProxiedBox[] = []
  const targets: CallerTarget[] = []
  for (let index = 0; index < count; index++) {
    const ip = loopbackAddress(seed, 1 + index)
    const [entry, readiness, directory, peers] = await findFreePorts(ip, 4)
    const ports = { entry: entry!, readiness: readiness!, directory: directory!, peers: peers! }
    const storeProxy = await startLoopbackProxy(ip, () => storeAddress)
    const callerProxy = await startLoopbackProxy(ip, () => `${ip}:${entry}`)
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!
    const box = `box-${index}`
    const place = { box, dataCentre, ip, ports, storeAddress: storeProxy.address }
    const process: SoakBox = createBox(program, place, BOUNDS, pausesAsSuspension(seed))
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
) {
  let version = 1
  let key = 'key-1'
  let service = 'desk'
  const revoked: string[] = []
  const write = () => rows.put(...CONFIGURATION_ROW, writeConfiguration(++version, [key], service))
  write()
  return {
    /** Writes the configuration again if the store has lost it. */
    writeLostRows() {
      const content = writeConfiguration(version, [key], service)
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
