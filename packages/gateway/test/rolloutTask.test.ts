import { expect } from 'chai'
import { createSeededRandom, ManualClock, type AnswerAspect } from '@yewkeel/decisions'
import { RolloutTask, type RolloutTaskOptions } from '../src/index.js'

const KEY = { service: 'pool', version: 'v1', route: 'digest', model: 'large', upstream: 'u1' }
const ORDER = { service: 'pool', target: 'v2', duration: 20_000, revision: 5 }

function createTask(change: Partial<RolloutTaskOptions> = {}): RolloutTask {
  const clock = change.clock ?? new ManualClock()
  const versions = new Map([
    ['v1', 2],
    ['v2', 2],
  ])
  const task: RolloutTask = new RolloutTask({
    clock,
    random: createSeededRandom(2),
    log: { event() {}, request() {} },
    store: {} as RolloutTaskOptions['store'],
    upstreams: {
      readyVersions: () => versions,
      canSendTo: () => true,
      inFlight: () => new Map(),
    } as unknown as RolloutTaskOptions['upstreams'],
    rank: () => 0,
    answerReports: () => [{ box: 'box-1', counts: task.answers }],
    exposureLimit: () => 0.15,
    exposureSlack: () => 0,
    sharingBoxes: () => 1,
    onVerdict() {},
    onBadAnswer() {},
    ...change,
  })
  task.applyOrders([ORDER])
  for (let count = 0; count < 20; count++) {
    task.evaluator.recordOutcome(KEY, true)
    task.evaluator.recordDuration(KEY, 'start', 1)
    task.evaluator.recordDuration(KEY, 'pace', 30)
  }
  return task
}

const TARGET_KEY = { ...KEY, version: 'v2', upstream: 'u2' }

const badCountOf = (task: RolloutTask, version: string, aspect: AnswerAspect) =>
  task.answers.find(count => count.version === version && count.aspect === aspect)?.bad

describe('requests of a service during a rollout', () => {
  const admitted = (canSend: boolean, session: (at: number) => string | undefined) => {
    const versions = new Map([
      ['v1', 2],
      ['v2', 2],
    ])
    const upstreams = {
      readyVersions: () => versions,
      canSendTo: () => canSend,
      inFlight: () => new Map(),
    } as unknown as RolloutTaskOptions['upstreams']
    const clock = new ManualClock()
    const task = createTask({ clock, upstreams })
    task.updateStoreClock(0, clock.now())
    task.mergeStatuses([
      { service: 'pool', target: 'v2', state: 'active', startedAt: -18_000, revision: 6 },
    ])
    const requests = Array.from({ length: 400 }, (_, at) => task.admission('pool', session(at)))
    return requests.filter(admits => admits('v2')).length
  }

  it('go to the established version while no upstream of the target may be sent to', () => {
    expect(admitted(true, () => undefined)).to.be.above(0)
    expect(admitted(false, () => undefined)).to.equal(0)
  })

  it('of a session keep their version while no upstream of the target may be sent to', () => {
    const session = (at: number) => `s${at}`
    expect(admitted(false, session)).to.equal(admitted(true, session))
  })
})

describe('evidence on a version', () => {
  it('counts an answer slightly slower than the baseline as good', () => {
    const task = createTask()
    task.evaluator.recordDuration(TARGET_KEY, 'start', 1.05)
    expect(badCountOf(task, 'v2', 'start')).to.equal(0)
  })

  it('counts an answer that starts later than the baseline as bad', () => {
    const task = createTask()
    task.evaluator.recordDuration(TARGET_KEY, 'start', 1.2)
    expect(badCountOf(task, 'v2', 'start')).to.equal(1)
  })

  it('counts an answer with a slower pace than the baseline as bad', () => {
    const task = createTask()
    task.evaluator.recordDuration(TARGET_KEY, 'pace', 40)
    expect(badCountOf(task, 'v2', 'pace')).to.equal(1)
  })

  it('counts a failed answer as bad', () => {
    const task = createTask()
    task.evaluator.recordOutcome(TARGET_KEY, false)
    expect(badCountOf(task, 'v2', 'outcome')).to.equal(1)
  })

  it('excludes answers of a version on trial from the baseline', () => {
    const task = createTask()
    for (let count = 0; count < 50; count++) task.evaluator.recordDuration(TARGET_KEY, 'pace', 90)
    expect(badCountOf(task, 'v2', 'pace')).to.equal(50)
  })

  it('counts an unfinished answer as bad if it was already slow, and ignores others', () => {
    const task = createTask()
    task.evaluator.recordUnfinished(TARGET_KEY, 'start', 1)
    expect(badCountOf(task, 'v2', 'start')).to.equal(undefined)
    task.evaluator.recordUnfinished(TARGET_KEY, 'start', 3)
    expect(badCountOf(task, 'v2', 'start')).to.equal(1)
  })
})

describe('admitted versions', () => {
  it('exclude a target whose rollout has not started or was rolled back', () => {
    const task = createTask()
    expect(task.admission('pool', undefined)('v2')).to.equal(false)
    task.mergeStatuses([
      { service: 'pool', target: 'v2', state: 'rolled-back', startedAt: 0, revision: 6 },
    ])
    expect(task.admission('pool', undefined)('v2')).to.equal(false)
    expect(task.admission('pool', undefined)('v1')).to.equal(true)
  })

  it('are only the target after completion, even if an older status arrives later', () => {
    const task = createTask()
    const completed = { service: 'pool', target: 'v2', state: 'completed' as const, startedAt: 0 }
    task.mergeStatuses([{ ...completed, revision: 9 }])
    task.mergeStatuses([{ ...completed, state: 'active', revision: 6 }])
    expect(task.admission('pool', 's1')('v1')).to.equal(false)
    expect(task.admission('pool', 's1')('v2')).to.equal(true)
  })

  /**
   * Guards against admitting every version but the new target, which mixed a rolled-back version
   * into sessions.
   */
  it('exclude a rolled-back version during the next rollout while its upstreams are still ready', async () => {
    const versions = new Map([
      ['v1', 3],
      ['v2', 2],
      ['v3', 1],
    ])
    const upstreams = {
      readyVersions: () => versions,
      canSendTo: () => true,
      inFlight: () => new Map(),
    }
    const written: { rejected?: readonly string[] }[] = []
    const store = {
      writeRollout: (status: (typeof written)[number]) => {
        written.push(status)
        return Promise.resolve('written')
      },
      readRollouts: () => Promise.resolve({ value: [], version: 9, storeNow: 0 }),
    }
    const options = { upstreams, store, rank: () => 0 } as unknown as Partial<RolloutTaskOptions>
    const task = createTask(options)
    const rolledBack = {
      service: 'pool',
      target: 'v2',
      state: 'rolled-back' as const,
      startedAt: 0,
    }
    task.mergeStatuses([{ ...rolledBack, revision: 6 }])
    task.applyOrders([{ ...ORDER, target: 'v3', revision: 7 }])
    const admitted = (rollouts: RolloutTask) =>
      [...versions.keys()].filter(rollouts.admission('pool', 's1'))
    expect(admitted(task)).to.eql(['v1'])
    // A box that starts later reads the rejected version from the status of the new rollout.
    task.updateStoreClock(0, 0)
    task.tick()
    await Promise.resolve()
    const active = { service: 'pool', target: 'v3', state: 'active' as const, startedAt: 0 }
    const later = createTask(options)
    later.applyOrders([{ ...ORDER, target: 'v3', revision: 7 }])
    later.mergeStatuses([{ ...active, ...written[0], revision: 8 }])
    expect(admitted(later)).to.eql(['v1'])
    // Only the rejected version is left: it serves rather than none.
    versions.delete('v1')
    versions.delete('v3')
    expect(admitted(later)).to.eql(['v2'])
  })

  it('exclude a version that starts without an order while an established one is ready', () => {
    const versions = new Map([['v1', 2]])
    const upstreams = {
      readyVersions: () => versions,
      canSendTo: () => true,
      inFlight: () => new Map(),
    }
    const task = createTask({ upstreams: upstreams as unknown as RolloutTaskOptions['upstreams'] })
    task.applyOrders([])
    expect(task.admission('pool', undefined)('v1')).to.equal(true)
    versions.set('v3', 1)
    expect(task.admission('pool', undefined)('v3')).to.equal(false)
    versions.delete('v1')
    expect(task.admission('pool', undefined)('v3')).to.equal(true)
  })
})

/**
 * Guards against retries of earlier requests, and boxes without the store, using a bad version
 * after a verdict.
 */
describe('a verdict on a version', () => {
  const active = { service: 'pool', target: 'v2', state: 'active' as const, startedAt: 0 }
  const unavailableStore = {
    writeRollout: () => Promise.reject(new Error('the store does not answer')),
  } as unknown as RolloutTaskOptions['store']

  /** Creates a box at three quarters of a rollout, and a session that runs on the target. */
  async function createTrial(change: Partial<RolloutTaskOptions> = {}) {
    const clock = new ManualClock()
    const task = createTask({ clock, store: unavailableStore, ...change })
    task.mergeStatuses([{ ...active, revision: 6 }])
    task.updateStoreClock(0, 0)
    await clock.advance(0.75 * ORDER.duration)
    const sessions = Array.from({ length: 200 }, (_, number) => `s${number}`)
    const session = sessions.find(name => task.admission('pool', name)('v2'))!
    return { task, clock, session }
  }

  it('excludes the version for running and new requests at once, although the store fails', async () => {
    const { task, session } = await createTrial()
    const admits = task.admission('pool', session)
    expect(admits('v2')).to.equal(true)
    for (let count = 0; count < 40; count++)
      for (const upstream of ['u2', 'u3', 'u4'])
        task.evaluator.recordOutcome({ ...TARGET_KEY, upstream }, count % 2 === 0)
    task.tick()
    expect([admits('v2'), admits('v1')]).to.eql([false, true])
    expect(task.admission('pool', session)('v2')).to.equal(false)
    expect(task.verdicts).to.eql([{ service: 'pool', revision: ORDER.revision }])
  })

  it('applies on boxes that receive it, and only to its own order', async () => {
    const { task, session } = await createTrial()
    const admits = task.admission('pool', session)
    task.mergeVerdicts([{ service: 'pool', revision: ORDER.revision - 1 }])
    expect(admits('v2')).to.equal(true)
    task.mergeVerdicts([{ service: 'pool', revision: ORDER.revision }])
    expect(admits('v2')).to.equal(false)
    task.applyOrders([{ ...ORDER, target: 'v2', revision: ORDER.revision + 3 }])
    task.mergeStatuses([{ ...active, startedAt: 0, revision: 20 }])
    expect(task.admission('pool', session)('v2')).to.equal(true)
  })
})

describe('a rollout leader that the store rejects', () => {
  it('is replaced by the box of rank 2 before the end of the rollout', async () => {
    const clock = new ManualClock()
    const written: string[] = []
    const store = {
      writeRollout: ({ state }: { state: string }) => {
        written.push(state)
        return Promise.resolve('written')
      },
      readRollouts: () => Promise.resolve({ value: [], version: 9, storeNow: clock.now() }),
    } as unknown as RolloutTaskOptions['store']
    // The store rejects the boxes of rank 0 and 1.
    const task = createTask({ clock, store, rank: () => 2 })
    const active = { service: 'pool', target: 'v2', state: 'active' as const, startedAt: 0 }
    task.mergeStatuses([{ ...active, revision: 6 }])
    task.updateStoreClock(0, clock.now())
    const end = ORDER.duration - 200
    while (clock.now() < end && written.length === 0) {
      await clock.advance(100)
      task.tick()
    }
    expect(written).to.deep.equal(['completed'])
  })
})
