import { expect } from 'chai'
import { ManualClock, type Milliseconds } from '@yewkeel/decisions'
import {
  createGatewayMetrics,
  StatementTask,
  type AnswerFields,
  type Statement,
  type Upstream,
} from '../src/index.js'

const ANSWER: AnswerFields = { isSigned: true, isNotRun: false, isFramed: true, isEncoded: false }
const TURNED_AWAY: AnswerFields = { ...ANSWER, isSigned: false, isNotRun: true, id: 'r1' }

function createTask() {
  const clock = new ManualClock()
  const notes: { event: string; unreadable?: readonly string[] }[] = []
  const told: Statement[] = []
  let pausedAt = -Infinity
  const retired: string[] = []
  const task: StatementTask = new StatementTask({
    clock,
    log: { note: (event, fields) => void notes.push({ event, ...fields }), request() {} },
    metrics: createGatewayMetrics(),
    find: run => (run === 'u1' ? upstream : undefined),
    all: () => [upstream],
    pauses: { hasPausedSince: since => pausedAt > since },
    tell: entries => void told.push(...entries),
  })
  const upstream = {
    listed: { id: 'u1', service: 'pool', state: 'ready' },
    run: 'u1',
    said: task.saidBy('u1'),
    channels: { retire: () => void retired.push('u1') },
  } as unknown as Upstream
  const answer = (status: number, fields: AnswerFields, sentAt: Milliseconds = clock.now()) =>
    task.take(upstream, { status, headers: [], fields }, sentAt)
  return {
    ...{ clock, notes, told, task, said: upstream.said, retired, answer },
    pause: () => void (pausedAt = clock.now()),
  }
}

describe('what an upstream says of itself', () => {
  it('counts in answers that it signed, and in those with which it turned this request away', () => {
    const { said, answer, retired } = createTask()
    answer(200, { ...ANSWER, limit: 2 })
    expect(said.limit?.perSecond).to.equal(2)
    answer(503, { ...TURNED_AWAY, isLeaving: true, limit: 2 })
    expect(said.isLeaving).to.equal(true)
    expect(retired).to.deep.equal(['u1'])
  })

  it('does not count where nobody can say who said it', () => {
    const { said, answer, told } = createTask()
    const words = { limit: 2, isLeaving: true, retryAfter: 3 }
    answer(200, { ...ANSWER, isSigned: false, ...words })
    answer(503, { ...TURNED_AWAY, answeredBy: 'u2', ...words })
    answer(421, { ...TURNED_AWAY, ...words })
    expect([said.limit, said.isLeaving, said.restUntil, told.length]).to.deep.equal([
      undefined,
      false,
      -Infinity,
      0,
    ])
  })

  it('is told to the other boxes once, and again while it stands', async () => {
    const { clock, answer, told } = createTask()
    for (let count = 0; count < 5; count++) answer(200, { ...ANSWER, limit: 2, isLeaving: true })
    expect(told).to.deep.equal([
      { run: 'u1', limit: { perSecond: 2, version: 1, turn: 0 } },
      { run: 'u1', isLeaving: true },
    ])
    await clock.advance(2_100)
    answer(200, { ...ANSWER, limit: 2 })
    expect(told.at(-1)!.limit).to.deep.equal({ perSecond: 2, version: 2, turn: 0 })
  })

  it('is kept for a run that is not listed yet, and passed on once', () => {
    const { task } = createTask()
    const entries: Statement[] = [
      { run: 'u7', isLeaving: true },
      { run: 'u7', limit: { perSecond: 1, version: 3, turn: 0 } },
    ]
    expect(task.hear(entries)).to.deep.equal(entries)
    expect(task.hear(entries)).to.deep.equal([])
    expect(task.saidBy('u7')).to.deep.include({ isLeaving: true })
    expect(task.current()).to.deep.equal([])
  })

  it('holds on where an answer cannot be read, with one line in the log', () => {
    const { said, answer, notes } = createTask()
    answer(200, { ...ANSWER, limit: 2 })
    for (let count = 0; count < 3; count++)
      answer(200, { ...ANSWER, unreadable: ['server-limit: abc'] })
    expect(said.limit?.perSecond).to.equal(2)
    expect(notes.filter(({ unreadable }) => unreadable).length).to.equal(1)
  })

  it('is not taken back by an answer that lay here while the box stood still', async () => {
    const { clock, said, answer, pause } = createTask()
    answer(200, { ...ANSWER, limit: 2 })
    const sentAt = clock.now()
    await clock.advance(100)
    pause()
    answer(200, ANSWER, sentAt)
    expect(said.limit?.perSecond).to.equal(2)
    answer(200, ANSWER, clock.now())
    expect(said.limit?.perSecond).to.equal(undefined)
  })

  it('asks for rest from 503 and 429 alone, and a later answer ends the rest', async () => {
    const { clock, said, answer } = createTask()
    answer(200, { ...ANSWER, retryAfter: 3 })
    expect(said.restUntil).to.equal(-Infinity)
    answer(429, { ...TURNED_AWAY, retryAfter: 3 })
    answer(503, { ...TURNED_AWAY, retryAfter: 0.25 })
    const until = clock.now() + 3_000
    expect(said.restUntil).to.equal(until)
    answer(200, ANSWER)
    expect(said.restUntil).to.equal(until)
    await clock.advance(3_001)
    answer(200, ANSWER)
    expect(said.restUntil).to.equal(-Infinity)
  })
})
