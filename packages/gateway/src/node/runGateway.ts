import { createServer, type Server, type ServerResponse } from 'node:http'
import { RequestReading, WsTransport, type Log, type PeerIdentity } from '@yewkeel/box'
import {
  createConnectionLimits,
  sleep,
  type Clock,
  type Milliseconds,
  type Random,
} from '@yewkeel/decisions'
import { createGateway, type Gateway } from '../createGateway.js'
import type { GatewayMessage } from '../types/gossip.js'
import type { Dialect, EventLog, Store } from '../types/ports.js'
import type { GatewaySettings } from '../types/settings.js'
import { startEntryServer, type EntryServer, type OpenedEntry } from './entryServer.js'
import { createGatewayMetrics } from './gatewayMetrics.js'
import { listenOn } from './listenOn.js'

/** Entry addresses for a caller. */
export interface DirectoryAnswer {
  addresses: string[]
  /** How long the caller may use the addresses. */
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
  /** The entry, if it was opened before the program was loaded. */
  openedEntry?: OpenedEntry
  /** Parses a request for addresses and the data centre it names; undefined for other targets. */
  readDirectoryQuery(target: string): { dataCentre?: string } | undefined
  writeDirectoryAnswer(answer: DirectoryAnswer): string
  readinessPath: string
  metricsPath: string
}

export interface RunningGateway {
  gateway: Gateway
  /** `host:port` for callers, as bound. */
  entryAddress: string
  /** `host:port` for other boxes, as bound. */
  peerAddress: string
  /** Drains the box, at most for `stopWithin` of the settings, and stops it. */
  stop(): Promise<void>
}

/** A peer connection with a larger send backlog is reopened, since late gossip is useless. */
const MAX_GOSSIP_BACKLOG_BYTES = 512 * 1024
/** Messages from this size are compressed: configurations and lists, but not gossip. */
const MIN_COMPRESSED_BYTES = 8 * 1024
/** A draining box closes idle connections after this: callers refresh their addresses meanwhile. */
const IDLE_CLOSE_DELAY: Milliseconds = 1_500
const MIN_DRAIN_DURATION: Milliseconds = 2_500
const DRAIN_POLL_INTERVAL: Milliseconds = 100
/** A draining box stops after this long without a request. */
const DRAIN_QUIET_DURATION: Milliseconds = 500

/** Time to send the answers of requests that were ended, within the margin before the kill. */
const LAST_ANSWERS_TIMEOUT: Milliseconds = 250
const LAST_ANSWERS_POLL_INTERVAL: Milliseconds = 10
/** Turns of the event loop: one accepts a connection, the next reads from it. */
const READ_TURNS = 2

/** Runs a gateway on network sockets. */
export async function runGateway(options: RunGatewayOptions): Promise<RunningGateway> {
  const { settings, clock, log } = options
  const metrics = createGatewayMetrics()
  const connectionLimits = createConnectionLimits(settings.machine)
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
    maxBacklogBytes: MAX_GOSSIP_BACKLOG_BYTES,
    compressionThresholdBytes: MIN_COMPRESSED_BYTES,
    maxPendingConnections: connectionLimits.peers,
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
    maxConnections: connectionLimits.entry,
    bodyBytes: () =>
      gateway.services.operators.index?.configuration.limits.bodyBytes ?? DEFAULT_MAX_BODY_BYTES,
    kept: gateway.services.kept,
    idOf: headers => options.dialect.readRequest(headers).id,
    handle: (request, answer) => gateway.handle(request, answer),
    bodyDeadline: request => gateway.bodyDeadline(request),
    onDropped(why, headers) {
      log.event('request-dropped', { id: options.dialect.readRequest(headers).id, why })
    },
  })
  const peerAddress = await transport.open()
  gateway.start()
  const servers = [
    await serveText(settings.listen.readiness, connectionLimits.readiness, (target, response) => {
      const isReady = target === options.readinessPath && gateway.isReady()
      response.writeHead(isReady ? 200 : 503).end()
    }),
    await serveText(settings.listen.directory, connectionLimits.directory, (target, response) =>
      answerDirectory(options, gateway, target, response),
    ),
  ]
  if (settings.listen.metrics) {
    servers.push(
      await serveText(settings.listen.metrics, connectionLimits.metrics, (target, response) => {
        if (target !== options.metricsPath) return void response.writeHead(404).end()
        void metrics.text().then(text => response.end(text))
      }),
    )
  }
  log.event('started', { listen: settings.listen, incarnation: options.incarnation })
  return {
    gateway,
    entryAddress: entry.address,
    peerAddress,
    async stop() {
      const startedAt = clock.now()
      await drain(gateway, entry, settings, clock)
      gateway.endRequests()
      await lastAnswersSent(entry, clock)
      // In the turn of the decision: a request that is read later would be lost.
      const unanswered = entry.close()
      log.event('stopped', { after: Math.round(clock.now() - startedAt), unanswered })
      await gateway.stop()
      for (const server of servers) server.close()
    },
  }
}

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024

/**
 * Drains the box: serves until no request has been in flight for a while, or until `stopWithin` has
 * passed.
 */
async function drain(
  gateway: Gateway,
  entry: EntryServer,
  settings: GatewaySettings,
  clock: Clock,
): Promise<void> {
  const startedAt = clock.now()
  gateway.startDraining()
  entry.beginDrain()
  let lastBusyAt = startedAt
  for (;;) {
    await sleep(clock, DRAIN_POLL_INTERVAL)
    // Before the reading: bytes that arrive later than this belong to the next round.
    const now = clock.now()
    await waitingBytesRead()
    if (entry.openRequests > 0) lastBusyAt = now
    if (now - startedAt > IDLE_CLOSE_DELAY) entry.closeIdle()
    const isQuiet = now - lastBusyAt > DRAIN_QUIET_DURATION && now - startedAt > MIN_DRAIN_DURATION
    if (isQuiet || now - startedAt >= settings.stopWithin) return
  }
}

/**
 * Resolves when what had arrived has been read: a timer that fires late comes before the bytes that
 * waited with it.
 */
async function waitingBytesRead(): Promise<void> {
  for (let turn = 0; turn < READ_TURNS; turn++)
    await new Promise<void>(resolve => setImmediate(resolve))
}

/** Waits until the last answers have been sent, for a limited time. */
async function lastAnswersSent(entry: EntryServer, clock: Clock): Promise<void> {
  const deadline = clock.now() + LAST_ANSWERS_TIMEOUT
  while (entry.openRequests > 0 && clock.now() < deadline)
    await sleep(clock, LAST_ANSWERS_POLL_INTERVAL)
}

/** Prefix of an IPv4 address on a socket that listens for IPv6, too. */
const MAPPED_ADDRESS_PREFIX = /^::ffff:/

function answerDirectory(
  options: RunGatewayOptions,
  gateway: Gateway,
  target: string,
  response: ServerResponse,
): void {
  const query = options.readDirectoryQuery(target)
  const caller = (response.socket?.remoteAddress ?? '').replace(MAPPED_ADDRESS_PREFIX, '')
  const addresses = query ? gateway.addresses(query.dataCentre, caller) : []
  if (addresses.length === 0) {
    response.writeHead(query ? 503 : 404).end()
    return
  }
  const lifetime = options.settings.addressLifetime
  response.writeHead(200, { 'content-type': 'application/json' })
  response.end(options.writeDirectoryAnswer({ addresses, lifetime }))
}

/** A client that neither sends nor reads for so long is disconnected. */
const TEXT_CLIENT_TIMEOUT: Milliseconds = 10_000

/** Serves short texts, of which no client needs more than one connection for long. */
async function serveText(
  listen: string,
  maxConnections: number,
  handle: (target: string, response: ServerResponse) => void,
): Promise<Server> {
  const server = createServer((request, response) => handle(request.url ?? '/', response))
  new RequestReading(server, { maxConnections, closesOldest: true })
  server.setTimeout(TEXT_CLIENT_TIMEOUT)
  await listenOn(server, listen)
  return server
}

/** Writes the transport's log lines to the event log. */
function peerLog(log: EventLog): Log {
  const note = (fields: object, message: string) => log.event('peer-link', { message, ...fields })
  return { info: note, warn: note, error: note }
}
