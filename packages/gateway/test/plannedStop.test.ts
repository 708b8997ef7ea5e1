import { connect, type Socket } from 'node:net'
import { expect } from 'chai'
import { createSeededRandom, ManualClock, type Route } from '@yewkeel/decisions'
import { runGateway, type RunningGateway } from '../src/index.js'
import {
  createTestRoute,
  createTestStore,
  startUpstream,
  TEST_SETTINGS,
  testDialect,
  type StandInUpstream,
  type UpstreamHandler,
} from './testGateway.js'

const ANY_PORT = '127.0.0.1:0'
const STEP_DURATION = 5
const MAX_STEPS = 4_000
/** A call that an upstream has got is not sent again. */
const UNREPEATED: Partial<Route> = { kind: 'unsafe' }
/** Larger than the buffers of a loopback connection. */
const LARGE_BODY_BYTES = 16 * 1024 * 1024

/** A raw connection of a caller, with what it has received. */
interface TestCaller {
  socket: Socket
  text: string
  isClosed: boolean
}

interface StoppableGateway {
  clock: ManualClock
  running: RunningGateway
  /** Fields of the logged events, by name. */
  events: { name: string; fields: Record<string, unknown> }[]
  requestLog: { id?: string; outcome?: string; status?: number }[]
  upstream: StandInUpstream
  /** Opens a connection of a caller. */
  open(): Promise<TestCaller>
  until(condition: () => boolean): Promise<void>
}

const createRequest = (id: string): string =>
  `GET /desk/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nid: ${id}\r\ntime-left: 2000\r\n\r\n`

/** Answers with the request's id and the given body. */
const answersWith =
  (body: string | Buffer): UpstreamHandler =>
  (request, response) => {
    const { id } = request.headers
    response.writeHead(200, { id: String(id), signed: '1', 'content-length': body.length })
    response.end(body)
  }

describe('a planned stop', () => {
  const closing: (() => Promise<void> | void)[] = []
  afterEach(async () => {
    for (const close of closing.splice(0)) await close()
  })

  async function start(
    handler: UpstreamHandler,
    route: Partial<Route> = {},
  ): Promise<StoppableGateway> {
    const clock = new ManualClock()
    const upstream = await startUpstream('u1', handler)
    const { store } = createTestStore(clock, [upstream], { routes: [createTestRoute(route)] })
    const events: StoppableGateway['events'] = []
    const requestLog: StoppableGateway['requestLog'] = []
    const running = await runGateway({
      settings: {
        ...TEST_SETTINGS,
        listen: { entry: ANY_PORT, readiness: ANY_PORT, directory: ANY_PORT, peers: ANY_PORT },
      },
      incarnation: '1',
      clock,
      random: createSeededRandom(1),
      log: {
        event: (name, fields) => void events.push({ name, fields: { ...fields } }),
        request: fields => void requestLog.push(fields),
      },
      dialect: testDialect,
      store,
      readDirectoryQuery: () => undefined,
      writeDirectoryAnswer: () => '',
      readinessPath: '/ready',
      metricsPath: '/metrics',
    })
    closing.push(async () => {
      upstream.close()
      let isStopped = false
      void running.stop().then(() => (isStopped = true))
      await until(() => isStopped)
    })
    const until = async (condition: () => boolean) => {
      for (let step = 0; step < MAX_STEPS && !condition(); step++)
        await clock.advance(STEP_DURATION)
      if (!condition())
        throw new Error('the condition is still false after 20 s on the manual clock')
    }
    await until(() => running.gateway.isReady())
    const open = async () => {
      const [host, port] = running.entryAddress.split(':')
      const socket = connect(Number(port), host)
      const caller: TestCaller = { socket, text: '', isClosed: false }
      socket.on('error', () => undefined)
      socket.on('data', bytes => (caller.text += bytes.toString('latin1')))
      socket.on('close', () => (caller.isClosed = true))
      closing.push(() => void socket.destroy())
      await new Promise<void>((resolve, reject) => {
        socket.once('connect', resolve)
        socket.once('close', () => reject(new Error('refused')))
      })
      return caller
    }
    return { clock, running, events, requestLog, upstream, open, until }
  }

  it('passes on no request that it then ends without an answer while its links close', async () => {
    const gateway = await start(() => undefined)
    const { clock, running, upstream, open, until } = gateway
    // A peer that has connected and not yet identified itself delays the end of the transport.
    const [host, port] = running.peerAddress.split(':')
    const peer = connect(Number(port), host)
    peer.on('error', () => undefined)
    await new Promise<void>(resolve => peer.once('connect', resolve))
    let isStopped = false
    void running.stop().then(() => (isStopped = true))
    await clock.advance(3_500)
    const caller = await open().catch(() => undefined)
    caller?.socket.write(createRequest('late'))
    await until(() => upstream.requests.length > 0 || caller === undefined || caller.isClosed)
    peer.destroy()
    await until(() => isStopped)
    await until(() => caller === undefined || caller.isClosed)
    expect(upstream.requests.length === 0 || caller!.text.startsWith('HTTP/1.1')).to.equal(true)
  })

  it('answers each request that it has passed on, also one that still runs at its end', async () => {
    const gateway = await start(() => undefined)
    const { clock, running, upstream, open, until } = gateway
    let isStopped = false
    void running.stop().then(() => (isStopped = true))
    const callers: TestCaller[] = []
    // Calls go on until the end, so that the box is never quiet.
    for (let count = 0; !isStopped; count++) {
      const caller = await open().catch(() => undefined)
      caller?.socket.write(createRequest(`r${count}`))
      if (caller) callers.push(caller)
      await clock.advance(200)
    }
    await until(() => callers.every(({ isClosed }) => isClosed))
    expect(upstream.requests.length).to.be.above(5)
    const passedOn = upstream.requests.map(({ headers }) => Number(String(headers.id).slice(1)))
    expect(passedOn.filter(id => !callers[id]!.text.startsWith('HTTP/1.1'))).to.eql([])
  })

  it('closes no connection whose answer has not been sent whole', async () => {
    const { clock, running, open, until } = await start(answersWith(Buffer.alloc(LARGE_BODY_BYTES)))
    const caller = await open()
    caller.socket.pause()
    caller.socket.write(createRequest('slow'))
    await clock.advance(400)
    void running.stop()
    await clock.advance(2_000)
    caller.socket.resume()
    await until(() => caller.isClosed)
    expect(caller.text.length).to.be.above(LARGE_BODY_BYTES)
  })

  it('ends in time with a caller that does not read its answer', async () => {
    const { clock, running, open, until } = await start(answersWith(Buffer.alloc(LARGE_BODY_BYTES)))
    const caller = await open()
    caller.socket.pause()
    caller.socket.write(createRequest('unread'))
    await clock.advance(400)
    const startedAt = clock.now()
    let isStopped = false
    void running.stop().then(() => (isStopped = true))
    await until(() => isStopped)
    expect(clock.now() - startedAt).to.be.at.most(TEST_SETTINGS.stopWithin + 500)
  })

  it('closes no connection as idle while a pipelined request on it is passed on', async () => {
    const held: (() => void)[] = []
    const gateway = await start((request, response) => {
      const answer = () => answersWith('done')(request, response)
      if (request.headers.id === 'first') answer()
      else held.push(answer)
    }, UNREPEATED)
    const { clock, running, open, until } = gateway
    const caller = await open()
    caller.socket.write(createRequest('first') + createRequest('second'))
    await until(() => held.length > 0 && caller.text.includes('done'))
    void running.stop()
    await clock.advance(1_700)
    held[0]!()
    await until(() => caller.isClosed)
    expect(caller.text.split('HTTP/1.1').length - 1).to.equal(2)
  })

  it('announces no close with an answer behind which a pipelined request is passed on', async () => {
    const held = new Map<unknown, () => void>()
    const gateway = await start(
      (request, response) =>
        held.set(request.headers.id, () => answersWith('done')(request, response)),
      UNREPEATED,
    )
    const { running, open, until } = gateway
    const caller = await open()
    caller.socket.write(createRequest('first') + createRequest('second'))
    await until(() => held.has('first'))
    void running.stop()
    held.get('first')!()
    await until(() => caller.text.includes('done') && held.has('second'))
    expect(caller.text.toLowerCase()).to.not.contain('connection: close')
    held.get('second')!()
    await until(() => caller.isClosed)
    expect(caller.text.split('HTTP/1.1').length - 1).to.equal(2)
  })

  it('closes no connection as idle whose next request came while the event loop was late', async () => {
    const gateway = await start(answersWith('done'))
    const { clock, running, upstream, open, until } = gateway
    const caller = await open()
    caller.socket.write(createRequest('first'))
    await until(() => caller.text.includes('done'))
    void running.stop()
    await clock.advance(1_500)
    // The timer fires before the request is read, as in a turn that was late.
    caller.socket.write(createRequest('next'))
    clock.advanceSync(100)
    await until(() => caller.isClosed)
    expect([upstream.requests.length, caller.text.split('HTTP/1.1').length - 1]).to.eql([2, 2])
  })
})
