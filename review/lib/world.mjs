/**
 * Stand-ins of the platform for the cases of this folder: a store, upstreams and callers, and the
 * start of real boxes with the command of the deploy file. All of it on loopback addresses.
 */
import { Buffer } from 'node:buffer'
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { connect, createServer as createSocketServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import process from 'node:process'
import { clearInterval, setInterval, setTimeout } from 'node:timers'
import { fileURLToPath, URL } from 'node:url'

export const ROOT = fileURLToPath(new URL('../../', import.meta.url))
/** The run command of `deploy/system.toml`. */
const RUN_COMMAND = [
  '--max-old-space-size=120',
  '--max-semi-space-size=2',
  'platform/bundle/start.cjs',
]

export const sleep = span => new Promise(resolve => setTimeout(resolve, span))

/** Writes lines with the time since the start of the run to `record.txt`. */
export function createRecord(folder) {
  const file = join(folder, 'record.txt')
  const startedAt = performance.now()
  writeFileSync(file, '')
  return text => {
    const at = ((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8)
    appendFileSync(file, `${at} s  ${text}\n`)
  }
}

/** A loopback network of its own for each run, so that fixed ports are free. */
export function drawNetwork() {
  const draw = () => 2 + Math.floor(Math.random() * 250)
  return `127.${draw()}.${draw()}`
}

/** A port of `host` that is free now. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createSocketServer()
    server.once('error', reject)
    server.listen(0, host, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}

/**
 * The platform's store: rows with one counter of versions, conditional changes, feeds that are held
 * until a row changes.
 */
export class Store {
  #rows = new Map()
  #version = 0
  #feeds = new Set()
  #startedAt = performance.now()
  #server

  constructor(record) {
    this.record = record
  }

  get version() {
    return this.#version
  }

  async start(host) {
    this.#server = createServer((request, response) => this.#serve(request, response))
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
  }

  put(table, key, content) {
    return this.putBytes(table, key, Buffer.from(JSON.stringify(content)))
  }

  /** Writes a row with any bytes. Returns its version, with which the store acknowledges it. */
  putBytes(table, key, bytes) {
    this.#version++
    const value = bytes.toString('base64')
    const row = { table, part: '', key, value, ver: this.#version }
    this.#rows.set(`${table}/${key}`, row)
    this.#answerFeeds()
    return this.#version
  }

  remove(table, key) {
    this.#version++
    const row = { table, part: '', key, value: '', ver: this.#version, removed: true }
    this.#rows.set(`${table}/${key}`, row)
    this.#answerFeeds()
  }

  read(table, key) {
    const row = this.#rows.get(`${table}/${key}`)
    return row && !row.removed ? JSON.parse(String(Buffer.from(row.value, 'base64'))) : undefined
  }

  close() {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #answer(response, status, body) {
    if (response.destroyed) return
    const now = Math.round(performance.now() - this.#startedAt)
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ ver: this.#version, now_ms: now, ...body }))
  }

  async #serve(request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const url = new URL(request.url, 'http://store')
    const query = name => url.searchParams.get(name) ?? ''
    await sleep(4)
    if (url.pathname === '/rows-tx')
      return this.#change(response, JSON.parse(String(Buffer.concat(chunks))))
    if (url.pathname === '/rows-get') return this.#list(response, query)
    if (url.pathname === '/rows-feed') return this.#hold(response, query)
    this.#answer(response, 404, {})
  }

  #change(response, { expected_revision = [], writes = [], remove = [] }) {
    const current = ({ table, key }) => this.#rows.get(`${table}/${key}`)
    const versionOf = row => (row && !row.removed ? row.ver : 0)
    if (expected_revision.some(each => versionOf(current(each)) !== each.ver))
      return this.#answer(response, 412, { rows: expected_revision.map(current).filter(Boolean) })
    this.#version++
    const entries = [...writes, ...remove.map(each => ({ ...each, value: '', removed: true }))]
    for (const { table, key, value, removed } of entries) {
      const row = { table, part: '', key, value, ver: this.#version, ...(removed && { removed }) }
      this.#rows.set(`${table}/${key}`, row)
    }
    this.#answerFeeds()
    this.#answer(response, 200, {})
  }

  #list(response, query) {
    const limit = Math.min(500, Number(query('limit')) || 500)
    const rows = [...this.#rows.values()]
      .filter(row => row.table === query('table') && !row.removed && row.key >= query('from'))
      .sort((left, right) => (left.key < right.key ? -1 : 1))
    this.#answer(response, 200, { rows: rows.slice(0, limit), has_more: rows.length > limit })
  }

  #hold(response, query) {
    const since = Number(query('since_revision'))
    const feed = { response, table: query('table'), since }
    this.#feeds.add(feed)
    response.once('close', () => this.#feeds.delete(feed))
    this.#answerFeed(feed, false)
    setTimeout(() => this.#answerFeed(feed, true), Number(query('wait_ms')) || 0)
  }

  #answerFeeds() {
    for (const feed of this.#feeds) this.#answerFeed(feed, false)
  }

  #answerFeed(feed, isLast) {
    if (!this.#feeds.has(feed)) return
    const rows = [...this.#rows.values()]
      .filter(({ table, ver }) => table === feed.table && ver > feed.since)
      .sort((left, right) => left.ver - right.ver)
    if (rows.length === 0 && !isLast) return
    this.#feeds.delete(feed)
    this.#answer(feed.response, 200, { rows })
  }
}

/** An upstream that keeps its own entry in the store, and answers with `handle`. */
export class Upstream {
  #server
  #beat
  #sequence = 0

  constructor({ id, service, zone, store, record, handle }) {
    Object.assign(this, { id, service, zone, store, record, handle })
    this.sockets = new Set()
  }

  async start(host) {
    this.#server = createServer((request, response) => this.#serve(request, response))
    this.#server.on('connection', socket => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
    this.#write()
    this.#beat = setInterval(() => this.#write(), HEARTBEAT_MS)
  }

  #write() {
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      capacity: 12,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++this.#sequence,
    })
  }

  async #serve(request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const id = request.headers['attempt-id']
    if (request.headers['expect-instance'] !== this.id) {
      const head = { 'Attempt-Id': id, 'Not-Executed': '1', 'Instance-Id': this.id }
      return void response.writeHead(421, head).end()
    }
    const tenant = request.headers.tenant ?? '-'
    this.record(`upstream ${this.id}: runs ${id} for ${tenant}, ${request.method} ${request.url}`)
    const head = { 'Attempt-Id': id, 'Server-Stamp': `${this.id}.${id}` }
    this.handle({ request, response, id, head, upstream: this })
  }

  /**
   * Ends as a process that is killed: it accepts nothing more, and its connections are reset. Its
   * entry lapses after three heartbeats of silence.
   */
  crash() {
    this.record(`upstream ${this.id}: crashes`)
    clearInterval(this.#beat)
    this.#server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
    setTimeout(() => this.store.remove('servers', this.id), 3 * HEARTBEAT_MS).unref()
  }

  close() {
    clearInterval(this.#beat)
    this.#server.close()
    this.#server.closeAllConnections()
  }
}

const HEARTBEAT_MS = 1_200
const RESTART_DELAY_MS = 300

/** Processes that are to end with this one, however it ends. */
const children = new Set()
process.once('exit', () => {
  for (const child of children) child.kill('SIGKILL')
})
for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2))

/** A box that runs as a process of its own. */
export class Box {
  #child
  #exited = Promise.resolve()
  #folder = mkdtempSync(join(tmpdir(), 'yewkeel-review-'))
  #isDisposed = false
  output = ''
  /** How often it ended without a signal of the test. */
  ownEnds = 0

  constructor({ name, zone, ip, ports, store, record }) {
    Object.assign(this, { name, zone, ip, ports, store, record })
    this.#writeSettings(true)
  }

  get entry() {
    return { host: this.ip, port: this.ports.entry }
  }

  #writeSettings(isFirstStart) {
    this.file = join(this.#folder, 'local.toml')
    writeFileSync(this.file, settingsText(this, isFirstStart))
  }

  start() {
    const { PATH, HOME, LANG } = process.env
    const env = { PATH, HOME, ...(LANG && { LANG }), YEWKEEL_BOOT: this.file }
    const options = { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] }
    const child = spawn(process.execPath, RUN_COMMAND, options)
    this.#child = child
    children.add(child)
    this.record(`box ${this.name}: started at ${this.ip}:${this.ports.entry}`)
    const keep = bytes => (this.output += bytes)
    this.#child.stdout.on('data', keep)
    this.#child.stderr.on('data', keep)
    this.#exited = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        children.delete(child)
        this.record(`box ${this.name}: ended with ${signal ?? code}`)
        if (signal === null) this.#handleOwnEnd()
        resolve()
      }),
    )
  }

  /** The platform starts a process that ends again after a short delay. */
  #handleOwnEnd() {
    this.ownEnds++
    this.#writeSettings(false)
    setTimeout(() => this.#isDisposed || this.start(), RESTART_DELAY_MS)
  }

  signal(name) {
    this.record(`box ${this.name}: gets ${name}`)
    this.#child.kill(name)
  }

  async awaitReady() {
    for (let tried = 0; tried < 200; tried++) {
      if ((await this.#readiness()) === 200) return true
      await sleep(50)
    }
    return false
  }

  #readiness() {
    return new Promise(resolve => {
      const socket = connect(this.ports.readiness, this.ip)
      let text = ''
      socket.once('error', () => resolve(0))
      socket.on('data', chunk => (text += chunk))
      socket.once('close', () => resolve(Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0)))
      socket.write('GET /readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n')
    })
  }

  async dispose() {
    this.#isDisposed = true
    if (this.#child && this.#child.exitCode === null && this.#child.signalCode === null) {
      this.#child.kill('SIGKILL')
      this.#child.kill('SIGCONT')
      await this.#exited
    }
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** Creates a box on an address of its own. */
export async function createBox({ name, zone, ip, peerPort, store, record }) {
  const ports = {
    entry: await freePort(ip),
    readiness: await freePort(ip),
    directory: await freePort(ip),
    peers: peerPort,
  }
  return new Box({ name, zone, ip, ports, store, record })
}

/** The settings file of DEPLOY.md, with its figures for a small deployment. */
function settingsText({ name, zone, ip, ports, store }, isFirstStart) {
  return `node_name = "${name}"
role = "gateway"
machine_class = "frontend"
serves = ["frontend","registry"]
ip = "${ip}"
zone = "${zone}"
region = "mu-island"
port_range = [${ports.peers},${ports.peers + 15}]
seeds = []
bootstrap = ${isFirstStart}
loss_counts = false
discovery = "platform"
entry = "registry"
heartbeat_ms = ${HEARTBEAT_MS}
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
ebene = "mu-island"
curepipe = "mu-island"
[listen]
frontend = "${ip}:${ports.entry}"
readiness = "${ip}:${ports.readiness}"
directory = "${ip}:${ports.directory}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 200
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
address = "${store.address}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 8.0
part_writes_per_s = 150
row_bytes = 65536
across = false
history_s = 20
`
}

export const HOST = 'camp.example'

/** A manifest with a route of each kind. */
export function manifest(version, keys) {
  const route = (name, type, service, more) => ({
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    type,
    timeout_ms: 20_000,
    latency_goal_ms: 1_500,
    priority: 0,
    service,
    max_attempts: 1,
    public: false,
    sticky: false,
    resumable: false,
    ...more,
  })
  return {
    version,
    routes: [
      route('look', 'safe', 'desk', { max_attempts: 2 }),
      route('hold', 'unsafe', 'desk', {}),
      route('chat', 'streaming', 'pool', {
        max_attempts: 3,
        resumable: true,
        gap_target_ms: 1_200,
      }),
    ],
    services: ['desk', 'pool'].map(name => ({
      name,
      health_path: '/healthz',
      max_connections: 110,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'hule930', api_keys: keys, priority: 1 }],
  }
}

/**
 * Sends one request on a connection of its own and reads the answer as bytes. Resolves with the
 * status, the headers, the body and how the connection ended: `end` (closed in order) or `reset`.
 */
export function call({ host, port }, { method, path, headers, body = '', timeout = 30_000 }) {
  return new Promise(resolve => {
    const socket = connect(port, host)
    const chunks = []
    let error
    socket.setTimeout(timeout, () => socket.destroy(new Error('no answer in time')))
    socket.on('data', chunk => chunks.push(chunk))
    socket.once('error', thrown => (error = thrown))
    socket.once('close', () => resolve(parseAnswer(Buffer.concat(chunks).toString(), error)))
    const lines = Object.entries({ Host: HOST, Connection: 'close', ...headers })
    if (body || method === 'POST') lines.push(['Content-Length', Buffer.byteLength(body)])
    const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`)
  })
}

function parseAnswer(text, error) {
  const ending = error ? `reset (${error.code ?? error.message})` : 'end'
  const at = text.indexOf('\r\n\r\n')
  if (at === -1) return { status: 0, headers: {}, body: '', ending, isComplete: false }
  const [first, ...lines] = text.slice(0, at).split('\r\n')
  const headers = Object.fromEntries(
    lines.map(line => [
      line.slice(0, line.indexOf(':')).toLowerCase(),
      line.slice(line.indexOf(':') + 1).trim(),
    ]),
  )
  const status = Number(first.split(' ')[1])
  return { status, headers, ending, ...readBody(headers, text.slice(at + 4), !error) }
}

/** Reads a body by the rules of HTTP/1.1, and whether it is complete by them. */
function readBody(headers, raw, hasEnded) {
  if (/chunked/i.test(headers['transfer-encoding'] ?? '')) {
    let body = ''
    let rest = raw
    for (;;) {
      const found = /^([0-9a-f]+)[^\r\n]*\r\n/i.exec(rest)
      if (!found) return { body, isComplete: false, framing: 'chunked' }
      const size = parseInt(found[1], 16)
      const from = found[0].length
      if (size === 0) return { body, isComplete: true, framing: 'chunked' }
      body += rest.slice(from, from + size)
      if (rest.length < from + size + 2) return { body, isComplete: false, framing: 'chunked' }
      rest = rest.slice(from + size + 2)
    }
  }
  const length = headers['content-length']
  if (length !== undefined)
    return { body: raw, isComplete: raw.length === Number(length), framing: 'length' }
  return { body: raw, isComplete: hasEnded, framing: 'none' }
}
