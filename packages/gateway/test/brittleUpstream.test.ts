import { expect } from 'chai'
import { request as httpRequest } from 'node:http'
import {
  createTestRoute,
  startTestGateway,
  startUpstream,
  type StandInUpstream,
  type TestGateway,
} from './testGateway.js'

/** Requests that the upstream may reject in a second without falling over, as all its answers say. */
const BEARABLE_REJECTIONS = 12
const CALLS = 60
const CALL_INTERVAL = 15

describe('a brittle upstream that is full', () => {
  let upstream: StandInUpstream
  let world: TestGateway
  let isFull = false

  beforeEach(async () => {
    isFull = false
    upstream = await startUpstream('i-1', (request, response) => {
      response.setHeader('id', String(request.headers['id']))
      response.setHeader('brittle', String(BEARABLE_REJECTIONS))
      if (!isFull) return response.setHeader('signed', 'i-1').end('answer')
      return response.writeHead(503, { 'not-run': '1' }).end()
    })
    const route = createTestRoute({ kind: 'unsafe', maxAttempts: 1 })
    world = await startTestGateway([upstream], { routes: [route] })
  })

  afterEach(() => world.close())

  function call(id: string): Promise<void> {
    const [host, port] = world.entry.address.split(':')
    return new Promise(resolve => {
      const headers = { id, 'time-left': '1500' }
      const sent = httpRequest(
        { host, port, path: '/desk/', method: 'POST', agent: false, headers },
        response => response.resume().on('close', () => resolve()),
      )
      sent.on('error', () => resolve())
      sent.end('text')
    })
  }

  it('gets no more requests to reject in a second than it bears', async () => {
    let isAnswered = false
    void call('first').then(() => (isAnswered = true))
    await world.advanceUntil(() => isAnswered)
    isFull = true
    const before = upstream.requests.length
    const calls: Promise<void>[] = []
    for (let sent = 0; sent < CALLS; sent++) {
      calls.push(call(`call-${sent}`))
      await world.clock.advance(CALL_INTERVAL)
    }
    const rejections = upstream.requests.length - before
    let areOver = false
    void Promise.all(calls).then(() => (areOver = true))
    await world.advanceUntil(() => areOver)
    expect(rejections).to.be.at.most(BEARABLE_REJECTIONS)
  })
})
