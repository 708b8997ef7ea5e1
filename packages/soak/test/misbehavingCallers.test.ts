import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { request } from 'undici'
import {
  HOST,
  PATHS,
  writeAttempt,
  writeConfiguration,
  writeUpstream,
  type AttemptKind,
} from '@yewkeel/platform/stand-ins'
import { CallerCrowd } from '@yewkeel/stand-ins'
import { openDescriptors, peakMemory, startSingleBox, type SingleBox } from './singleBox.js'
import { waitUntilServing } from './waitUntilServing.js'

const IP = `127.${1 + (process.pid % 250)}.244.1`
const MEGABYTE = 1_000_000
/** The memory of the smallest machine, and so the bound on that of a box. */
const MEMORY_MEGABYTES = 200
const STAY_MS = 4_000
const DESCRIPTOR_POLL_INTERVAL_MS = 50
const LARGE_ANSWER = Buffer.alloc(MEGABYTE, 'x')

type BoxAddress = keyof SingleBox['ports']

/** A crowd at one address of a box. */
interface CrowdRow {
  what: string
  address: BoxAddress
  connections: number
  /** Begins what each connection sends. */
  first?: string
  /** A request that each connection sends again and again. */
  repeated?: string
  /** What it sends of these at most. */
  bytes?: number
  /** Open files and sockets of the machine. */
  descriptors?: number
}

/** A request with all headers that a caller sends, and more. */
function writeRequest(
  kind: AttemptKind,
  { id = 'crowd', key = 'key-1', more = {}, body = '' } = {},
): string {
  const attempt = { id, key, timeLeft: 20_000, session: id, isStream: kind === 'streaming' }
  const headers = Object.entries({ host: HOST, ...writeAttempt(attempt), ...more })
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`)
  const length = kind === 'safe' ? '' : `content-length: ${body.length}\r\n`
  const method = kind === 'safe' ? 'GET' : 'POST'
  return `${method} ${PATHS[kind]} HTTP/1.1\r\n${lines.join('')}${length}\r\n${body}`
}

const getOf = (path: string) => `GET ${path} HTTP/1.1\r\n\r\n`
const getAtHost = (path: string) => `GET ${path} HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`
const LONG_HEADER = { 'x-long': 'x'.repeat(12_000) }
const EXPECTING = { expect: '100-continue' }

/** Requests that are sent ahead, whose answers nobody reads. */
const AHEAD: CrowdRow[] = [
  { what: 'a route without headers', repeated: getOf(PATHS.safe) },
  { what: 'the path that says ready', repeated: getOf('/readyz') },
  { what: 'a path that no route has', repeated: getOf('/none') },
  {
    what: 'such a path with bodies',
    repeated: `POST /none HTTP/1.1\r\ncontent-length: 1\r\n\r\nx`,
  },
  { what: 'a route and its host', repeated: getAtHost(PATHS.safe) },
  { what: 'all headers', repeated: writeRequest('safe') },
  { what: 'a wrong key', repeated: writeRequest('safe', { key: 'key-unknown' }) },
  { what: 'calls with bodies', repeated: writeRequest('unsafe', { body: 'soak' }) },
  { what: 'streams', repeated: writeRequest('streaming', { body: 'soak' }) },
  { what: 'large answers', repeated: writeRequest('safe', { id: 'large' }) },
  { what: 'Expect', repeated: writeRequest('unsafe', { body: 'soak', more: EXPECTING }) },
  { what: 'heads of 12 kB', repeated: writeRequest('safe', { more: LONG_HEADER }) },
].map(row => ({ ...row, address: 'entry', connections: 40, bytes: 4 * MEGABYTE }))

const AHEAD_ELSEWHERE: CrowdRow[] = [
  { what: 'the path', address: 'readiness', repeated: getAtHost('/readyz') },
  { what: 'another path', address: 'readiness', repeated: getAtHost('/none') },
  { what: 'a query', address: 'directory', repeated: getAtHost(`/resolve?name=${HOST}`) },
  { what: 'another path', address: 'directory', repeated: getAtHost('/none') },
  { what: 'the path', address: 'metrics', repeated: getAtHost('/metrics') },
  { what: 'plain HTTP', address: 'peers', repeated: getAtHost('/') },
].map(row => ({ ...row, connections: 40, bytes: 4 * MEGABYTE }) as CrowdRow)

const BODY_BYTES = 95_000
const UNFINISHED_BODY = writeRequest('unsafe', { body: 'x'.repeat(BODY_BYTES) }).slice(0, -1_000)
const UNFINISHED_HEAD = `GET ${PATHS.safe} HTTP/1.1\r\nx-long: ${'x'.repeat(15_000)}`
/** More than those of a machine without a crowd need, and few enough for a test. */
const LOWERED_DESCRIPTORS = 600

/** Many connections that each keep little. */
const CONNECTIONS: CrowdRow[] = [
  ...(['entry', 'readiness', 'directory', 'metrics', 'peers'] as const).map(address => ({
    what: 'connections that send nothing',
    address,
    connections: 700,
    descriptors: LOWERED_DESCRIPTORS,
  })),
  {
    what: 'bodies that are not whole',
    address: 'entry',
    connections: 3_000,
    first: UNFINISHED_BODY,
    descriptors: 4_100,
  },
  {
    what: 'unread answers of 1 MB',
    address: 'entry',
    connections: 1_500,
    first: writeRequest('safe', { id: 'large' }),
    descriptors: 4_100,
  },
  {
    what: 'heads that are not whole',
    address: 'entry',
    connections: 3_000,
    first: UNFINISHED_HEAD,
    descriptors: 4_100,
  },
  {
    what: 'heads that are not whole',
    address: 'readiness',
    connections: 3_000,
    first: UNFINISHED_HEAD,
    descriptors: 4_100,
  },
]

describe('a real box beside callers that do not behave', () => {
  const closing: (() => unknown)[] = []
  afterEach(async () => {
    for (const close of closing.splice(0).reverse()) await close()
  })

  /** Answers large where the id says so. */
  async function startUpstream(): Promise<string> {
    const server = createServer((message, response) => {
      const id = String(message.headers['attempt-id'])
      message.resume()
      response.writeHead(200, { 'Attempt-Id': id, 'Server-Stamp': `d1.${id}` })
      response.end(id === 'large' ? LARGE_ANSWER : 'answer')
    })
    await new Promise<void>(resolve => server.listen(0, IP, resolve))
    closing.push(
      () => server.closeAllConnections(),
      () => server.close(),
    )
    return `${IP}:${(server.address() as AddressInfo).port}`
  }

  async function startBox(descriptors: number | undefined): Promise<SingleBox> {
    const upstreams = {
      d1: writeUpstream('desk', 'v1', await startUpstream(), 'ready', 1, 2_000),
      e1: writeUpstream('pool', 'v1', await startUpstream(), 'ready', 1, 2_000),
    }
    const written = writeConfiguration(2, ['key-1'], 'desk') as {
      services: object[]
      routes: object[]
    }
    const services = written.services.map(service => ({ ...service, max_connections: 2_000 }))
    const routes = written.routes.map(route => ({ ...route, timeout_ms: 20_000 }))
    const configuration = { ...written, services, routes }
    const limits = {
      memoryMegabytes: MEMORY_MEGABYTES,
      ...(descriptors !== undefined && { descriptors }),
    }
    const started = await startSingleBox(IP, { configuration, upstreams }, closing, limits)
    await waitUntilServing(poll => isServed(started, `ready-${poll}`))
    return started
  }

  /** Whether an ordinary call on a connection of its own is served. */
  const isServed = ({ entry }: SingleBox, id: string): Promise<boolean> => {
    const headers = {
      host: HOST,
      ...writeAttempt({ id, key: 'key-1', timeLeft: 5_000, session: id, isStream: false }),
    }
    return request(`http://${IP}:${entry}${PATHS.safe}`, { headers, reset: true })
      .then(async ({ statusCode, body }) => (await body.text()) === 'answer' && statusCode === 200)
      .catch(() => false)
  }

  /** Notes the most descriptors that a box has open. */
  function watchDescriptors({ box }: SingleBox): () => number {
    let most = 0
    const read = () => {
      if (box.exitCode === null && box.signalCode === null)
        most = Math.max(most, openDescriptors(box))
    }
    const timer = setInterval(read, DESCRIPTOR_POLL_INTERVAL_MS)
    closing.push(() => clearInterval(timer))
    return () => {
      read()
      return most
    }
  }

  // Guards against a client whose requests, bytes or connections end a box or shut others out.
  for (const row of [...AHEAD, ...AHEAD_ELSEWHERE, ...CONNECTIONS]) {
    const { what, address, connections, first, repeated, bytes, descriptors } = row
    const sent = repeated === undefined ? '' : 'requests sent ahead: '
    it(`lives on and serves others beside ${connections} at its ${address} address, ${sent}${what}`, async function () {
      this.timeout(120_000)
      const started = await startBox(descriptors)
      const mostDescriptors = watchDescriptors(started)
      const crowd = new CallerCrowd({
        host: IP,
        port: started.ports[address],
        connections,
        ...(first !== undefined && { first }),
        ...(repeated !== undefined && { repeated }),
        ...(bytes !== undefined && { bytes }),
      })
      await crowd.stay(STAY_MS)
      const most = mostDescriptors()
      crowd.leave()
      await waitUntilServing(poll => isServed(started, `after-${poll}`))
      const { box } = started
      expect(box.exitCode ?? box.signalCode, 'end of the box').to.equal(null)
      expect(peakMemory(box), 'megabytes').to.be.below(MEMORY_MEGABYTES)
      if (descriptors !== undefined) expect(most, 'open descriptors').to.be.below(descriptors)
    })
  }

  // Guards against a planned stop that waits for a crowd until it is killed.
  it('ends when it is told to, beside callers that send requests ahead', async function () {
    this.timeout(60_000)
    const started = await startBox(undefined)
    const crowd = new CallerCrowd({
      host: IP,
      port: started.entry,
      connections: 40,
      repeated: writeRequest('safe'),
      bytes: 4 * MEGABYTE,
    })
    closing.push(() => crowd.leave())
    await crowd.stay(1_000)
    const ended = new Promise(resolve => started.box.once('exit', code => resolve(code)))
    started.box.kill('SIGTERM')
    expect(await ended, 'exit code').to.equal(0)
  })
})
