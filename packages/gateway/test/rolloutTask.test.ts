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
    log: { note() {}, request() {} },
    store: {} as RolloutTaskOptions['store'],
    upstreams: {
      readyVersions: () => versions,
      takesNow: () => true,
      inFlight: () => new Map(),
    } as unknown as RolloutTaskOptions['upstreams'],
    rank: () => 0,
    allAnswers: () => [{ box: 'box-1', counts: task.answers }],
    exposureLimit: () => 0.15,
    onVerdict() {},
    onBadAnswer() {},
    ...change,
  })
  task.takeOrders([ORDER])
  for (let count = 0; count < 20; count++) {
    task.judge.noteOutcome(KEY, true)
    task.judge.noteTime(KEY, 'start', 1)
    task.judge.noteTime(KEY, 'pace', 30)
  }
  return task
}

const SUSPECT = { ...KEY, version: 'v2', upstream: 'u2' }

const badOf = (task: RolloutTask, version: string, aspect: AnswerAspect) =>
  task.answers.find(count => count.version === version && count.aspect === aspect)?.bad

describe('requests of a service that is rolled out', () => {
  const admitted = (takesNow: boolean, session: (at: number) => string | undefined) => {
    const versions = new Map([
      ['v1', 2],
      ['v2', 2],
    ])
    const upstreams = {
      readyVersions: () => versions,
      takesNow: () => takesNow,
      inFlight: () => new Map(),
    } as unknown as RolloutTaskOptions['upstreams']
    const clock = new ManualClock()
    const task = createTask({ clock, upstreams })
    task.noteStoreClock(0, clock.now())
    task.takeStatuses([
      { service: 'pool', target: 'v2', state: 'active', startedAt: -18_000, revision: 6 },
    ])
    const requests = Array.from({ length: 400 }, (_, at) => task.admission('pool', session(at)))
    return requests.filter(admits => admits('v2')).length
  }

  it('go to the established version while all upstreams of the new one are in need', () => {
    expect(admitted(true, () => undefined)).to.be.above(0)
    expect(admitted(false, () => undefined)).to.equal(0)
  })

  it('stay with their version where they are of a session', () => {
    const session = (at: number) => `s${at}`
    expect(admitted(false, session)).to.equal(admitted(true, session))
  })
})

describe('evidence that a box gathers', () => {
  it('does not hold a long prompt against its version', () => {
    const task = createTask()
    task.judge.noteTime(SUSPECT, 'start', 1.05)
    expect(badOf(task, 'v2', 'start')).to.equal(0)
  })

  it('counts an answer that took longer than its prompt and the answers of others explain', () => {
    const task = createTask()
    task.judge.noteTime(SUSPECT, 'start', 1.2)
    expect(badOf(task, 'v2', 'start')).to.equal(1)
  })

  it('counts an answer that goes on more slowly than most of the others', () => {
    const task = createTask()
    task.judge.noteTime(SUSPECT, 'pace', 40)
    expect(badOf(task, 'v2', 'pace')).to.equal(1)
  })

  it('counts a failure', () => {
    const task = createTask()
    task.judge.noteOutcome(SUSPECT, false)
    expect(badOf(task, 'v2', 'outcome')).to.equal(1)
  })

  it('never learns from a version on trial what is usual', () => {
    const task = createTask()
    for (let count = 0; count < 50; count++) task.judge.noteTime(SUSPECT, 'pace', 90)
    expect(badOf(task, 'v2', 'pace')).to.equal(50)
  })

  it('counts an answer that was given up if it had taken too long by then, and says nothing of others', () => {
    const task = createTask()
    task.judge.noteUnfinished(SUSPECT, 'start', 1)
    expect(badOf(task, 'v2', 'start')).to.equal(undefined)
    task.judge.noteUnfinished(SUSPECT, 'start', 3)
    expect(badOf(task, 'v2', 'start')).to.equal(1)
  })
})

describe('versions that a request may run on', () => {
  it('leave out a target whose roll-out has not begun, or was rolled back', () => {
    const task = createTask()
    expect(task.admission('pool', undefined)('v2')).to.equal(false)
    task.takeStatuses([
      { service: 'pool', target: 'v2', state: 'rolled-back', startedAt: 0, revision: 6 },
    ])
    expect(task.admission('pool', undefined)('v2')).to.equal(false)
    expect(task.admission('pool', undefined)('v1')).to.equal(true)
  })

  it('are the target alone once it is completed, and a late older status changes nothing', () => {
    const task = createTask()
    const completed = { service: 'pool', target: 'v2', state: 'completed' as const, startedAt: 0 }
    task.takeStatuses([{ ...completed, revision: 9 }])
    task.takeStatuses([{ ...completed, state: 'active', revision: 6 }])
    expect(task.admission('pool', 's1')('v1')).to.equal(false)
    expect(task.admission('pool', 's1')('v2')).to.equal(true)
  })

  /**
   * What users saw: requests of one session ran on the version of before and on a bad one by turns.
   * Order of events: a version is rolled back; another is ordered at once, while the upstreams of the bad one still serve. All but
   * the new target were admitted.
   * Evidence: the rolled-back state was written at 26.57 s, the next order read at 26.65 s; at 28.2 s seven requests ran on another
   * version than the one before them in their sessions.
   */
  it('leave out a version that was rolled back also when another is ordered while its upstreams still serve', async () => {
    const versions = new Map([
      ['v1', 3],
      ['v2', 2],
      ['v3', 1],
    ])
    const upstreams = {
      readyVersions: () => versions,
      takesNow: () => true,
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
    task.takeStatuses([{ ...rolledBack, revision: 6 }])
    task.takeOrders([{ ...ORDER, target: 'v3', revision: 7 }])
    const admitted = (which: RolloutTask) =>
      [...versions.keys()].filter(which.admission('pool', 's1'))
    expect(admitted(task)).to.eql(['v1'])
    // A box that starts later learns of it by the state of the new roll-out.
    task.noteStoreClock(0, 0)
    task.tick()
    await Promise.resolve()
    const active = { service: 'pool', target: 'v3', state: 'active' as const, startedAt: 0 }
    const later = createTask(options)
    later.takeOrders([{ ...ORDER, target: 'v3', revision: 7 }])
    later.takeStatuses([{ ...active, ...written[0], revision: 8 }])
    expect(admitted(later)).to.eql(['v1'])
    // Nothing but the rejected one is left: it serves rather than none.
    versions.delete('v1')
    versions.delete('v3')
    expect(admitted(later)).to.eql(['v2'])
  })

  it('do not take in a version that came up without an order while an established one serves', () => {
    const versions = new Map([['v1', 2]])
    const upstreams = {
      readyVersions: () => versions,
      takesNow: () => true,
      inFlight: () => new Map(),
    }
    const task = createTask({ upstreams: upstreams as unknown as RolloutTaskOptions['upstreams'] })
    task.takeOrders([])
    expect(task.admission('pool', undefined)('v1')).to.equal(true)
    versions.set('v3', 1)
    expect(task.admission('pool', undefined)('v3')).to.equal(false)
    versions.delete('v1')
    expect(task.admission('pool', undefined)('v3')).to.equal(true)
  })
})

/**
 * What users saw: for up to 25 s after a roll-back, further tries of requests that had begun before it went to the bad version, and boxes
 * that the store turned away sent it new ones.
 * Order of events: a request draws its version when it comes; the version is found bad; the store is written; the request tries again.
 * Cause: the draw was kept for good, and a verdict counted only once the store had it.
 */
describe('a verdict on a version', () => {
  const active = { service: 'pool', target: 'v2', state: 'active' as const, startedAt: 0 }
  const isOut = {
    writeRollout: () => Promise.reject(new Error('the store does not answer')),
  } as unknown as RolloutTaskOptions['store']

  /** A box at three quarters of a roll-out, and a session that is on trial there. */
  async function createTrial(change: Partial<RolloutTaskOptions> = {}) {
    const clock = new ManualClock()
    const task = createTask({ clock, store: isOut, ...change })
    task.takeStatuses([{ ...active, revision: 6 }])
    task.noteStoreClock(0, 0)
    await clock.advance(0.75 * ORDER.duration)
    const sessions = Array.from({ length: 200 }, (_, number) => `s${number}`)
    const session = sessions.find(name => task.admission('pool', name)('v2'))!
    return { task, clock, session }
  }

  it('takes requests under way and new ones off the version at once, though the store does not answer', async () => {
    const { task, session } = await createTrial()
    const underWay = task.admission('pool', session)
    expect(underWay('v2')).to.equal(true)
    for (let count = 0; count < 40; count++)
      for (const upstream of ['u2', 'u3', 'u4'])
        task.judge.noteOutcome({ ...SUSPECT, upstream }, count % 2 === 0)
    task.tick()
    expect([underWay('v2'), underWay('v1')]).to.eql([false, true])
    expect(task.admission('pool', session)('v2')).to.equal(false)
    expect(task.verdicts).to.eql([{ service: 'pool', revision: ORDER.revision }])
  })

  it('counts on a box that another has told of it, and only for the order that it is of', async () => {
    const { task, session } = await createTrial()
    const underWay = task.admission('pool', session)
    task.takeVerdicts([{ service: 'pool', revision: ORDER.revision - 1 }])
    expect(underWay('v2')).to.equal(true)
    task.takeVerdicts([{ service: 'pool', revision: ORDER.revision }])
    expect(underWay('v2')).to.equal(false)
    task.takeOrders([{ ...ORDER, target: 'v2', revision: ORDER.revision + 3 }])
    task.takeStatuses([{ ...active, startedAt: 0, revision: 20 }])
    expect(task.admission('pool', session)('v2')).to.equal(true)
  })
})

describe('a leader that the store turns away', () => {
  it('is stepped in for by each of the next boxes before the end of the roll-out', async () => {
    const clock = new ManualClock()
    const written: string[] = []
    const store = {
      writeRollout: ({ state }: { state: string }) => {
        written.push(state)
        return Promise.resolve('written')
      },
      readRollouts: () => Promise.resolve({ value: [], version: 9, storeNow: clock.now() }),
    } as unknown as RolloutTaskOptions['store']
    // Both boxes before this one are turned away by the store.
    const task = createTask({ clock, store, rank: () => 2 })
    const active = { service: 'pool', target: 'v2', state: 'active' as const, startedAt: 0 }
    task.takeStatuses([{ ...active, revision: 6 }])
    task.noteStoreClock(0, clock.now())
    const end = ORDER.duration - 200
    while (clock.now() < end && written.length === 0) {
      await clock.advance(100)
      task.tick()
    }
    expect(written).to.deep.equal(['completed'])
  })
})
