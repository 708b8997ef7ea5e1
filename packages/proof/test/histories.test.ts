import { expect } from 'chai'
import fc from 'fast-check'
import { CallerPool, countViolations } from '../src/world/callerPool.js'
import { DEMO_ROWS } from '../src/world/demoTable.js'
import { VirtualSystem } from '../src/world/virtualSystem.js'

/** Faults and recoveries of a system; `box` is the index of the box that they affect, if any. */
const FAULT_EVENTS: Record<string, (system: VirtualSystem, box: number) => void> = {
  'store goes down': system => void (system.table.faults.down = true),
  'store comes up': system => void (system.table.faults.down = false),
  'store loses answers': system => void (system.table.faults.loseAnswers = 0.3),
  'store is slow': system => void (system.table.faults.slowBy = 300),
  'store is well': system =>
    void Object.assign(system.table.faults, { down: false, loseAnswers: 0, slowBy: 0 }),
  'box dies': (system, box) =>
    !system.boxes[box]!.dead && countLiveBoxes(system) > 3 && system.kill(box),
  'box starts': (system, box) => system.boxes[box]!.dead && system.restart(box),
  'box is paused': (system, box) => !system.boxes[box]!.dead && system.boxes[box]!.clock.pause(),
  'box wakes': (system, box) => !system.boxes[box]!.dead && system.boxes[box]!.clock.resume(),
  'box is cut off': (system, box) => isolateBox(system, box),
  'network is whole': system => healNetwork(system),
  'service loses answers': system =>
    void (system.services.get('booking')!.faults.loseAnswers = 0.3),
  'service is well': system => void (system.services.get('booking')!.faults.loseAnswers = 0),
  'engine cuts streams': system => void (system.engines.get('engine-1')!.faults.cutAfter = 5),
  'engine is well': system => void (system.engines.get('engine-1')!.faults.cutAfter = Infinity),
}

function countLiveBoxes(system: VirtualSystem): number {
  return system.boxes.filter(box => !box.dead).length
}

function isolateBox(system: VirtualSystem, box: number): void {
  const { name, storeLink } = system.boxes[box]!
  storeLink.cut = true
  system.network.isLinked = (left, right) => left !== name && right !== name
}

function healNetwork(system: VirtualSystem): void {
  system.network.isLinked = () => true
  for (const box of system.boxes) box.storeLink.cut = false
}

const faultEvent = fc.record({
  name: fc.constantFrom(...Object.keys(FAULT_EVENTS)),
  box: fc.nat(4),
  gap: fc.integer({ min: 50, max: 4_000 }),
})

async function runEvents(seed: number, events: { name: string; box: number; gap: number }[]) {
  const system = new VirtualSystem({
    seed,
    boxCount: 5,
    dataCentres: 3,
    rows: DEMO_ROWS.filter(row => row.row !== 'limit'),
    engines: [1, 2, 3].map(index => ({
      id: `engine-${index}`,
      dataCentre: `dc-${index}`,
      versions: ['small@1'],
    })),
    services: [{ name: 'booking', dataCentre: 'dc-1' }],
  })
  await system.start()
  const callers = new CallerPool(system)
  callers.run(
    events.reduce((sum, { gap }) => sum + gap, 2_000),
    8,
    0.4,
  )
  let highestRevision = 0
  for (const { name, box, gap } of events) {
    FAULT_EVENTS[name]!(system, box)
    await system.clock.advance(gap)
    const revisions = system.boxes.map(each => each.box.services.table.state.table.revision)
    highestRevision = Math.max(highestRevision, ...revisions)
  }
  FAULT_EVENTS['store is well']!(system, 0)
  healNetwork(system)
  system.boxes.forEach((_box, index) => {
    FAULT_EVENTS['box wakes']!(system, index)
    FAULT_EVENTS['box starts']!(system, index)
  })
  await system.clock.advance(90_000)
  return { system, callers, highestRevision }
}

describe('a system of boxes under a random sequence of faults', () => {
  it('bills each answer once, runs no call twice, reports no false not-run, answers correctly', async function () {
    this.timeout(120_000)
    await fc.assert(
      fc.asyncProperty(
        fc.nat(1_000),
        fc.array(faultEvent, { minLength: 3, maxLength: 12 }),
        async (seed, events) => {
          const { system, callers } = await runEvents(seed, events)
          expect(countViolations(system, callers.results)).to.deep.equal({
            billsLost: 0,
            billsDoubled: 0,
            callsRunTwice: 0,
            untrueNotRun: 0,
            wrongAnswers: 0,
          })
        },
      ),
      { seed: 8, numRuns: 25 },
    )
  })
})
