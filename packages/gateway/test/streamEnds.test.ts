import type { IncomingMessage, ServerResponse } from 'node:http'
import { expect } from 'chai'
import type { Route } from '@yewkeel/decisions'
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

/** How one run ends: after this event, in order; as a whole stream does by default. */
interface Run {
  endsAfter?: number
  /** It answers once this has resolved. */
  waits?: Promise<void>
  /** Something without an id comes before the first event. */
  beginsWithout?: boolean
  /** The answer comes in chunks. */
  isFramed?: boolean
}

/** Starts upstreams whose runs, at whichever, end in turn as they are given, the last one ever after. */
async function startStreaming(runs: readonly Run[], count = 2): Promise<StandInUpstream[]> {
  let begun = 0
  const answer = async ({ headers, socket }: IncomingMessage, response: ServerResponse) => {
    const run = runs[Math.min(begun++, runs.length - 1)]!
    const { endsAfter = EVENTS, isFramed = false, beginsWithout = false } = run
    await run.waits
    const from = Number(headers['last-event-id'] ?? 0) + 1
    const head = { signed: '1', id: String(headers.id) }
    let body = beginsWithout ? ': ready\n\n' : ''
    for (let event = from; event <= endsAfter; event++) body += `id: ${event}\ndata: x\n\n`
    if (isFramed) return void response.writeHead(200, head).end(body)
    const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`)
    socket.end(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n${body}`)
  }
  return Promise.all(
    Array.from({ length: count }, (_, index) =>
      startUpstream(`u${index}`, (...exchange) => void answer(...exchange)),
    ),
  )
}

/** The events that upstreams were asked to go on after, in turn, of one upstream. */
const askedAfter = ({ requests }: StandInUpstream) =>
  requests.map(({ headers }) => headers['last-event-id'])

const ALL_EVENTS = Array.from({ length: EVENTS }, (_, index) => index + 1)

describe('the end of a stream without a length', () => {
  const closing: { close(): unknown }[] = []
  afterEach(async () => {
    for (const resource of closing.splice(0)) await resource.close()
  })

  async function start(
    upstreams: readonly StandInUpstream[],
    change: Partial<Route> = {},
  ): Promise<TestGateway> {
    const stream = { kind: 'streaming', isResumable: true, timeout: 20_000 } as const
    const route = createTestRoute({ ...stream, ...change })
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
    const running = await start(await startStreaming([{}, { isFramed: true }], 1))
    await ask(running, { 'last-event-id': '4' })
    const line = running.requestLog.at(-1)! as Record<string, unknown>
    expect(line).to.include({ resumesAfter: '4', lastEvent: '6', endsBy: 'chunk' })
    const [first, second] = line.tries as Record<string, unknown>[]
    expect([first!.isUnframed, second!.isUnframed]).to.deep.equal([true, undefined])
    expect([first!.after, second!.after]).to.deep.equal(['3', '5'])
  })

  // Guards against a short stream that looks whole since the run that was asked for the rest ended early as well.
  it('is not proved by a run that ends before the event that it was asked to repeat', async () => {
    const runs = [{ endsAfter: 3 }, { endsAfter: 0 }, { isFramed: true }]
    const running = await start(await startStreaming(runs))
    expect(await ask(running)).to.deep.equal({ events: ALL_EVENTS, isWhole: true })
  })

  it('is not proved to a caller that comes back by a run that ends before it repeats its last event', async () => {
    const running = await start(await startStreaming([{ endsAfter: 0 }, { isFramed: true }]))
    const seen = await ask(running, { 'last-event-id': '3' })
    expect(seen).to.deep.equal({ events: [4, 5, 6], isWhole: true })
  })

  // Guards against a caller that comes back to a cut stream, whose first run ends early after the event that it has.
  it('is not proved to a caller that comes back by one run, unless all ends were lately found sound', async () => {
    const runs = [{ endsAfter: 3 }, { isFramed: true }]
    const unknown = await start(await startStreaming(runs))
    const seen = await ask(unknown, { 'last-event-id': '3' })
    expect(seen).to.deep.equal({ events: [4, 5, 6], isWhole: true })
    const upstreams = await startStreaming([{}], 1)
    const sound = await start(upstreams)
    sound.gateway.services.ends.record('desk', 'sound', 16)
    expect(await ask(sound, { 'last-event-id': '6' })).to.deep.equal({ events: [], isWhole: true })
    expect(askedAfter(upstreams[0]!)).to.deep.equal(['5'])
  })

  it('is not written where every run ends before the event that it was asked to repeat', async () => {
    const running = await start(await startStreaming([{ endsAfter: 3 }, { endsAfter: 0 }]))
    expect(await ask(running)).to.deep.equal({ events: [1, 2, 3], isWhole: false })
  })

  // Guards against a short stream that looks whole since the second run ended early after the same event by chance.
  it('takes a third run after the same event where upstreams end streams early', async () => {
    const upstreams = await startStreaming([{ endsAfter: 3 }, {}])
    const running = await start(upstreams)
    await ask(running)
    expect(running.events.map(({ name }) => name)).to.include('stream-ends')
    const countRuns = () => upstreams.flatMap(({ requests }) => requests).length
    const before = countRuns()
    expect(await ask(running, { id: 'r2' })).to.deep.equal({ events: ALL_EVENTS, isWhole: true })
    expect(countRuns() - before).to.equal(3)
    expect(running.requestLog.at(-1)!.outcome).to.equal('delivered')
  })

  describe('that no retry is left to prove', () => {
    const SOUND = [{ service: 'desk', sound: 16, early: 0 }]

    /** A gateway whose route allows one attempt, and that has found so many ends. */
    async function startUnprovable(found: typeof SOUND, upstreams: StandInUpstream[]) {
      const running = await start(upstreams, { maxAttempts: 1 })
      for (const { service, sound, early } of found) {
        running.gateway.services.ends.record(service, 'sound', sound)
        running.gateway.services.ends.record(service, 'early', early)
      }
      return running
    }

    // Guards against sound streams that are broken off for want of a retry.
    it('is accepted where all ends were lately found sound, and told so in its line', async () => {
      const running = await startUnprovable(SOUND, await startStreaming([{}], 1))
      expect(await ask(running)).to.deep.equal({ events: ALL_EVENTS, isWhole: true })
      expect(running.requestLog.at(-1)).to.include({ isEndAccepted: true })
    })

    for (const [name, found] of [
      ['nothing is known of the ends', []],
      ['one end was lately early', [{ service: 'desk', sound: 100, early: 1 }]],
      ['those of another service were sound', [{ service: 'pool', sound: 100, early: 0 }]],
    ] as const)
      it(`is not written where ${name}`, async () => {
        const running = await startUnprovable([...found], await startStreaming([{}], 1))
        expect(await ask(running)).to.deep.equal({ events: ALL_EVENTS, isWhole: false })
      })

    it('is not written where its upstream is about to leave', async () => {
      const running = await startUnprovable(SOUND, await startStreaming([{ endsAfter: 3 }], 1))
      running.store.upstreams = running.store.upstreams.map(listed => ({
        ...listed,
        state: 'draining',
        revision: listed.revision + 1,
      }))
      running.store.version++
      const asked = ask(running)
      expect(await asked).to.deep.equal({ events: [1, 2, 3], isWhole: false })
    })
  })

  // Guards against a doubt of all upstreams since one of them left in the middle of its streams.
  it('is not doubted elsewhere since an upstream that leaves ended it early', async () => {
    let release = () => {}
    const waits = new Promise<void>(resolve => (release = resolve))
    const upstreams = await startStreaming([{ endsAfter: 3, waits }, {}])
    const running = await start(upstreams, { latencyObjective: 10_000 })
    const asked = ask(running)
    await running.advanceUntil(() => upstreams.some(({ requests }) => requests.length > 0))
    const left = upstreams.find(({ requests }) => requests.length > 0)!
    running.store.upstreams = running.store.upstreams.map(listed =>
      listed.id === left.id ? { ...listed, state: 'draining', revision: 2 } : listed,
    )
    running.store.version++
    await running.clock.advance(3_000)
    release()
    expect(await asked).to.deep.equal({ events: ALL_EVENTS, isWhole: true })
    expect(running.events.map(({ name }) => name)).not.to.include('stream-ends')
  })

  it('is proved for a stream of one event by a run from its beginning', async () => {
    const upstreams = await startStreaming([{ endsAfter: 1 }], 1)
    const running = await start(upstreams)
    expect(await ask(running)).to.deep.equal({ events: [1], isWhole: true })
    expect(askedAfter(upstreams[0]!)).to.deep.equal([undefined, undefined])
  })

  // Guards against a stream that goes to the close since its first event has no id.
  it('is proved for a stream that begins with something without an id', async () => {
    const running = await start(await startStreaming([{ beginsWithout: true }], 1))
    expect(await ask(running)).to.deep.equal({ events: ALL_EVENTS, isWhole: true })
    expect(running.requestLog.at(-1)).to.include({ endsBy: 'chunk' })
  })
})
