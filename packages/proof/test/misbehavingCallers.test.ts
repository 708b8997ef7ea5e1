import { readdirSync, readFileSync } from 'node:fs'
import { expect } from 'chai'
import { request } from 'undici'
import { createSystemClock, sleep } from '@yewkeel/decisions'
import { CallerCrowd, startStandIns } from '@yewkeel/stand-ins'
import { startBoxProcess, type BoxProcess } from '../src/world/processes.js'
import { CALLER_KEY, settingsInputFor } from '../src/world/startSystem.js'

const MEGABYTE = 1_000_000
/** What a box may take beside its program, which takes half of it. */
const MAX_MEGABYTES = 250
const STAY_MS = 4_000
const SERVED_WITHIN_MS = 30_000
const POLL_INTERVAL_MS = 50
/** Lowered, for a small crowd. */
const MAX_CALLER_CONNECTIONS = 100
/** The limits of all addresses, and what a box without a crowd has open. */
const MAX_DESCRIPTORS = 600
const KILOBYTES_PER_MEGABYTE = 1_024

type BoxAddress = 'entry' | 'operators' | 'peers'

interface CrowdRow {
  what: string
  address: BoxAddress
  connections: number
  /** A request that each connection sends again and again. */
  repeated?: string
}

const writeRequest = (line: string, more = '', body = '') =>
  `${line} HTTP/1.1\r\nhost: box\r\n${more}${body === '' ? '' : `content-length: ${body.length}\r\n`}\r\n${body}`
const BEARER = `authorization: Bearer ${CALLER_KEY}\r\n`

const ROWS: CrowdRow[] = [
  { what: 'a path of none', address: 'entry', repeated: writeRequest('GET /none') },
  { what: 'the path that says ready', address: 'entry', repeated: writeRequest('GET /ready') },
  { what: 'addresses', address: 'entry', repeated: writeRequest('GET /v1/where') },
  { what: 'models with a key', address: 'entry', repeated: writeRequest('GET /v1/models', BEARER) },
  {
    what: 'completions without a key',
    address: 'entry',
    repeated: writeRequest('POST /v1/chat/completions', '', '{}'),
  },
  {
    what: 'completions that are wrong',
    address: 'entry',
    repeated: writeRequest('POST /v1/chat/completions', BEARER, '{}'),
  },
  { what: 'the table', address: 'operators', repeated: writeRequest('GET /table') },
  { what: 'plain HTTP', address: 'peers', repeated: writeRequest('GET /') },
].map(row => ({ ...row, connections: 40 }) as CrowdRow)

const CONNECTIONS: CrowdRow[] = (['entry', 'operators', 'peers'] as const).map(address => ({
  what: 'connections that send nothing',
  address,
  connections: 700,
}))

describe('a real box of the product beside callers that do not behave', () => {
  const closing: (() => unknown)[] = []
  const clock = createSystemClock()
  afterEach(async () => {
    for (const close of closing.splice(0).reverse()) await close()
  })

  async function startBox(): Promise<BoxProcess> {
    const standIns = await startStandIns({ engines: [], services: [] })
    closing.push(() => standIns.close())
    const box = await startBoxProcess(own =>
      settingsInputFor(0, standIns.addresses, [], {
        entry: { listen: own.entry },
        operators: { listen: own.operators },
        peers: { listen: own.peers, seeds: [], secret: 'shared-by-the-boxes-of-the-demo' },
        limits: { callerConnections: MAX_CALLER_CONNECTIONS },
        logLevel: 'error',
      }),
    )
    closing.push(() => box.kill())
    return box
  }

  const isServed = ({ entryAddress }: BoxProcess): Promise<boolean> =>
    request(`http://${entryAddress}/health`, { reset: true })
      .then(async ({ statusCode, body }) => {
        await body.dump()
        return statusCode === 200
      })
      .catch(() => false)

  async function waitUntilServed(box: BoxProcess): Promise<void> {
    const until = clock.now() + SERVED_WITHIN_MS
    while (!(await isServed(box))) {
      if (clock.now() > until) throw new Error('no ordinary request was answered after the crowd')
      await sleep(clock, POLL_INTERVAL_MS)
    }
  }

  const addressOf = (box: BoxProcess, address: BoxAddress) =>
    ({ entry: box.entryAddress, operators: box.operatorsAddress, peers: box.peerAddress })[address]

  // Guards against a client whose requests or connections end a box or shut others out.
  for (const { what, address, connections, repeated } of [...ROWS, ...CONNECTIONS]) {
    const sent = repeated === undefined ? '' : 'requests sent ahead: '
    it(`lives on and serves others beside ${connections} at its ${address} address, ${sent}${what}`, async function () {
      this.timeout(120_000)
      const box = await startBox()
      const [host = '', port] = addressOf(box, address).split(':')
      const crowd = new CallerCrowd({
        host,
        port: Number(port),
        connections,
        ...(repeated !== undefined && { repeated, bytes: 4 * MEGABYTE }),
      })
      await crowd.stay(STAY_MS)
      const descriptors = readdirSync(`/proc/${box.pid}/fd`).length
      crowd.leave()
      await waitUntilServed(box)
      const status = readFileSync(`/proc/${box.pid}/status`, 'utf8')
      const peak = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / KILOBYTES_PER_MEGABYTE
      expect(peak, 'megabytes').to.be.below(MAX_MEGABYTES)
      expect(descriptors, 'open descriptors').to.be.below(MAX_DESCRIPTORS)
    })
  }
})
