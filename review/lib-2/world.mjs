/**
 * A small deployment on loopback: boxes started with the command of the deploy file, and stand-ins
 * of the platform's store, the runners and the clients, as the users' pages describe them.
 */
import { Buffer } from 'node:buffer'
import { spawn } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { connect, createServer as createSocketServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import process from 'node:process'
import { fileURLToPath, URL } from 'node:url'
import { clearInterval, setInterval, setTimeout } from 'node:timers'
import { performance } from 'node:perf_hooks'

export const ROOT = fileURLToPath(new URL('../../', import.meta.url))
export const HOST = 'review.example'
export const KEY = 'key-of-morne'
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Exit codes of a case. */
export const HELD = 0
export const BROKEN = 1
export const COULD_NOT_RUN = 2

/** A loopback host of its own for this run, so that the fixed metrics port of a box is free. */
const network = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}`
let hosts = 10
export const nextHost = () => `${network}.${hosts++}`

/** Ports that were free a moment ago. */
export async function freePorts(host, count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createSocketServer()
          server.once('error', reject)
          server.listen(0, host, () => resolve(server))
        }),
    ),
  )
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

/** What happened, one line each, with the time since the start; written to `record.txt`. */
export function createRecord(file) {
  const startedAt = performance.now()
  const lines = []
  return {
    add(text) {
      lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`)
    },
    save: () => writeFileSync(file, `${lines.join('\n')}\n`),
  }
}

/** The platform's store: rows in tables, one counter of versions, long polls; it loses nothing. */
export async function startStore() {
  const host = nextHost()
  const rows = new Map()
  const startedAt = performance.now()
  let newest = 0
  const put = (table, key, value) =>
    void rows.set(`${table}/${key}`, { table, part: '', key, value, ver: ++newest })
  const inTable = table =>
    [...rows.values()]
      .filter(row => row.table === table)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
  const answer = (response, status, body) => {
    if (response.destroyed) return
    const text = JSON.stringify({ ver: newest, now_ms: performance.now() - startedAt, ...body })
    response.writeHead(status, { 'content-type': 'application/json' }).end(text)
  }
  const change = (response, { expected_revision = [], writes = [], remove = [] }) => {
    const verOf = ({ table, key }) => rows.get(`${table}/${key}`)?.ver ?? 0
    if (expected_revision.some(entry => verOf(entry) !== entry.ver))
      return answer(response, 412, { rows: [] })
    for (const { table, key, value } of writes) put(table, key, value)
    for (const { table, key } of remove) {
      newest++
      rows.delete(`${table}/${key}`)
    }
    answer(response, 200, {})
  }
  const server = createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      const query = name => url.searchParams.get(name)
      const table = query('table')
      if (url.pathname === '/rows-tx') return change(response, JSON.parse(Buffer.concat(chunks)))
      if (url.pathname === '/rows-get') {
        const from = query('from') ?? ''
        const found = inTable(table).filter(({ key }) => key >= from)
        const limit = Math.min(500, Number(query('limit') ?? 500))
        return answer(response, 200, {
          rows: found.slice(0, limit),
          has_more: found.length > limit,
        })
      }
      if (url.pathname !== '/rows-feed') return answer(response, 404, {})
      const until = performance.now() + Number(query('wait_ms') ?? 0)
      const look = () => {
        const changed = inTable(table).filter(({ ver }) => ver > Number(query('since_revision')))
        if (changed.length > 0 || performance.now() >= until)
          return answer(response, 200, { rows: changed })
        setTimeout(look, 10)
      }
      look()
    })
  })
  await new Promise(resolve => server.listen(0, host, resolve))
  return {
    address: `${host}:${server.address().port}`,
    put: (table, key, content) =>
      put(table, key, Buffer.from(JSON.stringify(content)).toString('base64')),
    read(table, key) {
      const row = rows.get(`${table}/${key}`)
      return row && JSON.parse(Buffer.from(row.value, 'base64'))
    },
    remove(table, key) {
      newest++
      rows.delete(`${table}/${key}`)
    },
    close() {
      server.close()
      server.closeAllConnections()
    },
  }
}

/** A manifest with one route for each kind of request, all to one service. */
export function manifest(version, more = {}) {
  const route = (name, type, timeout, goal, rest = {}) => ({
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    type,
    timeout_ms: timeout,
    latency_goal_ms: goal,
    priority: 0,
    service: 'pool',
    max_attempts: 3,
    public: false,
    ...rest,
  })
  return {
    version,
    routes: [
      route('look', 'safe', 1500, 400),
      route('hold', 'unsafe', 1500, 400),
      route('write', 'streaming', 20000, 1500, { resumable: true, gap_target_ms: 1200 }),
      route('tell', 'streaming', 20000, 1500, { gap_target_ms: 1200 }),
    ],
    services: [{ name: 'pool', health_path: '/healthz', max_connections: 200 }],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{ name: 'morne', api_keys: [KEY], priority: 0 }],
    ...more,
  }
}

/** The entry of a runner in the store. */
export const runnerRow = (address, sequence, more = {}) => ({
  service: 'pool',
  address,
  zone: 'ebene',
  version: 'v1',
  capacity: 64,
  state: 'ready',
  cold_remaining_ms: 0,
  sequence,
  ...more,
})

/** Settings as the page on deployment shows them, with its figures. */
export function settingsText({ name, ip, ports, storeAddress, seeds = [], memoryMegabytes = 200 }) {
  const [entry, readiness, control, directory, first] = ports
  return `node_name = "${name}"
role = "gateway"
machine_class = "frontend"
serves = ["frontend", "registry"]
ip = "${ip}"
zone = "ebene"
region = "mu-island"
port_range = [${first}, ${first}]
seeds = [${seeds.map(seed => `"${seed}"`).join()}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
[zones]
ebene = "mu-island"
[listen]
frontend = "${ip}:${entry}"
readiness = "${ip}:${readiness}"
control_plane = "${ip}:${control}"
directory = "${ip}:${directory}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = ${memoryMegabytes}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.9
budget_window_s = 10
retry_slack = 58
exposure_share = 0.15
exposure_slack = 30
rollback_ms = 5000
recover_s = 12
pass_ms = 120
retry_after_s = 8.9
session_s = 5
ttl_max_s = 5
[platform]
address = "${storeAddress}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
row_bytes = 65536
history_s = 20
`
}

/** Starts a box with the command of the deploy file. */
export async function startBox({ name, storeAddress, record, memoryMegabytes }) {
  const [, command] = /^run = "([^"]*)"/m.exec(
    readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'),
  )
  if (!existsSync(join(ROOT, 'target'))) throw new Error('the deploy file has not been built')
  const ip = nextHost()
  const ports = await freePorts(ip, 5)
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const settings = join(folder, 'local.toml')
  writeFileSync(settings, settingsText({ name, ip, ports, storeAddress, memoryMegabytes }))
  const [program, ...words] = command.split(' ')
  const child = spawn(program, words, {
    cwd: ROOT,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, YEWKEEL_BOOT: settings },
    stdio: ['ignore', 'pipe', 'pipe'],
  })
  const log = []
  child.stdout.on('data', bytes => log.push(bytes.toString()))
  child.stderr.on('data', bytes => log.push(bytes.toString()))
  const ended = new Promise(resolve =>
    child.once('exit', (code, signal) => {
      record.add(`${name}: its process ended, code ${code}, signal ${signal}`)
      resolve(code)
    }),
  )
  const box = {
    name,
    host: ip,
    port: ports[0],
    readiness: `http://${ip}:${ports[1]}/readyz`,
    directory: `http://${ip}:${ports[3]}/resolve?name=${HOST}&region=mu-island&zone=ebene`,
    settings,
    process: child,
    ended,
    log: () => log.join(''),
    async isReady() {
      try {
        return (await globalThis.fetch(box.readiness)).status === 200
      } catch {
        return false
      }
    },
    async untilReady() {
      for (let tried = 0; tried < 200; tried++) {
        if (await box.isReady()) return
        await sleep(50)
      }
      throw new Error(`${name} is not ready: ${box.log().slice(-500)}`)
    },
    async stop() {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGCONT')
        child.kill('SIGKILL')
        await ended
      }
      rmSync(folder, { recursive: true, force: true })
    },
  }
  return box
}

/**
 * A runner. `answer(run)` writes the answer of one request: `run` holds what arrived and its socket.
 * Answers `Expect-Instance` of another runner with 421, and its health path.
 */
export async function startRunner({ id, record, answer, host = nextHost(), port = 0 }) {
  const runs = []
  const sockets = new Set()
  const server = createServer({ keepAliveTimeout: 20_000 }, (request, response) => {
    const chunks = []
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      const attempt = request.headers['attempt-id'] ?? ''
      const isHealth = request.url === '/healthz'
      if (isHealth) return void response.writeHead(200, { 'Instance-Id': id }).end()
      const expected = request.headers['expect-instance']
      if (expected !== undefined && expected !== id) {
        const head = { 'Instance-Id': id, 'Not-Executed': '1', 'Attempt-Id': attempt }
        return void response.writeHead(421, head).end()
      }
      const run = { id: attempt, runner: id, request, response, body: Buffer.concat(chunks) }
      runs.push(run)
      record.add(`${id}: runs ${attempt} ${request.method} ${request.url}`)
      answer(run)
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => sockets.delete(socket))
  })
  await new Promise(resolve => server.listen(port, host, resolve))
  return {
    id,
    runs,
    address: `${host}:${server.address().port}`,
    close() {
      server.close()
      for (const socket of sockets) socket.destroy()
    },
  }
}

/** The head of a signed answer. */
export const signedHead = (run, more = {}) => ({
  'Attempt-Id': run.id,
  'Server-Stamp': `stamp.${run.runner}.${run.id}`,
  ...more,
})

/** Keeps the entries of runners in the store as they would. Returns a function that ends that. */
export function keepListed(store, runners, more = {}) {
  let sequence = 0
  const write = () => {
    sequence++
    for (const { id, address } of runners)
      store.put('servers', id, runnerRow(address, sequence, more))
  }
  write()
  const timer = setInterval(write, 1200)
  return () => clearInterval(timer)
}

let attempts = 0
export const nextId = () =>
  `a${process.pid.toString(16)}${(++attempts).toString(16).padStart(6, '0')}`

/** The bytes of a request. */
export function requestText(path, { id, method = 'GET', timeLeft = 15_000, headers = {}, body }) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Attempt-Id: ${id}`,
    `Deadline-Ms: ${timeLeft}`,
    `Authorization: Token ${KEY}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ...(body === undefined ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
  ]
  return `${lines.join('\r\n')}\r\n\r\n${body ?? ''}`
}

/**
 * Sends one request on a channel of its own, and resolves with all bytes that came and how the channel
 * ended: `end` (closed in order), `reset`, or `open` if the answer was whole by its own framing, or the
 * channel is still open after `wait` ms.
 */
export function sendOnce(box, text, wait = 20_000) {
  return new Promise(resolve => {
    const socket = connect({ host: box.host, port: box.port })
    const chunks = []
    let how = 'open'
    const finish = () => {
      globalThis.clearTimeout(timer)
      socket.destroy()
      resolve({ text: textOf(chunks), how })
    }
    const timer = setTimeout(finish, wait)
    socket.on('connect', () => socket.write(text))
    socket.on('data', chunk => {
      chunks.push(chunk)
      const { framing, isComplete } = readAnswer({ text: textOf(chunks), how })
      if (isComplete && framing !== 'none') finish()
    })
    socket.on('end', () => {
      how = 'end'
      finish()
    })
    socket.on('error', error => {
      how = error.code === 'ECONNRESET' ? 'reset' : `error ${error.code}`
      finish()
    })
  })
}

const textOf = chunks => Buffer.concat(chunks).toString('latin1')

/** What a client takes an answer for, by the rules of HTTP/1.1. */
export function readAnswer({ text, how }) {
  const at = text.indexOf('\r\n\r\n')
  if (at === -1) return { status: undefined, isComplete: false, headers: {}, body: '' }
  const [first, ...lines] = text.slice(0, at).split('\r\n')
  const headers = Object.fromEntries(
    lines.map(line => [
      line.slice(0, line.indexOf(':')).toLowerCase(),
      line.slice(line.indexOf(':') + 1).trim(),
    ]),
  )
  const status = Number(first.split(' ')[1])
  const rest = text.slice(at + 4)
  const length = headers['content-length']
  if (headers['transfer-encoding'] !== undefined) {
    const { body, isComplete } = readChunks(rest)
    return { status, headers, body, isComplete, framing: 'chunks' }
  }
  if (length !== undefined)
    return {
      status,
      headers,
      body: rest,
      isComplete: rest.length >= Number(length),
      framing: 'length',
    }
  return { status, headers, body: rest, isComplete: how === 'end', framing: 'none' }
}

function readChunks(text) {
  let body = ''
  let at = 0
  for (;;) {
    const end = text.indexOf('\r\n', at)
    if (end === -1) return { body, isComplete: false }
    const size = Number.parseInt(text.slice(at, end), 16)
    if (size === 0) return { body, isComplete: text.length >= end + 4 }
    body += text.slice(end + 2, end + 2 + size)
    at = end + 2 + size + 2
    if (at > text.length) return { body, isComplete: false }
  }
}

/** Starts `streamRunner.mjs` as a process of its own; at a given address if it is back there. */
export async function startRunnerProcess({
  id,
  record,
  events,
  eventInterval,
  unframedEach,
  host = nextHost(),
  port = '0',
}) {
  const child = spawn(
    process.execPath,
    [fileURLToPath(new URL('streamRunner.mjs', import.meta.url))],
    {
      env: {
        PATH: process.env.PATH,
        RUNNER_ID: id,
        RUNNER_HOST: host,
        RUNNER_PORT: port,
        EVENTS: String(events),
        EVENT_INTERVAL: String(eventInterval),
        ...(unframedEach !== undefined && { UNFRAMED_EACH: String(unframedEach) }),
      },
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    },
  )
  const ended = new Promise(resolve => child.once('exit', resolve))
  const runner = {
    id,
    address: '',
    process: child,
    ended,
    underWay: new Map(),
    count: 0,
    unframed: 0,
  }
  await new Promise((resolve, reject) => {
    child.once('error', reject)
    child.once('exit', () => reject(new Error(`${id} ended`)))
    child.on('message', message => {
      if (message.type === 'ready') {
        runner.address = message.address
        return resolve()
      }
      if (message.type !== 'run') {
        record.add(
          `${id}: ${message.type === 'whole' ? 'has ended' : 'was left by the box in'} ${message.id}`,
        )
        return void runner.underWay.delete(message.id)
      }
      runner.count++
      if (!message.isFramed) runner.unframed++
      runner.underWay.set(message.id, { isFramed: message.isFramed, since: performance.now() })
      record.add(
        `${id}: runs ${message.id} from event ${message.from}${message.isFramed ? '' : ', without a length'}`,
      )
    })
  })
  return {
    ...runner,
    get count() {
      return runner.count
    },
    get unframed() {
      return runner.unframed
    },
    async stop() {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGKILL')
        await ended
      }
    },
  }
}
