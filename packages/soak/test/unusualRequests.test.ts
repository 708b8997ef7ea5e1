import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { expect } from 'chai'
import {
  HOST,
  PATHS,
  writeAttempt,
  writeConfiguration,
  writeUpstream,
} from '@yewkeel/platform/stand-ins'
import { startSingleBox, type SingleBox } from './singleBox.js'
import { waitUntilServing } from './waitUntilServing.js'

const IP = `127.${1 + (process.pid % 250)}.246.1`
const BODY = 'x'.repeat(100_000)

/** What a caller sends on one connection, within the limits of the pages. */
interface UnusualRow {
  what: string
  sent: string
  /** Answers that have to come, one by default. */
  answers?: number
  /** Whether each byte is written in a turn of its own. */
  isByByte?: boolean
}

interface HeadOptions {
  method?: string
  path?: string
  version?: string
  more?: string
}

const writeHead = ({
  method = 'GET',
  path = PATHS.safe,
  version = '1.1',
  more = '',
}: HeadOptions = {}): string => {
  const fields = { id: 'unusual', key: 'key-1', timeLeft: 10_000, session: 's', isStream: false }
  const lines = Object.entries({ host: HOST, ...writeAttempt(fields) })
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('')
  return `${method} ${path} HTTP/${version}\r\n${lines}${more}\r\n`
}

const writePost = (body: string, more = '') =>
  writeHead({
    method: 'POST',
    path: PATHS.unsafe,
    more: `content-length: ${body.length}\r\n${more}`,
  }) + body

const writeChunked = (size: number, extension = '', trailer = '') => {
  const chunk = `${size.toString(16)}${extension}\r\n${'x'.repeat(size)}\r\n`
  const head = writeHead({
    method: 'POST',
    path: PATHS.unsafe,
    more: 'transfer-encoding: chunked\r\n',
  })
  return `${head}${chunk.repeat(BODY.length / size)}0\r\n${trailer}\r\n`
}

const SMALL_HEADERS = Array.from({ length: 1_500 }, (_, index) => `a${index}:b\r\n`).join('')

const ROWS: UnusualRow[] = [
  { what: 'HTTP/1.0', sent: writeHead({ version: '1.0' }) },
  { what: 'a wish for h2c', sent: writeHead({ more: 'connection: upgrade\r\nupgrade: h2c\r\n' }) },
  {
    what: 'a wish for a WebSocket',
    sent: writeHead({ more: 'connection: upgrade\r\nupgrade: websocket\r\n' }),
  },
  { what: 'a head of 12 kB', sent: writeHead({ more: `x-long: ${'x'.repeat(12_000)}\r\n` }) },
  { what: '1,500 small headers', sent: writeHead({ more: SMALL_HEADERS }) },
  { what: 'a head and a body byte by byte', sent: writePost('x'.repeat(100)), isByByte: true },
  { what: 'a body of 100,000 bytes', sent: writePost(BODY) },
  { what: 'such a body in chunks of 10', sent: writeChunked(10) },
  { what: 'extensions and a trailer', sent: writeChunked(1_000, ';e=f', 't: v\r\n') },
  { what: 'Expect', sent: writePost('soak', 'expect: 100-continue\r\n') },
  { what: 'blank lines first', sent: `\r\n\r\n${writeHead()}` },
  { what: 'HEAD', sent: writeHead({ method: 'HEAD' }) },
  { what: 'a query of 6 kB', sent: writeHead({ path: `${PATHS.safe}?q=${'x'.repeat(6_000)}` }) },
  { what: '64 requests ahead', sent: writeHead().repeat(64), answers: 64 },
  { what: '64 bodies ahead', sent: writePost('a\r\n\r\nb').repeat(64), answers: 64 },
  { what: '8 large bodies ahead', sent: writePost(BODY).repeat(8), answers: 8 },
]

describe('a real box whose callers send unusual requests in calm', () => {
  const closing: (() => unknown)[] = []
  let box: SingleBox

  before(async () => {
    const upstream = createServer((message, response) => {
      const id = String(message.headers['attempt-id'])
      message.resume()
      message.once('end', () => {
        response.writeHead(200, { 'Attempt-Id': id, 'Server-Stamp': `d1.${id}` }).end('answer')
      })
    })
    await new Promise<void>(resolve => upstream.listen(0, IP, resolve))
    closing.push(
      () => upstream.closeAllConnections(),
      () => upstream.close(),
    )
    const address = `${IP}:${(upstream.address() as AddressInfo).port}`
    const upstreams = { d1: writeUpstream('desk', 'v1', address, 'ready', 1, 100) }
    const configuration = writeConfiguration(2, ['key-1'], 'desk')
    box = await startSingleBox(IP, { configuration, upstreams }, closing)
    await waitUntilServing(async () => (await answersTo(writeHead(), 1)).startsWith('HTTP/1.1 200'))
  })

  after(async () => {
    for (const close of closing.splice(0).reverse()) await close()
  })

  /** What a connection receives until so many answers have begun, or it is closed. */
  function answersTo(sent: string, count: number, isByByte = false): Promise<string> {
    return new Promise(resolve => {
      let received = ''
      const socket = connect(box.entry, IP)
      socket.setNoDelay(true)
      socket.on('error', () => undefined)
      socket.once('close', () => resolve(received))
      socket.on('data', bytes => {
        received += bytes.toString()
        if (countOf(received, /HTTP\/1.1 (?!100)/g) >= count) socket.destroy()
      })
      if (isByByte) void writeByByte(sent, text => socket.write(text))
      else socket.write(sent)
    })
  }

  // Guards against limits on callers that others meet, too.
  for (const { what, sent, answers = 1, isByByte } of ROWS) {
    it(`serves ${what}`, async function () {
      this.timeout(60_000)
      const received = await answersTo(sent, answers, isByByte)
      expect(countOf(received, /HTTP\/1.1 200/g), received.slice(0, 200)).to.equal(answers)
    })
  }
})

const countOf = (text: string, pattern: RegExp) => text.match(pattern)?.length ?? 0

async function writeByByte(text: string, write: (byte: string) => void): Promise<void> {
  for (const byte of text) {
    write(byte)
    await new Promise<void>(resolve => setImmediate(resolve))
  }
}
