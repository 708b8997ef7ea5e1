import { expect } from 'chai'
import type { Route } from '@yewkeel/decisions'
import { request } from 'undici'
import {
  createTestRoute,
  startTestGateway,
  startUpstream,
  type UpstreamHandler,
  type TestGateway,
} from './testGateway.js'

/**
 * Guards against retries beyond the budget when many upstreams restart at their old addresses: a
 * send answered by another process must not be refunded.
 */
const UPSTREAM_COUNT = 10
const REQUEST_COUNT = 40
const RETRY_RATIO = 0.5

const answerAsAnotherProcess: UpstreamHandler = (message, response) => {
  response.writeHead(421, { 'not-run': '1', id: message.headers.id as string }).end()
}

const ROUTES: Record<string, Partial<Route>> = {
  calls: { kind: 'safe' },
  streams: { kind: 'streaming', isResumable: true, pauseObjective: 1_000, models: ['small'] },
}

/** Sends requests concurrently and advances the clock until each is answered. */
async function sendConcurrently(running: TestGateway, count: number): Promise<number[]> {
  const statuses: number[] = []
  for (let at = 0; at < count; at++)
    void request(`http://${running.entry.address}/desk/1`, {
      method: 'POST',
      body: 'hello',
      headers: { id: `r${at}`, 'time-left': '5000', model: '*' },
    }).then(async ({ statusCode, body }) => {
      await body.dump()
      statuses.push(statusCode)
    })
  await running.advanceUntil(() => statuses.length === count)
  return statuses
}

describe('the retry budget while upstreams restart', () => {
  const open: { close(): Promise<void> }[] = []
  afterEach(async () => {
    for (const resource of open.splice(0)) await resource.close()
  })

  for (const [kind, route] of Object.entries(ROUTES))
    it(`is charged for retries of ${kind} that another process rejected`, async () => {
      const names = Array.from({ length: UPSTREAM_COUNT }, (_, at) => `engine-${at}`)
      const engines = await Promise.all(
        names.map(name => startUpstream(name, answerAsAnotherProcess)),
      )
      const running = await startTestGateway(engines, { routes: [createTestRoute(route)] })
      open.push(running)
      running.gateway.services.retryShares.limits = { ratio: RETRY_RATIO, slack: 0, window: 10_000 }
      const statuses = await sendConcurrently(running, REQUEST_COUNT)
      const arrivals = engines.reduce((sum, { requests }) => sum + requests.length, 0)
      expect(arrivals - REQUEST_COUNT).to.be.at.most(RETRY_RATIO * REQUEST_COUNT)
      expect(new Set(statuses)).to.deep.equal(new Set([503]))
    })

  it('is not spent on an upstream again once another process answered there, even without alternatives', async () => {
    const names = Array.from({ length: UPSTREAM_COUNT }, (_, at) => `engine-${at}`)
    const engines = await Promise.all(
      names.map(name => startUpstream(name, answerAsAnotherProcess)),
    )
    const running = await startTestGateway(engines, { routes: [createTestRoute(ROUTES.streams!)] })
    open.push(running)
    for (let round = 0; round < 20; round++) await sendConcurrently(running, 1)
    expect(engines.map(({ requests }) => requests.length)).to.deep.equal(names.map(() => 1))
  })
})
