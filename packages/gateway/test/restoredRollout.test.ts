import { expect } from 'chai'
import {
  createSeededRandom,
  ManualClock,
  type Milliseconds,
  type RolloutOrder,
  type RolloutState,
  type RolloutStatus,
} from '@yewkeel/decisions'
import { RolloutTask, type RolloutTaskOptions } from '../src/index.js'

const DURATION: Milliseconds = 20_000
const TICK: Milliseconds = 100
const ORDER = { service: 'pool', target: 'v2', duration: DURATION }
const KEY = { service: 'pool', version: 'v2', route: 'digest', model: 'large', upstream: 'u2' }

/** Store of orders and statuses that can be restored from a copy. */
class RestorableStore {
  epoch = 0
  revision = 4
  orders: RolloutOrder[] = []
  statuses: RolloutStatus[] = []
  readonly writes: { state: RolloutState; epoch: number; startedAt: Milliseconds }[] = []
  reads = 0
  isOut = false
  loses = false

  copy() {
    const { revision, orders, statuses } = structuredClone({ ...this, writes: [] })
    return { revision, orders, statuses }
  }

  restore(copy: ReturnType<RestorableStore['copy']>): void {
    this.epoch++
    this.revision = copy.revision
    const atEpoch = <T extends object>(rows: T[]) =>
      rows.map(row => ({ ...row, epoch: this.epoch }))
    this.orders = atEpoch(copy.orders)
    this.statuses = atEpoch(copy.statuses)
  }

  order(order: Omit<RolloutOrder, 'revision'>): void {
    const others = this.orders.filter(({ service }) => service !== order.service)
    this.orders = [...others, { ...order, epoch: this.epoch, revision: ++this.revision }]
  }

  write(status: Omit<RolloutStatus, 'revision'>, expected: number): 'written' | 'conflict' {
    const current = this.statuses.find(({ service }) => service === status.service)
    if ((current?.revision ?? 0) !== expected) return 'conflict'
    const others = this.statuses.filter(({ service }) => service !== status.service)
    const { state, startedAt } = status
    this.writes.push({ state, startedAt, epoch: this.epoch })
    this.statuses = [...others, { ...status, epoch: this.epoch, revision: ++this.revision }]
    return 'written'
  }

  read() {
    this.reads++
    const { statuses: value, revision: version, epoch } = this
    return { value, version, epoch, storeNow: NaN }
  }

  /** The client of one box. */
  client(): RolloutTaskOptions['store'] {
    const call = async <T>(work: () => T): Promise<T> => {
      await Promise.resolve()
      if (this.isOut) throw new Error('simulated store outage')
      return work()
    }
    return {
      writeRollout: (status: Omit<RolloutStatus, 'revision'>, expected: number) =>
        call(() => this.write(status, expected)),
      readRollouts: () => call(() => this.read()),
    } as unknown as RolloutTaskOptions['store']
  }
}

interface World {
  clock: ManualClock
  store: RestorableStore
  boxes: RolloutTask[]
  versions: Map<string, number>
  addBox(): RolloutTask
  /** Lets a box read orders and statuses, as after a change of the orders. */
  read(box: RolloutTask): void
  readAll(): void
  gossip(from: RolloutTask, to: RolloutTask): void
  advance(duration: Milliseconds): Promise<void>
}

/** Boxes that read and write one store, on a manual clock; the first one leads. */
function createWorld(boxCount = 1): World {
  const clock = new ManualClock()
  const store = new RestorableStore()
  const boxes: RolloutTask[] = []
  const versions = new Map([
    ['v1', 2],
    ['v2', 2],
  ])
  const world: World = {
    clock,
    store,
    boxes,
    versions,
    addBox() {
      const rank = boxes.length
      const task: RolloutTask = new RolloutTask({
        clock,
        random: createSeededRandom(rank),
        log: { event() {}, request() {} },
        store: store.client(),
        upstreams: {
          readyVersions: () => versions,
          canSendTo: () => true,
          inFlight: () => new Map(),
        } as unknown as RolloutTaskOptions['upstreams'],
        rank: () => rank,
        answerReports: () => [{ box: `box-${rank}`, counts: task.answers }],
        exposureLimit: () => 0.15,
        onVerdict() {},
        onBadAnswer() {},
      })
      task.updateStoreClock(clock.now(), clock.now())
      boxes.push(task)
      return task
    },
    read(box) {
      box.applyOrders(store.orders, store.epoch)
      if (store.orders.length > 0) box.mergeStatuses(store.read().value)
    },
    readAll: () => boxes.forEach(world.read),
    gossip(from, to) {
      to.mergeStatuses(structuredClone(from.statuses))
      to.mergeVerdicts(structuredClone(from.verdicts))
    },
    async advance(duration) {
      for (let passed = 0; passed < duration; passed += TICK) {
        await clock.advance(TICK)
        for (const box of boxes) box.tick()
        for (const box of boxes) for (const other of boxes) world.gossip(box, other)
      }
    },
  }
  for (let count = 0; count < boxCount; count++) world.addBox()
  return world
}

function recordFaults(box: RolloutTask): void {
  for (let count = 0; count < 40; count++)
    for (const upstream of ['u2', 'u3', 'u4'])
      box.evaluator.recordOutcome({ ...KEY, upstream }, count % 4 === 0)
  for (let count = 0; count < 40; count++)
    box.evaluator.recordOutcome({ ...KEY, version: 'v1', upstream: 'u1' }, true)
}

const admits = (box: RolloutTask) => ['v1', 'v2'].filter(box.admission('pool', 's1'))

describe('a rollout order across a restore of the store from an older copy', () => {
  /** Runs a rollout up to the verdict that its target is bad, which no box can write yet. */
  async function condemn(world: World) {
    world.store.order(ORDER)
    world.readAll()
    await world.advance(DURATION / 2)
    const copy = world.store.copy()
    for (const box of world.boxes) recordFaults(box)
    world.store.isOut = true
    await world.advance(TICK)
    world.store.isOut = false
    for (const box of world.boxes) expect(box.verdicts).to.have.length(1)
    return copy
  }

  it('keeps its evidence and its verdict under a new number', async () => {
    const world = createWorld()
    const [box] = world.boxes as [RolloutTask]
    const copy = await condemn(world)
    const counts = box.answers
    world.store.restore(copy)
    world.store.order(ORDER)
    world.readAll()
    expect(box.answers).to.eql(counts)
    const { epoch, revision } = world.store.orders[0]!
    expect(box.verdicts).to.eql([{ service: 'pool', epoch, revision }])
    expect(admits(box)).to.eql(['v1'])
  })

  it('passes no verdict on to another order that has its number', async () => {
    const world = createWorld(2)
    const [box, other] = world.boxes as [RolloutTask, RolloutTask]
    const copy = world.store.copy()
    await condemn(world)
    const { revision } = world.store.orders[0]!
    world.store.restore(copy)
    world.store.order({ ...ORDER, target: 'v3' })
    expect(world.store.orders[0]!.revision).to.equal(revision)
    world.read(box)
    expect(box.answers).to.eql([])
    world.gossip(other, box)
    expect(box.verdicts).to.not.deep.include({ service: 'pool', epoch: 1, revision })
  })

  it('stays in force while the store lacks it, or shows the one before', async () => {
    const world = createWorld()
    const [box] = world.boxes as [RolloutTask]
    world.store.order({ ...ORDER, target: 'v1' })
    world.readAll()
    const copy = world.store.copy()
    await condemn(world)
    for (const shown of [copy, { ...copy, orders: [] }]) {
      world.store.restore(shown)
      world.readAll()
      expect(box.answers).to.not.eql([])
      expect(admits(box)).to.eql(['v1'])
    }
    world.store.order(ORDER)
    world.readAll()
    expect(box.answers).to.not.eql([])
    expect(box.verdicts).to.have.length(1)
    expect(admits(box)).to.eql(['v1'])
  })

  it('ends when it is removed after the operator has written it again', async () => {
    const world = createWorld()
    const [box] = world.boxes as [RolloutTask]
    const copy = await condemn(world)
    world.store.restore(copy)
    world.readAll()
    world.store.orders = []
    world.readAll()
    expect(box.isOnTrial('pool', 'v2')).to.equal(false)
  })
})
