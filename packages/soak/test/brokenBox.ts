import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http'
import {
  HARD_LOAD_ORGANISATIONS,
  HARD_LOAD_ROUTES,
  hardLoadKey,
  type BoxAddresses,
} from '@yewkeel/platform/stand-ins'
import type { GuaranteeName, SoakBox } from '../src/index.js'

/** The fields read from any row; each row has some of them. */
interface RowContent {
  service: string
  address: string
  state: string
  version: string
  tenants: { api_keys: string[] }[]
  routes: { name: string; service: string }[]
}

type Route = keyof typeof HARD_LOAD_ROUTES | 'usual'

interface DecodedRow {
  key: string
  content: RowContent
}

/** Reads and decodes all rows of a table from the store stand-in. */
async function readRows(store: string, table: string): Promise<DecodedRow[]> {
  const answer = await fetch(`http://${store}/rows-get?table=${table}&part=&limit=100`)
  const { rows } = (await answer.json()) as { rows: { key: string; value: string }[] }
  return rows.map(({ key, value }) => ({ key, content: JSON.parse(atob(value)) as RowContent }))
}

const READ_INTERVAL_MS = 150
/** Fraction of the requests left unanswered by a box that violates `answered`. */
const IGNORED_FRACTION = 0.2
/** Fraction of the requests rejected by a box that violates a guarantee about hard load. */
const REJECTED_FRACTION = 0.3
/** More than the memory of any box. */
const TOO_MUCH_MEMORY_MEGABYTES = 1_000

/** Which requests a box that violates a guarantee about hard load rejects, by route and key. */
const REJECTIONS: Partial<Record<GuaranteeName, (route: Route, key: string) => boolean>> = {
  'rejected-with-room': route => route === 'cheap' && Math.random() < REJECTED_FRACTION,
  'urgent-first': route => route === 'urgent',
  undisturbed: route => route === 'usual' && Math.random() < REJECTED_FRACTION,
  'beside-flood': (_route, key) =>
    HARD_LOAD_ORGANISATIONS.some(name => name !== 'moka' && key === hardLoadKey(name)),
}

/**
 * Creates a minimal proxy, without retries, peers or limits, that violates one guarantee on
 * purpose. Shows that the soak detects each violation.
 */
export function createBrokenBox(violated: GuaranteeName, place: BoxAddresses): SoakBox {
  const { ip, ports, storeAddress } = place
  const entryAddress = `${ip}:${ports.entry}`
  let keys: string[] = []
  let service = ''
  let upstreams: DecodedRow[] = []
  let round = 0
  let isDown = false
  let lastBody = ''
  /** Upstreams that have stated a limit. */
  const limited = new Set<string>()

  /** Stores that the rollout is rolled back, without any evidence. */
  async function rollBack(): Promise<void> {
    const content = { service: 'desk', target_version: 'v2', state: 'rolled_back', started_ms: 0 }
    const row = {
      table: 'status',
      part: '',
      key: 'rollout/desk',
      value: btoa(JSON.stringify(content)),
    }
    const change = { expected_revision: [], writes: [row], remove: [] }
    await fetch(`http://${storeAddress}/rows-tx`, { method: 'POST', body: JSON.stringify(change) })
  }

  async function refresh(): Promise<void> {
    const [configuration] = await readRows(storeAddress, 'op')
    const rows = await readRows(storeAddress, 'servers')
    if (violated === 'roll-out' && rows.some(row => row.content.version === 'v2')) await rollBack()
    if (configuration) {
      const issued = configuration.content.tenants.flatMap(({ api_keys }) => api_keys)
      keys = violated === 'revoked-keys' ? [...new Set([...keys, ...issued])] : issued
      const safeRoute = configuration.content.routes.find(route => route.name === 'safe')
      if (violated !== 'configuration' || service === '') service = safeRoute!.service
    }
    upstreams = rows.filter(row => violated === 'draining' || row.content.state === 'ready')
  }

  /** The upstreams to send to: for `exposure`, only those of the target once there are any. */
  function candidatesOf(targetService: string): DecodedRow[] {
    const candidates = upstreams
      .filter(({ content }) => content.service === targetService)
      .filter((_, index) => violated !== 'told-pace' || targetService !== 'paced' || index > 0)
      .filter(({ key }) => violated !== 'used-again' || !limited.has(key))
    const targets = candidates.filter(({ content }) => content.version === 'v2')
    return violated === 'exposure' && targets.length > 0 ? targets : candidates
  }

  function forward(message: IncomingMessage, response: ServerResponse): void {
    const id = String(message.headers['attempt-id'])
    const key = String(message.headers.authorization).replace('Token ', '')
    const isStream = message.headers.model !== undefined
    if (!keys.includes(key)) return void response.writeHead(401, { 'attempt-id': id }).end()
    if (violated === 'answered' && Math.random() < IGNORED_FRACTION) return
    const route = routeOf(message.url)
    if (REJECTIONS[violated]?.(route, key))
      return void response.writeHead(503, { 'attempt-id': id }).end()
    const usualService = isStream ? 'pool' : service
    const targetService = route === 'usual' ? usualService : HARD_LOAD_ROUTES[route].service
    const candidates = candidatesOf(targetService)
    const copies =
      violated === 'retry-budget' || (violated === 'once' && message.method === 'POST') ? 4 : 1
    for (let copy = 0; copy < copies && candidates.length > 0; copy++) {
      const upstream = candidates[round++ % candidates.length]!
      send(message, upstream, isStream, answer => {
        if (copy === 0) respond(answer, id, isStream, response)
      })
    }
  }

  function send(
    message: IncomingMessage,
    upstream: DecodedRow,
    isStream: boolean,
    onAnswer: (answer: IncomingMessage) => void,
  ): void {
    const [host, port] = upstream.content.address.split(':') as [string, string]
    const {
      'content-length': _length,
      'transfer-encoding': _encoding,
      ...forwarded
    } = message.headers
    const headers = {
      ...forwarded,
      'expect-instance': upstream.key,
      tenant: 'morne',
      ...(isStream && { model: 'large' }),
    }
    const { method, url: path } = message
    const receive = (answer: IncomingMessage) => {
      if (answer.headers['server-limit'] !== undefined) limited.add(upstream.key)
      onAnswer(answer)
    }
    request({ host, port, method, path, headers, agent: false }, receive)
      .on('error', () => undefined)
      .end()
  }

  function respond(
    answer: IncomingMessage,
    id: string,
    isStream: boolean,
    response: ServerResponse,
  ): void {
    let body = ''
    answer.on('data', chunk => (body += String(chunk)))
    answer.on('end', () => {
      const sendsOtherAnswer = violated === 'own-answer' && !isStream && lastBody !== ''
      if (violated === 'condemned-nobody' && !isStream)
        return void response.writeHead(502).end('upstreams ended under this request')
      if (violated === 'not-run' && !isStream) return void response.writeHead(503).end()
      if (violated === 'whole-stream') body = body.replace(/id: 3\n[^\n]*\n\n/, '')
      response.writeHead(answer.statusCode!, { 'attempt-id': id, 'server-stamp': 's' })
      response.end(sendsOtherAnswer ? lastBody : body)
      if (!isStream) lastBody = body
    })
  }

  const entry = createServer((message, response) => {
    message.resume()
    message.once('end', () => forward(message, response))
  })
  const directory = createServer((_message, response) => {
    response.end(JSON.stringify({ addresses: isDown ? [] : [entryAddress], ttl_s: 2 }))
  })
  const timer = setInterval(() => void refresh().catch(() => undefined), READ_INTERVAL_MS)
  const closeConnections = () => entry.closeAllConnections()
  return {
    box: place.box,
    place,
    start() {
      if (isDown || entry.listening) return
      entry.listen(ports.entry, ip)
      directory.listen(ports.directory, ip)
    },
    async stop() {
      if (violated === 'planned-stop') closeConnections()
    },
    async kill() {
      isDown = violated === 'recovery'
      closeConnections()
      if (isDown) entry.close()
    },
    pause() {},
    resume() {},
    reload() {},
    setPathsCut: () => false,
    pid: () => undefined,
    residentMegabytes: () => (violated === 'memory' ? TOO_MUCH_MEMORY_MEGABYTES : 0),
    unexpectedExits: () => (violated === 'box-ended' ? 1 : 0),
    output: () => '',
    async dispose() {
      clearInterval(timer)
      entry.close()
      directory.close()
      closeConnections()
      directory.closeAllConnections()
    },
  }
}

function routeOf(target: string | undefined): Route {
  const names = Object.keys(HARD_LOAD_ROUTES) as (keyof typeof HARD_LOAD_ROUTES)[]
  return names.find(name => HARD_LOAD_ROUTES[name].path === target) ?? 'usual'
}
