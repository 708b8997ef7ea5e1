import { expect } from 'chai'
import { request } from 'undici'
import {
  createTestRoute,
  startTestGateway,
  startUpstream,
  type StandInUpstream,
  type TestGateway,
} from './testGateway.js'

/** Events of a whole stream. */
const EVENTS = 6

/** How one run of an upstream ends: after this event, in order; as a whole stream does by default. */
interface Run {
  endsAfter?: number
  /** The answer comes in chunks. */
  isFramed?: boolean
}

/** Starts an upstream whose runs end in turn as they are given, the last one ever after. */
function startStreaming(id: string, runs: readonly Run[]): Promise<StandInUpstream> {
  let begun = 0
  return startUpstream(id, ({ headers, socket }, response) => {
    const { endsAfter = EVENTS, isFramed = false } = runs[Math.min(begun++, runs.length - 1)]!
    const from = Number(headers['last-event-id'] ?? 0) + 1
    const head = { signed: '1', id: String(headers.id) }
    let body = ''
    for (let event = from; event <= endsAfter; event++) body += `id: ${event}\ndata: x\n\n`
    if (isFramed) return void response.writeHead(200, head).end(body)
    const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`)
    socket.end(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n${body}`)
  })
}

describe('the end of a stream without a length', () => {
  const closing: { close(): unknown }[] = []
  afterEach(async () => {
    for (const resource of closing.splice(0)) await resource.close()
  })

  async function start(upstreams: readonly StandInUpstream[]): Promise<TestGateway> {
    const route = createTestRoute({ kind: 'streaming', isResumable: true, timeout: 20_000 })
    const running = await startTestGateway(upstreams, { routes: [route] })
    closing.push(running)
    return running
  }

  /** The events that a caller got, and whether the answer was complete. */
  async function ask(running: TestGateway, headers: Record<string, string> = {}) {
    let isDone = false
    let text = ''
    const asked = request(`http://${running.entry.address}/desk/1`, {
      method: 'POST',
      headers: { id: 'r1', 'time-left': '15000', ...headers },
    })
      .then(async ({ body }) => {
        for await (const chunk of body) text += String(chunk)
        return true
      })
      .catch(() => false)
      .finally(() => (isDone = true))
    await running.advanceUntil(() => isDone)
    const events = [...text.matchAll(/^id: (\d+)$/gm)].map(found => Number(found[1]))
    return { events, isWhole: await asked }
  }

  it('is told in the line of its request: framing, last event and what the caller had', async () => {
    const running = await start([await startStreaming('u1', [{}, { isFramed: true }])])
    await ask(running, { 'last-event-id': '3' })
    const line = running.requestLog.at(-1)! as Record<string, unknown>
    expect(line).to.include({ resumesAfter: '3', lastEvent: '6', endsBy: 'chunk' })
    const [first, second] = line.tries as Record<string, unknown>[]
    expect([first!.isUnframed, second!.isUnframed]).to.deep.equal([true, undefined])
    expect([first!.after, second!.after]).to.deep.equal(['3', '6'])
  })
})
