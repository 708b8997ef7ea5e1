import { expect } from 'chai'
import { request } from 'undici'
import {
  createTestRoute,
  startTestGateway,
  startUpstream,
  type StandInUpstream,
  type TestGateway,
} from './testGateway.js'

const WHOLE = 'all of the answer'
const UPSTREAMS = ['u1', 'u2', 'u3']

describe('the end of a call without a length', () => {
  const closing: { close(): unknown }[] = []
  afterEach(async () => {
    for (const resource of closing.splice(0)) await resource.close()
  })

  /** A gateway whose upstreams answer in turn, at whichever, with so many bytes; the last ever after. */
  async function start(lengths: readonly number[]): Promise<TestGateway> {
    let begun = 0
    const startOne = (id: string): Promise<StandInUpstream> =>
      startUpstream(id, ({ headers, socket }) => {
        const length = lengths[Math.min(begun++, lengths.length - 1)]!
        const head = `HTTP/1.1 200 OK\r\nsigned: 1\r\nid: ${String(headers.id)}\r\n\r\n`
        socket.end(head + WHOLE.slice(0, length))
      })
    const upstreams = await Promise.all(UPSTREAMS.map(startOne))
    const running = await startTestGateway(upstreams, { routes: [createTestRoute({})] })
    closing.push(running)
    return running
  }

  async function ask(running: TestGateway) {
    let isDone = false
    const asked = request(`http://${running.entry.address}/desk/1`, {
      headers: { id: 'r1', 'time-left': '1500' },
    })
      .then(async ({ headers, body }) => ({
        text: await body.text(),
        hasLength: headers['content-length'] !== undefined,
      }))
      .finally(() => (isDone = true))
    await running.advanceUntil(() => isDone)
    return asked
  }

  it('is known where two answers end after as many bytes, and has a length then', async () => {
    const running = await start([WHOLE.length])
    expect(await ask(running)).to.deep.equal({ text: WHOLE, hasLength: true })
  })

  // Guards against half an answer that looks whole since the longer of two was cut as well.
  it('is asked for once more where two answers differ', async () => {
    const running = await start([3, 8, WHOLE.length])
    expect(await ask(running)).to.deep.equal({ text: WHOLE, hasLength: false })
    const again = await start([3, WHOLE.length])
    expect(await ask(again)).to.deep.equal({ text: WHOLE, hasLength: true })
  })

  it('is not known from answers that ended before their first byte', async () => {
    const running = await start([0, 0, WHOLE.length])
    expect(await ask(running)).to.deep.equal({ text: WHOLE, hasLength: false })
  })
})
