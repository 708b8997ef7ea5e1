import { createServer, type Server, type ServerResponse } from 'node:http'
import { WsTransport, type Log, type PeerIdentity } from '@yewkeel/box'
import { sleep, type Clock, type Milliseconds, type Random } from '@yewkeel/decisions'
import { createGateway, type Gateway } from '../createGateway.js'
import type { GatewayMessage } from '../types/gossip.js'
import type { Dialect, EventLog, Store } from '../types/ports.js'
import type { GatewaySettings } from '../types/settings.js'
import { startEntryServer, type EntryServer, type OpenedEntry } from './entryServer.js'
import { createGatewayMetrics } from './gatewayMetrics.js'
import { listenOn } from './listenOn.js'

/** What callers are told about where to connect. */
export interface DirectoryAnswer {
  addresses: string[]
  lifetime: Milliseconds
}

export interface RunGatewayOptions {
  settings: GatewaySettings
  incarnation: string
  clock: Clock
  random: Random
  log: EventLog
  dialect: Dialect
  store: Store
  /** The entry, where it was opened before the program was loaded. */
  openedEntry?: OpenedEntry
  /** Reads a caller's question for addresses: undefined if it is none, else the data centre it names. */
  readDirectoryQuery(target: string): { dataCentre?: string } | undefined
  writeDirectoryAnswer(answer: DirectoryAnswer): string
  readinessPath: string
  metricsPath: string
}

export interface RunningGateway {
  gateway: Gateway
  /** A planned stop: nothing under way is cut off. */
  stop(): Promise<void>
}

/** Gossip is useless when it is late: a link with more than this waiting is opened anew. Bytes. */
const GOSSIP_BACKLOG = 512 * 1024
/** Configurations and lists are compressed some tenfold; gossip is smaller and mostly numbers. Bytes. */
const COMPRESS_FROM = 8 * 1024
/** After this callers have asked for new addresses, and connections that rest may be closed. */
const CLOSE_IDLE_AFTER: Milliseconds = 1_500
const LEAST_LEAVING: Milliseconds = 2_500
const LOOK_AT_LEAVING: Milliseconds = 100
/** A leaving box ends when it had no request for this long. */
const QUIET_BEFORE_END: Milliseconds = 500

/** Runs a gateway on real sockets. */
export async function runGateway(options: RunGatewayOptions): Promise<RunningGateway> {
  const { settings, clock, log } = options
  const metrics = createGatewayMetrics()
  const identity: PeerIdentity = {
    box: settings.box,
    incarnation: options.incarnation,
    dataCentre: settings.dataCentre,
    entryAddress: settings.listen.entry,
    peerAddress: settings.listen.peers,
  }
  const transport = new WsTransport<GatewayMessage>({
    self: identity,
    listen: settings.listen.peers,
    secret: settings.peerSecret,
    clock,
    log: peerLog(log),
    largestBacklog: GOSSIP_BACKLOG,
    compressFrom: COMPRESS_FROM,
  })
  const gateway = createGateway({
    ...options,
    identity,
    metrics,
    transport,
    onConfiguration({ configuration }) {
      if (!configuration) return
      const { headerTimeout, idleTimeout } = configuration.limits
      entry.setTimeouts(headerTimeout, idleTimeout)
    },
  })
  const entry = await startEntryServer({
    listen: settings.listen.entry,
    ...(options.openedEntry && { opened: options.openedEntry }),
    isReady: () => gateway.isReady(),
    clock,
    bodyBytes: () =>
      gateway.services.operators.index?.configuration.limits.bodyBytes ?? DEFAULT_BODY_BYTES,
    handle: (request, answer) => gateway.handle(request, answer),
  })
  await transport.open()
  gateway.start()
  const servers = [
    await serveText(settings.listen.readiness, (target, response) => {
      const isReady = target === options.readinessPath && gateway.isReady()
      response.writeHead(isReady ? 200 : 503).end()
    }),
    await serveText(settings.listen.directory, (target, response) =>
      answerDirectory(options, gateway, target, response),
    ),
  ]
  if (settings.listen.metrics) {
    servers.push(
      await serveText(settings.listen.metrics, (target, response) => {
        if (target !== options.metricsPath) return void response.writeHead(404).end()
        void metrics.text().then(text => response.end(text))
      }),
    )
  }
  log.note('started', { listen: settings.listen, incarnation: options.incarnation })
  return {
    gateway,
    async stop() {
      await leave(gateway, entry, settings, clock, log)
      await gateway.stop()
      for (const server of servers) server.close()
      entry.close()
    },
  }
}

const DEFAULT_BODY_BYTES = 4 * 1024 * 1024

/** Serves until callers have let go and nothing is under way, or until time is up. */
async function leave(
  gateway: Gateway,
  entry: EntryServer,
  settings: GatewaySettings,
  clock: Clock,
  log: EventLog,
): Promise<void> {
  const startedAt = clock.now()
  gateway.beginToLeave()
  entry.beginToLeave()
  let busyAt = startedAt
  for (;;) {
    await sleep(clock, LOOK_AT_LEAVING)
    const now = clock.now()
    if (entry.open > 0) busyAt = now
    if (now - startedAt > CLOSE_IDLE_AFTER) entry.closeIdle()
    const isQuiet = now - busyAt > QUIET_BEFORE_END && now - startedAt > LEAST_LEAVING
    if (!isQuiet && now - startedAt < settings.stopWithin) continue
    log.note('stopped', { after: Math.round(now - startedAt), underWay: entry.open })
    return
  }
}

function answerDirectory(
  options: RunGatewayOptions,
  gateway: Gateway,
  target: string,
  response: ServerResponse,
): void {
  const query = options.readDirectoryQuery(target)
  const addresses = query ? gateway.addresses(query.dataCentre) : []
  if (addresses.length === 0) {
    response.writeHead(query ? 503 : 404).end()
    return
  }
  const lifetime = options.settings.addressLifetime
  response.writeHead(200, { 'content-type': 'application/json' })
  response.end(options.writeDirectoryAnswer({ addresses, lifetime }))
}

async function serveText(
  listen: string,
  handle: (target: string, response: ServerResponse) => void,
): Promise<Server> {
  const server = createServer((request, response) => handle(request.url ?? '/', response))
  await listenOn(server, listen)
  return server
}

/** The transport's log lines as notes. */
function peerLog(log: EventLog): Log {
  const note = (fields: object, message: string) => log.note('peer-link', { message, ...fields })
  return { info: note, warn: note, error: note }
}
