import type { Milliseconds, TableRow } from '@yewkeel/decisions'
import { CallerPool, checkPromises } from '../world/callerPool.js'
import { DEMO_ROWS } from '../world/demoTable.js'
import { VirtualSystem, type VirtualEngine } from '../world/virtualSystem.js'
import { quantileOf, RowCollector, type Measure } from './measureRow.js'

/** A fault: what happens when it strikes and when it ends. */
interface FaultCase {
  strike(system: VirtualSystem): void
  heal(system: VirtualSystem): void
  /** How long it lasts. */
  span: Milliseconds
}

const BEFORE: Milliseconds = 10_000
const AFTER: Milliseconds = 10_000
/** Long enough for a silent box's bills to be taken over and written. */
const REST: Milliseconds = 45_000
const PER_SECOND = 20
const VICTIM = 1
const WATCH_EVERY: Milliseconds = 5

const nothing: FaultCase = { strike: () => {}, heal: () => {}, span: 30_000 }

function storeFault(set: Partial<VirtualSystem['table']['faults']>, span: Milliseconds): FaultCase {
  return {
    span,
    strike: system => void Object.assign(system.table.faults, set),
    heal: system =>
      void Object.assign(system.table.faults, { down: false, slowBy: 0, loseAnswers: 0 }),
  }
}

function boxKilled(index: number): FaultCase {
  return {
    span: 20_000,
    strike: system => system.kill(index),
    heal: system => system.restart(index),
  }
}

function boxPaused(index: number): FaultCase {
  return {
    span: 15_000,
    strike: system => system.boxes[index]!.clock.pause(),
    heal: system => system.boxes[index]!.clock.resume(),
  }
}

function boxCutOff(index: number): FaultCase {
  return {
    span: 20_000,
    strike(system) {
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

function dataCentreGone(dataCentre: string): FaultCase {
  const inside = (system: VirtualSystem) =>
    system.boxes.flatMap((box, index) => (box.dataCentre === dataCentre ? [index] : []))
  const engines = (system: VirtualSystem) =>
    system.options.engines.filter(engine => engine.dataCentre === dataCentre)
  return {
    span: 20_000,
    strike(system) {
      inside(system).forEach(index => system.kill(index))
      for (const { id } of engines(system)) system.engines.get(id)!.faults.down = true
    },
    heal(system) {
      inside(system).forEach(index => system.restart(index))
      for (const { id } of engines(system)) system.engines.get(id)!.faults.down = false
    },
  }
}

/** Both at once; the second strikes a little later and both last as long as the longer. */
function both(first: FaultCase, second: FaultCase): FaultCase {
  return {
    span: Math.max(first.span, second.span),
    strike(system) {
      first.strike(system)
      system.clock.after(1_500, () => second.strike(system))
    },
    heal(system) {
      first.heal(system)
      second.heal(system)
    },
  }
}

/** Every box is stopped as planned and started anew, one after the other. */
const rolledBoxes: FaultCase = {
  span: 40_000,
  strike(system) {
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

const upstreamsFail: FaultCase = {
  span: 20_000,
  strike(system) {
    const [first, second] = [...system.engines.values()]
    first!.faults.down = true
    second!.faults.cutAfter = 5
  },
  heal(system) {
    for (const engine of system.engines.values())
      Object.assign(engine.faults, { down: false, cutAfter: Infinity })
  },
}

const storeOut = storeFault({ down: true }, 60_000)

export const FAULT_CASES: Record<string, FaultCase> = {
  none: nothing,
  'store-out-60s': storeOut,
  'store-slow': storeFault({ slowBy: 400 }, 30_000),
  'store-loses-10%-of-answers': storeFault({ loseAnswers: 0.1 }, 30_000),
  'box-killed': boxKilled(VICTIM),
  'box-paused-15s': boxPaused(VICTIM),
  'box-cut-off': boxCutOff(VICTIM),
  'data-centre-gone': dataCentreGone('dc-2'),
  'boxes-rolled': rolledBoxes,
  'upstreams-fail': upstreamsFail,
  'store-out-and-box-killed': both(storeOut, boxKilled(VICTIM)),
  'store-out-and-box-paused': both(storeOut, boxPaused(VICTIM)),
  'store-loses-answers-and-box-paused': both(
    storeFault({ loseAnswers: 0.1 }, 20_000),
    boxPaused(VICTIM),
  ),
  'two-boxes-killed': both(boxKilled(VICTIM), boxKilled(2)),
}

/** The calm case and eight faults, one of each part that can fail. */
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

/** Whole boxes under faults on a moved clock: what callers got, and which promises broke. */
export const measureFaults: Measure = async ({ seeds, quick }, note) => {
  const rows = new RowCollector()
  const names = quick ? QUICK_CASES : Object.keys(FAULT_CASES)
  for (const name of names) {
    for (const seed of quick ? seeds.slice(0, 1) : seeds) {
      note(`${name}, seed ${seed}`)
      const figures = await runFaultCase(FAULT_CASES[name]!, seed)
      for (const [metric, [value, unit]] of Object.entries(figures)) {
        rows.add({ workload: 'campsite', case: name, policy: 'yewkeel', metric, unit }, value)
      }
    }
  }
  return rows.rows()
}

type Figures = Record<string, [value: number, unit: string]>

/** One run of one fault. */
export async function runFaultCase(fault: FaultCase, seed: number): Promise<Figures> {
  const system = createFaultSystem(seed)
  await system.start()
  const callers = new CallerPool(system)
  const from = { ...system.table.counts }
  const span = BEFORE + fault.span + AFTER
  callers.run(span, PER_SECOND)
  await system.clock.advance(BEFORE)
  fault.strike(system)
  const change = watchChange(system)
  await system.clock.advance(fault.span)
  fault.heal(system)
  await system.clock.advance(AFTER)
  const to = { ...system.table.counts }
  await system.clock.advance(REST)
  const seconds = span / 1_000
  const completions = callers.results.filter(result => result.kind === 'completion')
  const holds = callers.results.filter(result => result.kind === 'hold')
  const firstTokens = completions.filter(result => result.answered).map(result => result.firstToken)
  const { billsLost, billsDoubled, callsRunTwice, untrueNotRun, wrongAnswers } = checkPromises(
    system,
    callers.results,
  )
  return {
    answeredShare: [shareAnswered(completions), 'share'],
    callsAnsweredShare: [shareAnswered(holds), 'share'],
    firstTokenP50: [quantileOf(firstTokens, 0.5), 'ms'],
    firstTokenP99: [quantileOf(firstTokens, 0.99), 'ms'],
    holdP50: [
      quantileOf(
        holds.filter(hold => hold.answered).map(hold => hold.took),
        0.5,
      ),
      'ms',
    ],
    billsLost: [billsLost, 'bills'],
    billsDoubled: [billsDoubled, 'bills'],
    callsRunTwice: [callsRunTwice, 'calls'],
    untrueNotRun: [untrueNotRun, 'calls'],
    wrongAnswers: [wrongAnswers, 'answers'],
    inForceSeconds: [change.seconds(), 's'],
    storeWritesPerSecond: [(to.writes - from.writes) / seconds, '1/s'],
    storeReadsPerSecond: [(to.reads - from.reads) / seconds, '1/s'],
  }
}

/** Nine boxes in four data centres before eight engines and a booking service, as on the island. */
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

function shareAnswered(results: readonly { answered: boolean }[]): number {
  if (results.length === 0) return 1
  return results.filter(result => result.answered).length / results.length
}

/**
 * An operator makes a change while the fault lasts, again and again until it is accepted. Counts from the
 * instant of acceptance until no box serves by an older table.
 */
function watchChange(system: VirtualSystem): { seconds(): number } {
  const { clock } = system
  const row: TableRow = { row: 'service', organisation: '*', service: 'tide-tables' }
  let acceptedAt: Milliseconds | undefined
  let inForceAt: Milliseconds | undefined
  const before = system.boxes[0]!.box.services.table.state.table.revision
  const submit = async (tries: number) => {
    await system.submit(0, [row], `change-${tries}`)
    if (acceptedAt === undefined) clock.after(1_000, () => void submit(tries + 1))
  }
  clock.after(3_000, () => void submit(1))
  const watch = () => {
    const head = system.table.rowOf('table/head')
    const revision = head ? (JSON.parse(head.value) as { revision: number }).revision : 0
    if (revision > before) acceptedAt ??= clock.now()
    if (acceptedAt !== undefined && isInForce(system, revision)) inForceAt = clock.now()
    else clock.after(WATCH_EVERY, watch)
  }
  watch()
  return { seconds: () => ((inForceAt ?? clock.now()) - (acceptedAt ?? clock.now())) / 1_000 }
}

function isInForce(system: VirtualSystem, revision: number): boolean {
  return system.boxes
    .filter(({ dead }) => !dead)
    .every(({ box }) => {
      const { table } = box.services
      return table.state.table.revision >= revision || table.freshness() === 'stale'
    })
}
