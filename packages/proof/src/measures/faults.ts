import type { Milliseconds, TableRow } from '@yewkeel/decisions'
import { CallerPool, countViolations } from '../world/callerPool.js'
import { DEMO_ROWS } from '../world/demoTable.js'
import { VirtualSystem, type VirtualEngine } from '../world/virtualSystem.js'
import { quantileOf, RowCollector, type Measure } from './measureRow.js'

/** A fault that is injected into a simulated system and healed after its duration. */
interface FaultCase {
  inject(system: VirtualSystem): void
  heal(system: VirtualSystem): void
  duration: Milliseconds
}

const BASELINE_DURATION: Milliseconds = 10_000
const RECOVERY_DURATION: Milliseconds = 10_000
/** Long enough for other boxes to take over and store the bills of a failed box. */
const SETTLE_DURATION: Milliseconds = 45_000
const REQUESTS_PER_SECOND = 20
const FAULTY_BOX_INDEX = 1
const POLL_INTERVAL: Milliseconds = 5

const noFault: FaultCase = { inject: () => {}, heal: () => {}, duration: 30_000 }

function storeFault(
  faults: Partial<VirtualSystem['table']['faults']>,
  duration: Milliseconds,
): FaultCase {
  return {
    duration,
    inject: system => void Object.assign(system.table.faults, faults),
    heal: system =>
      void Object.assign(system.table.faults, { down: false, slowBy: 0, loseAnswers: 0 }),
  }
}

function boxKilled(index: number): FaultCase {
  return {
    duration: 20_000,
    inject: system => system.kill(index),
    heal: system => system.restart(index),
  }
}

function boxPaused(index: number): FaultCase {
  return {
    duration: 15_000,
    inject: system => system.boxes[index]!.clock.pause(),
    heal: system => system.boxes[index]!.clock.resume(),
  }
}

function boxPartitioned(index: number): FaultCase {
  return {
    duration: 20_000,
    inject(system) {
      const name = system.boxes[index]!.name
      system.boxes[index]!.storeLink.cut = true
      system.network.isLinked = (left, right) => left !== name && right !== name
    },
    heal(system) {
      system.boxes[index]!.storeLink.cut = false
      system.network.isLinked = () => true
    },
  }
}

function dataCentreDown(dataCentre: string): FaultCase {
  const boxIndexes = (system: VirtualSystem) =>
    system.boxes.flatMap((box, index) => (box.dataCentre === dataCentre ? [index] : []))
  const enginesInside = (system: VirtualSystem) =>
    system.options.engines.filter(engine => engine.dataCentre === dataCentre)
  return {
    duration: 20_000,
    inject(system) {
      boxIndexes(system).forEach(index => system.kill(index))
      for (const { id } of enginesInside(system)) system.engines.get(id)!.faults.down = true
    },
    heal(system) {
      boxIndexes(system).forEach(index => system.restart(index))
      for (const { id } of enginesInside(system)) system.engines.get(id)!.faults.down = false
    },
  }
}

/** Injects the second fault 1.5 s after the first; heals both after the longer duration. */
function combineFaults(first: FaultCase, second: FaultCase): FaultCase {
  return {
    duration: Math.max(first.duration, second.duration),
    inject(system) {
      first.inject(system)
      system.clock.after(1_500, () => second.inject(system))
    },
    heal(system) {
      first.heal(system)
      second.heal(system)
    },
  }
}

/** Drains and restarts the boxes one after the other. */
const rollingRestart: FaultCase = {
  duration: 40_000,
  inject(system) {
    system.boxes.forEach((_box, index) => {
      system.clock.after(index * 4_000, () => {
        const { box } = system.boxes[index]!
        void box.stop().then(() => {
          system.network.leave(box.identity.peerAddress)
          system.restart(index)
        })
      })
    })
  },
  heal: () => {},
}

const upstreamFailures: FaultCase = {
  duration: 20_000,
  inject(system) {
    const [first, second] = [...system.engines.values()]
    first!.faults.down = true
    second!.faults.cutAfter = 5
  },
  heal(system) {
    for (const engine of system.engines.values())
      Object.assign(engine.faults, { down: false, cutAfter: Infinity })
  },
}

const storeOutage = storeFault({ down: true }, 60_000)

export const FAULT_CASES: Record<string, FaultCase> = {
  none: noFault,
  'store-out-60s': storeOutage,
  'store-slow': storeFault({ slowBy: 400 }, 30_000),
  'store-loses-10%-of-answers': storeFault({ loseAnswers: 0.1 }, 30_000),
  'box-killed': boxKilled(FAULTY_BOX_INDEX),
  'box-paused-15s': boxPaused(FAULTY_BOX_INDEX),
  'box-cut-off': boxPartitioned(FAULTY_BOX_INDEX),
  'data-centre-gone': dataCentreDown('dc-2'),
  'boxes-rolled': rollingRestart,
  'upstreams-fail': upstreamFailures,
  'store-out-and-box-killed': combineFaults(storeOutage, boxKilled(FAULTY_BOX_INDEX)),
  'store-out-and-box-paused': combineFaults(storeOutage, boxPaused(FAULTY_BOX_INDEX)),
  'store-loses-answers-and-box-paused': combineFaults(
    storeFault({ loseAnswers: 0.1 }, 20_000),
    boxPaused(FAULTY_BOX_INDEX),
  ),
  'two-boxes-killed': combineFaults(boxKilled(FAULTY_BOX_INDEX), boxKilled(2)),
}

/** The run without a fault and at least one fault of each component. */
const QUICK_CASES = [
  'none',
  'store-out-60s',
  'store-slow',
  'box-killed',
  'box-paused-15s',
  'box-cut-off',
  'boxes-rolled',
  'upstreams-fail',
  'two-boxes-killed',
]

/** Runs simulated boxes under faults; reports availability, latency and violated guarantees. */
export const measureFaults: Measure = async ({ seeds, quick }, reportProgress) => {
  const rows = new RowCollector()
  const names = quick ? QUICK_CASES : Object.keys(FAULT_CASES)
  for (const name of names) {
    for (const seed of quick ? seeds.slice(0, 1) : seeds) {
      reportProgress(`${name}, seed ${seed}`)
      const figures = await runFaultCase(FAULT_CASES[name]!, seed)
      for (const [metric, [value, unit]] of Object.entries(figures)) {
        rows.add({ workload: 'campsite', case: name, policy: 'yewkeel', metric, unit }, value)
      }
    }
  }
  return rows.rows()
}

type Figures = Record<string, [value: number, unit: string]>

/** Runs one fault case with one seed. */
export async function runFaultCase(fault: FaultCase, seed: number): Promise<Figures> {
  const system = createFaultSystem(seed)
  await system.start()
  const callers = new CallerPool(system)
  const countsBefore = { ...system.table.counts }
  const duration = BASELINE_DURATION + fault.duration + RECOVERY_DURATION
  callers.run(duration, REQUESTS_PER_SECOND)
  await system.clock.advance(BASELINE_DURATION)
  fault.inject(system)
  const tableChange = trackTableChange(system)
  await system.clock.advance(fault.duration)
  fault.heal(system)
  await system.clock.advance(RECOVERY_DURATION)
  const countsAfter = { ...system.table.counts }
  await system.clock.advance(SETTLE_DURATION)
  const seconds = duration / 1_000
  const completions = callers.results.filter(result => result.kind === 'completion')
  const holds = callers.results.filter(result => result.kind === 'hold')
  const firstTokens = completions
    .filter(result => result.answered)
    .map(result => result.timeToFirstToken)
  const { billsLost, billsDoubled, callsRunTwice, untrueNotRun, wrongAnswers } = countViolations(
    system,
    callers.results,
  )
  return {
    answeredShare: [answeredFraction(completions), 'share'],
    callsAnsweredShare: [answeredFraction(holds), 'share'],
    firstTokenP50: [quantileOf(firstTokens, 0.5), 'ms'],
    firstTokenP99: [quantileOf(firstTokens, 0.99), 'ms'],
    holdP50: [
      quantileOf(
        holds.filter(hold => hold.answered).map(hold => hold.latency),
        0.5,
      ),
      'ms',
    ],
    billsLost: [billsLost, 'bills'],
    billsDoubled: [billsDoubled, 'bills'],
    callsRunTwice: [callsRunTwice, 'calls'],
    untrueNotRun: [untrueNotRun, 'calls'],
    wrongAnswers: [wrongAnswers, 'answers'],
    inForceSeconds: [tableChange.seconds(), 's'],
    storeWritesPerSecond: [(countsAfter.writes - countsBefore.writes) / seconds, '1/s'],
    storeReadsPerSecond: [(countsAfter.reads - countsBefore.reads) / seconds, '1/s'],
  }
}

/** Nine boxes in four data centres, eight engines and two instances of the booking service. */
function createFaultSystem(seed: number): VirtualSystem {
  const engines: VirtualEngine[] = Array.from({ length: 8 }, (_, index) => ({
    id: `engine-${index + 1}`,
    dataCentre: `dc-${(index % 4) + 1}`,
    versions: ['small@1'],
    slots: 8,
    tokenInterval: 30,
  }))
  return new VirtualSystem({
    seed,
    boxCount: 9,
    dataCentres: 4,
    engines,
    services: [
      { name: 'booking', dataCentre: 'dc-1' },
      { name: 'booking.2', dataCentre: 'dc-3' },
    ],
    rows: DEMO_ROWS.filter(row => row.row !== 'limit'),
  })
}

function answeredFraction(results: readonly { answered: boolean }[]): number {
  if (results.length === 0) return 1
  return results.filter(result => result.answered).length / results.length
}

/**
 * Submits a table change during the fault, with retries until it is accepted. `seconds()` is the time
 * from acceptance until every live box has applied the change or refuses requests because its table is
 * stale.
 */
function trackTableChange(system: VirtualSystem): { seconds(): number } {
  const { clock } = system
  const row: TableRow = { row: 'service', organisation: '*', service: 'tide-tables' }
  let acceptedAt: Milliseconds | undefined
  let appliedAt: Milliseconds | undefined
  const initialRevision = system.boxes[0]!.box.services.table.state.table.revision
  const submit = async (attempt: number) => {
    await system.submit(0, [row], `change-${attempt}`)
    if (acceptedAt === undefined) clock.after(1_000, () => void submit(attempt + 1))
  }
  clock.after(3_000, () => void submit(1))
  const poll = () => {
    const head = system.table.rowOf('table/head')
    const revision = head ? (JSON.parse(head.value) as { revision: number }).revision : 0
    if (revision > initialRevision) acceptedAt ??= clock.now()
    if (acceptedAt !== undefined && isAppliedByAllBoxes(system, revision)) appliedAt = clock.now()
    else clock.after(POLL_INTERVAL, poll)
  }
  poll()
  return { seconds: () => ((appliedAt ?? clock.now()) - (acceptedAt ?? clock.now())) / 1_000 }
}

function isAppliedByAllBoxes(system: VirtualSystem, revision: number): boolean {
  return system.boxes
    .filter(({ dead }) => !dead)
    .every(({ box }) => {
      const { table } = box.services
      return table.state.table.revision >= revision || table.freshness() === 'stale'
    })
}
