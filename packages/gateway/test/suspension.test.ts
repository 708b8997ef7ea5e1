import { expect } from 'chai'
import { request } from 'undici'
import { PauseWatch } from '../src/index.js'
import { ManualClock } from '@yewkeel/decisions'
import {
  createTestRoute,
  startTestGateway,
  startUpstream,
  type Behaviour,
  type StandInUpstream,
  type TestGateway,
} from './testGateway.js'

/**
 * What users would see: a key that was taken away while a machine was suspended is honoured by the first requests after it wakes; a caller whose
 * time has long passed is kept waiting. Evidence: the clock stood still then (`systemClock.test.ts`).
 * On a moved clock a suspension is time that passes without a timer firing; requests come before the first of them.
 */
const answers: Behaviour = ({ headers }, response) =>
  void response
    .writeHead(200, { id: headers.id as string, signed: headers.id as string, 'content-length': 2 })
    .end('ok')
const saysNothing: Behaviour = () => undefined

const organisations = [{ name: 'belle-mare', priority: 0, keys: ['key-1'] }]

describe('a box whose machine was suspended', () => {
  const open: { close(): Promise<void> }[] = []
  afterEach(async () => {
    for (const thing of open.splice(0)) await thing.close()
  })

  async function start(
    behave: Behaviour,
  ): Promise<{ running: TestGateway; desk: StandInUpstream }> {
    const desk = await startUpstream('desk-1', behave)
    const routes = [createTestRoute({ isPublic: false, kind: 'unsafe' })]
    const running = await startTestGateway([desk], { routes, organisations })
    open.push(running)
    return { running, desk }
  }

  function ask(running: TestGateway): { status: number | undefined } {
    const seen: { status: number | undefined } = { status: undefined }
    void request(`http://${running.entry.address}/desk/1`, {
      method: 'POST',
      body: 'hello',
      headers: { id: 'r1', key: 'key-1', 'time-left': '1500' },
    }).then(async ({ statusCode, body }) => {
      await body.dump()
      seen.status = statusCode
    })
    return seen
  }

  /** Lets what came over sockets happen while the clock stands. */
  async function settle(running: TestGateway, condition: () => boolean): Promise<void> {
    for (let step = 0; step < 2_000 && !condition(); step++) await running.clock.advance(0)
  }

  for (const span of [4_000, 5_000, 60_000])
    it(`honours no key on a proof from before ${span} ms of it, in the very first request`, async () => {
      const { running, desk } = await start(answers)
      running.store.isOut = true
      running.clock.suspend(span)
      const seen = ask(running)
      await settle(running, () => seen.status !== undefined)
      expect(seen.status).to.equal(503)
      expect(desk.requests.length).to.equal(0)
    })

  it('serves with a proof that still stands after a short one', async () => {
    const { running } = await start(answers)
    running.clock.suspend(1_000)
    const seen = ask(running)
    await settle(running, () => seen.status !== undefined)
    expect(seen.status).to.equal(200)
  })

  it('ends requests whose time has passed meanwhile, with the first timers', async () => {
    const { running, desk } = await start(saysNothing)
    const seen = ask(running)
    await settle(running, () => desk.requests.length === 1)
    running.clock.suspend(30_000)
    await running.clock.advance(1)
    await settle(running, () => seen.status !== undefined)
    expect(seen.status).to.equal(504)
  })

  it('takes dead connections for its own doing, before and after its first timer', async () => {
    const clock = new ManualClock()
    const pauses = new PauseWatch(clock)
    pauses.start()
    await clock.advance(1_000)
    const sentAt = clock.now()
    expect(pauses.hasPausedSince(sentAt)).to.equal(false)
    clock.suspend(3_000)
    expect(pauses.hasPausedSince(sentAt)).to.equal(true)
    await clock.advance(500)
    expect(pauses.hasPausedSince(sentAt)).to.equal(true)
    expect(pauses.hasPausedSince(clock.now())).to.equal(false)
  })
})
