import { expect } from 'chai'
import {
  createSeededRandom,
  ManualClock,
  type Milliseconds,
  type RolloutOrder,
  type RolloutState,
  type RolloutStatus,
  type StoreRevision,
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

  write(status: Omit<RolloutStatus, 'revision'>, expected: StoreRevision) {
    const current = this.statuses.find(({ service }) => service === status.service)
    if ((current?.revision ?? 0) !== expected.revision) return 'conflict'
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
      writeRollout: (status: Omit<RolloutStatus, 'revision'>, expected: StoreRevision) =>
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
        exposureSlack: () => 0,
        sharingBoxes: () => 1,
        onVerdict() {},
        onBadAnswer() {},
      })
      task.updateStoreClock(clock.now(), clock.now())
      boxes.push(task)
      return task
    },
    read(box) {
      box.applyOrders(store.orders, store.epoch)
      if (store.orders.length > 0) box.mergeStoredStatuses(store.read())
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

function recordFaults(box: RolloutTask, version = 'v2'): void {
  for (let count = 0; count < 40; count++)
    for (const upstream of ['u2', 'u3', 'u4'])
      box.evaluator.recordOutcome({ ...KEY, version, upstream }, count % 4 === 0)
  for (let count = 0; count < 40; count++)
    box.evaluator.recordOutcome({ ...KEY, version: 'v1', upstream: 'u1' }, true)
}

const storedState = ({ store }: World) => store.statuses[0]?.state
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

describe('a rollout status across a restore of the store from an older copy', () => {
  /** Runs a rollout of a good version until it is completed; copies the store shortly before. */
  async function complete(world: World) {
    world.store.order(ORDER)
    world.readAll()
    await world.advance(DURATION / 2)
    const copy = world.store.copy()
    await world.advance(DURATION / 2 + 2 * TICK)
    expect(storedState(world)).to.equal('completed')
    world.versions.delete('v1')
    return copy
  }

  /** Runs a rollout of a bad version until it is rolled back; copies the store shortly before. */
  async function rollBack(world: World) {
    world.store.order(ORDER)
    world.readAll()
    await world.advance(DURATION / 2)
    const copy = world.store.copy()
    for (const box of world.boxes) recordFaults(box)
    await world.advance(5 * TICK)
    expect(storedState(world)).to.equal('rolled-back')
    return copy
  }

  it('stays completed if the store shows it as active, and is written again once', async () => {
    const world = createWorld(3)
    const copy = await complete(world)
    const before = world.store.writes.length
    world.store.restore(copy)
    world.readAll()
    for (const box of world.boxes) expect(admits(box)).to.eql(['v2'])
    await world.advance(3_000)
    expect(storedState(world)).to.equal('completed')
    expect(world.store.writes.slice(before)).to.have.length(1)
    for (const box of world.boxes) expect(admits(box)).to.eql(['v2'])
  })

  it('stays rolled back if the store has lost the status, and is not started anew', async () => {
    const world = createWorld(3)
    const copy = await rollBack(world)
    const before = world.store.writes.length
    world.store.restore({ ...copy, statuses: [] })
    world.readAll()
    for (const box of world.boxes) expect(admits(box)).to.eql(['v1'])
    await world.advance(3_000)
    expect(world.store.writes.slice(before).map(({ state }) => state)).to.eql(['rolled-back'])
    for (const box of world.boxes) expect(admits(box)).to.eql(['v1'])
  })

  it('keeps its start if the store has lost the order and the status', async () => {
    const world = createWorld(2)
    const copy = world.store.copy()
    world.store.order(ORDER)
    world.readAll()
    await world.advance(DURATION / 4)
    const [{ startedAt } = { startedAt: NaN }] = world.store.statuses
    world.store.restore(copy)
    world.readAll()
    await world.advance(300)
    world.store.order(ORDER)
    world.readAll()
    await world.advance(1_000)
    expect(world.store.writes.slice(1)).to.eql([{ state: 'active', startedAt, epoch: 1 }])
    expect(world.boxes[1]!.trialOf('pool')?.share).to.be.above(0)
  })

  it('is not written while the store lacks its order, or shows the one before, but stays in force', async () => {
    const world = createWorld(1)
    const [box] = world.boxes as [RolloutTask]
    world.store.order({ ...ORDER, target: 'v1' })
    world.readAll()
    await world.advance(TICK)
    const copy = world.store.copy()
    const copied = await complete(world)
    for (const shown of [copy, { ...copied, orders: [] }]) {
      world.store.restore(shown)
      world.readAll()
      await world.advance(TICK)
      expect(admits(box)).to.eql(['v2'])
      expect(world.store.writes.filter(({ epoch }) => epoch > 0)).to.eql([])
    }
    world.store.order(ORDER)
    world.readAll()
    await world.advance(1_000)
    expect(storedState(world)).to.equal('completed')
  })

  it('ends with another order, which keeps the rolled-back version rejected', async () => {
    const world = createWorld(1)
    const [box] = world.boxes as [RolloutTask]
    const copy = world.store.copy()
    await rollBack(world)
    world.store.restore(copy)
    world.versions.set('v3', 2)
    world.store.order({ ...ORDER, target: 'v3' })
    world.readAll()
    await world.advance(5 * TICK)
    expect(storedState(world)).to.equal('active')
    expect(world.store.statuses[0]!.rejected).to.eql(['v2'])
    expect(admits(box)).to.eql(['v1'])
  })

  it('is written at the revision of the restored row, also if that is the lower one', async () => {
    const world = createWorld(1)
    const copy = await complete(world)
    world.store.revision += 40
    world.store.restore(copy)
    const [box] = world.boxes as [RolloutTask]
    // The order is read first: the revision of the row in this epoch is still unknown.
    box.applyOrders(world.store.orders, world.store.epoch)
    const before = world.store.writes.length
    await world.advance(1_000)
    expect(world.store.writes.slice(before)).to.have.length(1)
    expect(storedState(world)).to.equal('completed')
  })

  it('is written again by the next box if the store turns the leader away', async () => {
    const world = createWorld(1)
    const copy = await complete(world)
    const [leader] = world.boxes as [RolloutTask]
    const next = world.addBox()
    world.read(next)
    world.store.restore(copy)
    world.read(next)
    leader.tick = () => {}
    await world.advance(1_000)
    expect(storedState(world)).to.equal('completed')
  })

  it('stays completed at boxes that start after the restore', async () => {
    const world = createWorld(1)
    const copy = await complete(world)
    world.store.restore(copy)
    world.readAll()
    const later = world.addBox()
    world.read(later)
    world.gossip(world.boxes[0]!, later)
    expect(admits(later)).to.eql(['v2'])
    expect(later.isOnTrial('pool', 'v2')).to.equal(false)
  })

  it('keeps a final state that the store acknowledged and lost before any box read it', async () => {
    const world = createWorld(1)
    const [box] = world.boxes as [RolloutTask]
    world.store.order(ORDER)
    world.readAll()
    await world.advance(DURATION / 2)
    const copy = world.store.copy()
    const write = world.store.write.bind(world.store)
    world.store.write = (status, expected) => {
      const outcome = write(status, expected)
      if (status.state !== 'completed' || world.store.epoch > 0) return outcome
      world.store.restore(copy)
      // Reached again only after the box has been asked.
      world.store.isOut = true
      return outcome
    }
    await world.advance(DURATION / 2 + 2 * TICK)
    expect(world.store.epoch).to.equal(1)
    world.readAll()
    expect(box.isOnTrial('pool', 'v2')).to.equal(false)
    world.store.isOut = false
    await world.advance(1_000)
    expect(storedState(world)).to.equal('completed')
    expect(world.store.writes.filter(({ epoch }) => epoch === 1)).to.have.length(1)
  })

  it('is not written again while the store is unchanged', async () => {
    const world = createWorld(2)
    await complete(world)
    const { writes, reads } = world.store
    const before = [writes.length, reads]
    await world.advance(3_000)
    expect([writes.length, world.store.reads]).to.eql(before)
  })
})

/** Random orders, restores, reads and gossip; each seed is one course of events. */
describe('rollouts across random restores of the store', () => {
  const SEEDS = 70
  const STEPS = 400
  const SHORT: Milliseconds = 4_000

  for (let seed = 1; seed <= SEEDS; seed++)
    it(`never give up a final state that a box knew, with seed ${seed}`, async () => {
      const random = createSeededRandom(seed)
      const chance = (share: number) => random() < share
      const pick = <T>(items: readonly T[]) => items[Math.floor(random() * items.length)]!
      const world = createWorld(4)
      const { store, boxes, versions, clock } = world
      const copies = [store.copy()]
      let ordered: Omit<RolloutOrder, 'revision'> | undefined
      let restores = 0
      const tried = boxes.map(() => new Set<string>())
      const finished = boxes.map(() => new Set<string>())

      const rewriteOrder = () => {
        const shown = store.orders.find(({ service }) => service === 'pool')
        if (ordered && shown?.target !== ordered.target) store.order(ordered)
      }
      const step = async () => {
        await clock.advance(TICK)
        if (chance(0.3)) copies.unshift(store.copy())
        copies.splice(12)
        if (restores < 4 && chance(0.01)) {
          restores++
          store.restore(pick(copies))
          copies.splice(0, copies.length, store.copy())
        } else if (chance(0.5)) rewriteOrder()
        if (chance(0.006) || !ordered) {
          ordered = { service: 'pool', target: `v${versions.size + 1}`, duration: SHORT }
          versions.set(ordered.target, 2)
          store.order(ordered)
        }
        if (chance(0.005)) recordFaults(pick(boxes), ordered.target)
        store.isOut = chance(0.1)
        for (const box of boxes) {
          if (!store.isOut && chance(0.3)) world.read(box)
          box.tick()
        }
        for (const box of boxes) if (chance(0.5)) world.gossip(box, pick(boxes))
        const { target } = ordered
        for (const [index, box] of boxes.entries()) {
          const isOnTrial = box.isOnTrial('pool', target)
          if (finished[index]!.has(target)) expect(isOnTrial).to.equal(false)
          if (isOnTrial) tried[index]!.add(target)
          const isFinal = box.statuses.some(
            status => status.target === target && status.state !== 'active',
          )
          if (isFinal && !isOnTrial && tried[index]!.has(target)) finished[index]!.add(target)
        }
      }

      for (let count = 0; count < STEPS; count++) await step()
      store.isOut = false
      rewriteOrder()
      world.readAll()
      await world.advance(SHORT + 1_000)
      world.readAll()
      const before = store.writes.length
      await world.advance(1_000)
      const { target } = ordered!
      const status = store.statuses.find(({ service }) => service === 'pool')
      expect(status).to.include({ target })
      expect(status?.state).to.not.equal('active')
      for (const box of boxes) expect(box.isOnTrial('pool', target)).to.equal(false)
      expect(store.writes.length).to.equal(before)
      expect(new Set(boxes.map(box => admits(box).join())).size).to.equal(1)
    })
})
