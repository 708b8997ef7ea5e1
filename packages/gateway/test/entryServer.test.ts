import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import { ManualClock } from '@yewkeel/decisions'
import {
  createGatewayMetrics,
  KeptBytes,
  startEntryServer,
  type CallerRequest,
  type EntryServer,
  type EntryServerOptions,
  type OpenedEntry,
} from '../src/index.js'
import { TEST_SETTINGS } from './testGateway.js'

const REQUEST = 'GET /desk/1 HTTP/1.1\r\nhost: desk.example\r\n\r\n'

function createKeptBytes(clock: ManualClock, memoryBytes?: number): KeptBytes {
  return new KeptBytes({
    clock,
    log: { event() {}, request() {} },
    metrics: createGatewayMetrics(),
    settings: { ...TEST_SETTINGS, machine: { ...TEST_SETTINGS.machine, memoryBytes } },
  })
}

/** Options of an entry that a test changes where it needs others. */
function entryDefaults(clock: ManualClock): Omit<EntryServerOptions, 'handle'> {
  return {
    listen: '127.0.0.1:0',
    clock,
    isReady: () => true,
    maxConnections: 1_000,
    bodyBytes: () => 1_000,
    kept: createKeptBytes(clock),
    idOf: () => '',
    bodyDeadline: () => Infinity,
    onDropped: () => undefined,
  }
}

/** Opens an entry as it is done before the program is loaded. */
async function openEntry(): Promise<OpenedEntry> {
  const waiting: OpenedEntry['waiting'] = []
  const server = createServer({ pauseOnConnect: true }, socket => waiting.push(socket))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { server, waiting }
}

/** Sends one request and collects the response. */
function call(port: number) {
  const response = { text: '', isClosed: false, end: () => void socket.destroy() }
  const socket = connect(port, '127.0.0.1', () => socket.write(REQUEST))
  socket.on('data', bytes => (response.text += bytes.toString()))
  socket.on('close', () => (response.isClosed = true))
  return response
}

describe('an entry opened before the program was loaded', () => {
  let entry: EntryServer
  let opened: OpenedEntry
  let clock: ManualClock
  let isReady: boolean
  let readinessAtHandling: boolean[]

  async function until(condition: () => boolean): Promise<void> {
    for (let turn = 0; turn < 20_000 && !condition(); turn++)
      await new Promise<void>(resolve => setImmediate(resolve))
    if (!condition())
      throw new Error('the condition was still false after 20,000 turns of the event loop')
  }

  beforeEach(async () => {
    clock = new ManualClock()
    isReady = false
    readinessAtHandling = []
    opened = await openEntry()
  })
  afterEach(() => entry.close())

  async function start(): Promise<number> {
    entry = await startEntryServer({
      ...entryDefaults(clock),
      opened,
      isReady: () => isReady,
      handle(_request, answer) {
        readinessAtHandling.push(isReady)
        answer.start(200, ['content-length', '4'], true)
        answer.end('done')
      },
    })
    return (opened.server.address() as AddressInfo).port
  }

  it('serves connections from before and after the takeover once the box is ready', async () => {
    const { port } = opened.server.address() as AddressInfo
    const early = call(port)
    await until(() => opened.waiting.length === 1)
    expect(await start()).to.equal(Number(entry.address.split(':')[1]))
    await clock.advance(200)
    expect(early.text).to.equal('')
    isReady = true
    await clock.advance(10)
    await until(() => early.text.endsWith('done'))
    const later = call(port)
    await until(() => later.text.endsWith('done'))
    expect(readinessAtHandling).to.eql([true, true])
    entry.closeIdle()
    await until(() => early.isClosed && later.isClosed)
  })

  it('handles waiting requests after 400 ms even if the box is not ready', async () => {
    const early = call(await start())
    await until(() => opened.waiting.length === 1)
    await clock.advance(390)
    expect(readinessAtHandling).to.eql([])
    await clock.advance(20)
    await until(() => early.text.endsWith('done'))
    expect(readinessAtHandling).to.eql([false])
  })
})

const LARGE_ANSWER = Buffer.alloc(16 * 1024 * 1024, 'x')

describe('an entry that closes while a caller has not read its answer', () => {
  // Guards against an answer without a length whose rest is lost, and which then looks complete.
  it('resets the connection of an answer without a length', async () => {
    const clock = new ManualClock()
    const entry = await startEntryServer({
      ...entryDefaults(clock),
      handle(_request, answer) {
        answer.start(200, [], false)
        answer.write(LARGE_ANSWER)
        answer.end()
      },
    })
    const caller = connect(Number(entry.address.split(':')[1]), '127.0.0.1')
    let received = 0
    const ended = new Promise<string>(resolve => {
      caller.on('end', () => resolve('in order'))
      caller.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''))
    })
    caller.write(REQUEST)
    await new Promise<void>(resolve =>
      caller.once('data', bytes => {
        received += bytes.length
        caller.pause()
        resolve()
      }),
    )
    entry.close()
    caller.on('data', bytes => (received += bytes.length))
    caller.resume()
    expect(await ended).to.equal('ECONNRESET')
    expect(received).to.be.below(LARGE_ANSWER.length)
  })
})

const PIECE = '4\r\nabcd\r\n'
const PIECE_BYTES = 4
const PIECES = 20_000
/** After so many the entry knows that the pieces are small. */
const FIRST_PIECES = 64
const HEAD_OF_PIECES =
  'POST /desk/1 HTTP/1.1\r\nhost: desk.example\r\ntransfer-encoding: chunked\r\n\r\n'
/** What one slice holds. */
const MOST_PIECES_IN_A_TURN = Math.ceil(2_048 / PIECE.length) + 1

describe('an entry whose caller sends a body in small pieces', () => {
  const clock = new ManualClock()
  let entry: EntryServer
  let kept: KeptBytes
  let handled: CallerRequest[]
  let caller: Socket

  afterEach(() => {
    caller.destroy()
    entry.close()
  })

  async function start(bodyDeadline: () => number): Promise<void> {
    handled = []
    kept = createKeptBytes(clock)
    entry = await startEntryServer({
      ...entryDefaults(clock),
      bodyBytes: () => PIECES * PIECE_BYTES,
      kept,
      bodyDeadline,
      handle(request, answer) {
        handled.push(request)
        answer.start(200, ['content-length', '4'], true)
        answer.end('done')
      },
    })
    caller = connect(Number(entry.address.split(':')[1]), '127.0.0.1')
    caller.write(HEAD_OF_PIECES + PIECE.repeat(FIRST_PIECES))
  }

  async function until(condition: () => boolean, onTurn?: () => void): Promise<void> {
    for (let turn = 0; turn < 100_000 && !condition(); turn++) {
      await new Promise<void>(resolve => setImmediate(resolve))
      onTurn?.()
    }
    expect(condition(), 'the condition after 100,000 turns of the event loop').to.equal(true)
  }

  // Guards against a body whose pieces hold the event loop for as long as there are any.
  it('reads a slice of it in each turn of the event loop', async () => {
    await start(() => Infinity)
    await until(() => kept.total === FIRST_PIECES * PIECE_BYTES)
    let read = kept.total
    let most = 0
    caller.write(`${PIECE.repeat(PIECES - FIRST_PIECES)}0\r\n\r\n`)
    await until(
      () => handled.length > 0,
      () => {
        most = Math.max(most, kept.total - read)
        read = kept.total
      },
    )
    expect(handled[0]!.body.toString()).to.equal('abcd'.repeat(PIECES))
    expect(most / PIECE_BYTES).to.be.at.most(MOST_PIECES_IN_A_TURN)
  })

  // Guards against callers with a wrong key that cost as much as others.
  it('reads nothing more of a request that is rejected whatever its body is', async () => {
    await start(() => clock.now())
    await until(() => handled.length > 0)
    expect(handled[0]!.isBodyUnread).to.equal(true)
    expect(kept.total).to.equal(0)
  })

  it('gives the body up at the deadline of its request', async () => {
    const deadline = clock.now() + 1_000
    await start(() => deadline)
    await until(() => kept.total === FIRST_PIECES * PIECE_BYTES)
    expect(handled).to.eql([])
    await clock.advance(1_000)
    caller.write(PIECE.repeat(FIRST_PIECES))
    await until(() => handled.length > 0)
    expect(handled[0]!.isBodyUnread).to.equal(true)
  })

  // Guards against a connection that hangs once a body was read in slices.
  for (const [what, bodyDeadline] of [
    ['read', () => Infinity],
    ['given up', () => clock.now()],
  ] as const)
    it(`serves further requests on its connection after a body was ${what}`, async () => {
      await start(bodyDeadline)
      const rest = `${PIECE.repeat(PIECES - FIRST_PIECES)}0\r\n\r\n`
      const another = `${HEAD_OF_PIECES}${PIECE.repeat(PIECES)}0\r\n\r\n`
      let answers = ''
      caller.on('data', bytes => (answers += bytes.toString()))
      caller.write(rest + another + REQUEST)
      await until(() => answers.match(/done/g)?.length === 3)
      expect(handled.map(({ method }) => method)).to.have.members(['POST', 'POST', 'GET'])
    })
})

const MEMORY_BYTES = 5_000_000
const UNFINISHED_BYTES = 50_000
const UNFINISHED_BODIES = 60

describe('an entry with many small bodies that are not whole', () => {
  // Guards against a bound that each body stays below and all together do not.
  it('keeps no more of them than it may, and hands the others on unread', async () => {
    const clock = new ManualClock()
    const kept = createKeptBytes(clock, MEMORY_BYTES)
    let unread = 0
    let most = 0
    const entry = await startEntryServer({
      ...entryDefaults(clock),
      bodyBytes: () => 2 * UNFINISHED_BYTES,
      kept,
      handle(request, answer) {
        if (request.isBodyUnread) unread++
        answer.start(503, ['content-length', '0'], true)
        answer.end()
      },
    })
    const head = HEAD_OF_PIECES.replace('transfer-encoding: chunked', 'content-length: 60000')
    const callers = Array.from({ length: UNFINISHED_BODIES }, () => {
      const caller = connect(Number(entry.address.split(':')[1]), '127.0.0.1')
      caller.write(`${head}x`)
      return caller
    })
    // All have begun while memory is free.
    while (kept.total < UNFINISHED_BODIES) await new Promise<void>(resolve => setImmediate(resolve))
    for (const caller of callers) caller.write('x'.repeat(UNFINISHED_BYTES))
    for (let turn = 0; turn < 20_000 && unread < UNFINISHED_BODIES / 3; turn++) {
      await new Promise<void>(resolve => setImmediate(resolve))
      most = Math.max(most, kept.total)
    }
    expect(unread).to.be.at.least(UNFINISHED_BODIES / 3)
    expect(most).to.be.at.most(kept.limits.total)
    for (const caller of callers) caller.destroy()
    entry.close()
  })
})
