import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import { BlankLines, RequestReading, type RequestReadingOptions } from '../src/index.js'

const HEAD = 'GET /1 HTTP/1.1\r\nhost: box\r\n\r\n'
const MAX_TURNS = 100_000

async function until(condition: () => boolean): Promise<void> {
  for (let turn = 0; turn < MAX_TURNS && !condition(); turn++)
    await new Promise<void>(resolve => setImmediate(resolve))
  expect(condition(), `the condition after ${MAX_TURNS} turns of the event loop`).to.equal(true)
}

/** A caller, and what it has received. */
interface Caller {
  socket: Socket
  text: string
  isClosed: boolean
}

describe('a server that reads one request of a connection at a time', () => {
  let server: Server
  let reading: RequestReading
  let handled: { url: string; body: string }[]
  let held: ServerResponse[]
  let callers: Caller[]

  async function start(
    isHeld: boolean,
    options: RequestReadingOptions = { maxConnections: 10 },
  ): Promise<void> {
    handled = []
    held = []
    callers = []
    server = createServer((message, response) => void handle(message, response, isHeld))
    reading = new RequestReading(server, options)
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  }

  async function handle(message: IncomingMessage, response: ServerResponse, isHeld: boolean) {
    let body = ''
    for await (const chunk of message) body += String(chunk)
    handled.push({ url: message.url!, body })
    if (isHeld) held.push(response)
    else response.end('done')
  }

  function open(): Caller {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    const caller: Caller = { socket, text: '', isClosed: false }
    socket.on('data', bytes => (caller.text += bytes.toString()))
    socket.on('error', () => undefined)
    socket.on('close', () => (caller.isClosed = true))
    callers.push(caller)
    return caller
  }

  const answersOf = ({ text }: Caller) => text.split('HTTP/1.1 ').length - 1

  afterEach(() => {
    for (const { socket } of callers) socket.destroy()
    server.close()
    server.closeAllConnections()
  })

  // Guards against thousands of requests of one read that each cost objects.
  it('handles no request before the one ahead of it is answered', async () => {
    await start(true)
    const caller = open()
    caller.socket.write(HEAD.repeat(1_000))
    for (let answered = 0; answered < 5; answered++) {
      await until(() => held.length === answered + 1)
      expect(answersOf(caller)).to.equal(answered)
      expect(reading.hasUnread(held[answered]!.req.socket)).to.equal(true)
      held[answered]!.end('done')
      await until(() => answersOf(caller) === answered + 1)
    }
  })

  it('serves all requests that were sent ahead, whatever their bodies are', async () => {
    await start(false)
    const sent = [
      HEAD,
      'POST /2 HTTP/1.1\r\nhost: box\r\ncontent-length: 6\r\n\r\na\r\n\r\nb',
      '\r\nPOST /3 HTTP/1.1\r\nhost: box\r\ntransfer-encoding: chunked\r\n\r\n2\r\n\n\n\r\n4;e=x\r\nabcd\r\n0\r\nt: v\r\n\r\n',
      'POST /4 HTTP/1.1\r\nhost: box\r\ncontent-length: 0\r\n\r\n',
      `POST /5 HTTP/1.1\r\nhost: box\r\ncontent-length: 100000\r\n\r\n${'x'.repeat(100_000)}`,
      'POST /6 HTTP/1.1\r\nhost: box\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\nx',
    ].join('')
    const caller = open()
    caller.socket.write(sent.repeat(20))
    await until(() => handled.length === 120)
    const bodies = ['', 'a\r\n\r\nb', '\n\nabcd', '', 'x'.repeat(100_000), 'x']
    for (const [index, { url, body }] of handled.entries()) {
      expect(url).to.equal(`/${(index % 6) + 1}`)
      expect(body).to.equal(bodies[index % 6])
    }
  })

  it('serves a request that arrives byte by byte', async () => {
    await start(false)
    const caller = open()
    caller.socket.setNoDelay(true)
    const text = `${HEAD}POST /2 HTTP/1.1\r\nhost: box\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n`
    for (const byte of text) {
      caller.socket.write(byte)
      await new Promise<void>(resolve => setImmediate(resolve))
    }
    await until(() => answersOf(caller) === 2)
    expect(handled.map(({ body }) => body)).to.eql(['', 'x'])
  })

  it('answers an unknown expectation, and reads on', async () => {
    await start(false)
    const caller = open()
    caller.socket.write(`GET /1 HTTP/1.1\r\nhost: box\r\nexpect: more\r\n\r\n${HEAD}`)
    await until(() => answersOf(caller) === 2)
    expect(caller.text).to.match(/^HTTP\/1.1 417/)
    expect(handled.length).to.equal(1)
  })

  it('closes the connection that has rested for longest to take another', async () => {
    await start(false, { maxConnections: 2 })
    const [first, second] = [open(), open()]
    for (const { socket } of [second, first]) {
      socket.write(HEAD)
      await until(() => answersOf(first) + answersOf(second) === (socket === second.socket ? 1 : 2))
    }
    const third = open()
    await until(() => second.isClosed)
    third.socket.write(HEAD)
    first.socket.write(HEAD)
    await until(() => answersOf(third) === 1 && answersOf(first) === 2)
  })

  it('closes a new connection while requests are under way on all others', async () => {
    await start(true, { maxConnections: 1 })
    const first = open()
    first.socket.write(HEAD)
    await until(() => held.length === 1)
    const second = open()
    await until(() => second.isClosed)
    held[0]!.end('done')
    await until(() => answersOf(first) === 1)
  })

  it('closes the oldest connection instead if it is told to', async () => {
    await start(true, { maxConnections: 1, closesOldest: true })
    const first = open()
    first.socket.write(HEAD)
    await until(() => held.length === 1)
    const second = open()
    await until(() => first.isClosed)
    second.socket.write(HEAD)
    await until(() => held.length === 2)
  })

  // Guards against many connections that each send ahead as much as one may.
  it('answers the request and closes the connection if all connections have sent too much ahead', async () => {
    await start(true, { maxConnections: 1_000 })
    const crowd = Array.from({ length: 400 }, () => open())
    for (const { socket } of crowd) socket.write(HEAD.repeat(2_000))
    await until(() => held.length === 400)
    for (const response of held.splice(0)) response.end('done')
    await until(() => crowd.some(({ isClosed }) => isClosed))
    const closed = crowd.filter(({ isClosed }) => isClosed)
    expect(closed.every(({ text }) => text.includes('Connection: close') || text === '')).to.equal(
      true,
    )
  })
})

describe('BlankLines', () => {
  const endsOf = (pieces: string[]): number[] => {
    const lines = new BlankLines()
    return pieces.map(piece => lines.findEnd(Buffer.from(piece)))
  }

  it('finds the end of the first blank line', () => {
    expect(endsOf(['GET /\r\na: b\r\n\r\nGET'])).to.eql([15])
    expect(endsOf(['GET /\n\nGET'])).to.eql([7])
    expect(endsOf(['\r\nGET'])).to.eql([2])
  })

  it('finds one that is split between pieces', () => {
    expect(endsOf(['GET /\r\n', '\r\nGET'])).to.eql([7, 2])
    expect(endsOf(['GET /\r\n\r', '\nGET'])).to.eql([8, 1])
    expect(endsOf(['GET /\r', '\n', '\r', '\nGET'])).to.eql([6, 1, 1, 1])
  })

  it('takes no line that has begun in an earlier piece for a blank one', () => {
    expect(endsOf(['GET', '\r\nhost'])).to.eql([3, 6])
  })
})
