import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Server as ConnectionServer, Socket } from 'node:net'
import { RequestReading } from '@yewkeel/box'
import { sleep, type Clock, type Milliseconds } from '@yewkeel/decisions'
import type { KeptAccount, KeptBytes } from '../tasks/keptBytes.js'
import type { CallerResponse, CallerRequest, RawHeaders } from '../types/ports.js'
import { CallerConnections, onceEnded } from './callerConnections.js'
import { CallerWriter } from './callerWriter.js'
import { listenOn } from './listenOn.js'
import { BodyReader } from './readBody.js'

/**
 * A listening server from before the program was loaded, with accepted connections that are paused.
 */
export interface OpenedEntry {
  server: ConnectionServer
  waiting: Socket[]
}

export interface EntryServerOptions {
  /** `host:port`; port 0 takes any free one. */
  listen: string
  /** Takes over this server instead of listening on `listen`. */
  opened?: OpenedEntry
  /** Connections of an opened entry wait until this is true, or for a short timeout. */
  isReady(): boolean
  clock: Clock
  /** Connections of callers that are kept open. */
  maxConnections: number
  bodyBytes(): number
  /** What the box keeps for callers. */
  kept: KeptBytes
  /** The id of a request, for the log. */
  idOf(headers: RawHeaders): string
  handle(request: CallerRequest, answer: CallerResponse): void
  /** Until when a body that arrives in small pieces is read; the request's own is empty yet. */
  bodyDeadline(request: CallerRequest): Milliseconds
  /** A connection ended under a request that `handle` has not been called with. */
  onDropped(why: DropReason, headers: RawHeaders): void
}

/**
 * Why a request was not handled: its body did not arrive whole, its caller had disconnected before
 * it was handled, or its bytes are no request.
 */
export type DropReason = 'body-broken' | 'caller-left' | 'malformed'

/** The HTTP server for callers. */
export interface EntryServer {
  /** `host:port` as bound. */
  address: string
  /** Number of requests in flight. */
  readonly openRequests: number
  setTimeouts(header: Milliseconds, idle: Milliseconds): void
  /** Sends `connection: close` with each answer from now on. */
  beginDrain(): void
  closeIdle(): void
  /** Closes all connections. Returns the number of requests that this leaves without an answer. */
  close(): number
}

/**
 * Connections close this much after the idle timeout, since callers reuse them until shortly before
 * it.
 */
const IDLE_TIMEOUT_MARGIN: Milliseconds = 1_000
const LISTEN_BACKLOG = 1_024
const DEFAULT_HEADER_TIMEOUT: Milliseconds = 10_000
const DEFAULT_IDLE_TIMEOUT: Milliseconds = 60_000

/** Serves callers over HTTP/1.1. Each request's body is buffered before `handle` is called. */
export async function startEntryServer(options: EntryServerOptions): Promise<EntryServer> {
  let isDraining = false
  let isClosed = false
  const connections = new CallerConnections()
  const server = createServer({ requireHostHeader: false }, (message, response) => {
    connections.begin(message, response)
    void serve(message, response, options, {
      isClosing: () => isDraining && !reading.hasUnread(message.socket),
      isClosed: () => isClosed,
      readInSlices: () => reading.readInSlices(message.socket),
    })
  })
  const reading = new RequestReading(server, { maxConnections: options.maxConnections })
  server.headersTimeout = DEFAULT_HEADER_TIMEOUT
  server.requestTimeout = 0
  server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    // A reset of the caller's also arrives here; it ends no request that has been read.
    if (error.code !== 'ECONNRESET') options.onDropped('malformed', [])
    socket.destroy()
  })
  if (options.opened) void adoptEntry(server, options.opened, options)
  else await listenOn(server, options.listen, { backlog: LISTEN_BACKLOG })
  const address = (options.opened?.server ?? server).address() as AddressInfo
  return {
    address: `${address.address}:${address.port}`,
    get openRequests() {
      return connections.openRequests.size
    },
    setTimeouts(header, idle) {
      server.headersTimeout = Math.max(header, DEFAULT_HEADER_TIMEOUT)
      server.keepAliveTimeout = idle + IDLE_TIMEOUT_MARGIN
    },
    beginDrain: () => void (isDraining = true),
    closeIdle: () => connections.closeIdle(socket => reading.hasUnread(socket)),
    close() {
      isClosed = true
      const unanswered = connections.openRequests.size
      server.close()
      // An answer whose caller has not read all of it must not end in order.
      for (const { message, response } of [...connections.openRequests]) breakOff(message, response)
      server.closeAllConnections()
      return unanswered
    },
  }
}

/**
 * Serves the connections of an opened entry once the box is ready; earlier requests would be
 * rejected.
 */
async function adoptEntry(
  server: Server,
  opened: OpenedEntry,
  { clock, isReady }: EntryServerOptions,
): Promise<void> {
  const deadline = clock.now() + READY_TIMEOUT
  while (!isReady() && clock.now() < deadline) await sleep(clock, READY_POLL_INTERVAL)
  await new Promise<void>(resolve => server.listen(opened.server, resolve))
  for (const socket of opened.waiting.splice(0)) {
    server.emit('connection', socket)
    socket.resume()
  }
}

/**
 * A box that reaches its platform is ready some 20 ms after it was loaded. Below the callers'
 * timeout of one second, so that a box that is not ready can still reject the requests.
 */
const READY_TIMEOUT: Milliseconds = 400
const READY_POLL_INTERVAL: Milliseconds = 5

/** State of the server that a request and its answer depend on. */
interface EntryState {
  /** Whether the answer is the last one on its connection. */
  isClosing(): boolean
  isClosed(): boolean
  /** Reads the rest of the body in slices. */
  readInSlices(): void
}

async function serve(
  message: IncomingMessage,
  response: ServerResponse,
  options: EntryServerOptions,
  state: EntryState,
): Promise<void> {
  const { clock, kept } = options
  const id = () => options.idOf(message.rawHeaders)
  const arriving = kept.open(id, () => reader.stop())
  const limit = options.bodyBytes()
  const head = readHead(message, clock.now())
  const readUntil = () => options.bodyDeadline(head)
  const { readInSlices } = state
  const reader = new BodyReader({
    message,
    limit,
    account: arriving,
    clock,
    readUntil,
    readInSlices,
  })
  const body = await reader.read()
  if (body === 'broken') return options.onDropped('body-broken', message.rawHeaders)
  if (body === 'too-large') {
    response.writeHead(413, { connection: 'close' }).end()
    return
  }
  if (await hasDisconnected(message)) return options.onDropped('caller-left', message.rawHeaders)
  const isBodyUnread = body === 'given-up'
  const request = { ...head, isBodyUnread, ...(!isBodyUnread && { body }) }
  const account = kept.open(id, () => breakOff(message, response))
  options.handle(request, createAnswer(message, response, account, state))
}

/** The request without its body, which has not been read yet. */
function readHead(message: IncomingMessage, receivedAt: Milliseconds): CallerRequest {
  return {
    method: message.method ?? 'GET',
    host: message.headers.host ?? '',
    target: message.url ?? '/',
    headers: message.rawHeaders,
    body: NO_BODY,
    receivedAt,
  }
}

/**
 * Whether the caller has already disconnected, so that an overloaded box does not forward abandoned
 * requests. The end of the connection is read after the request, in a later turn of the event loop.
 */
async function hasDisconnected({ socket }: IncomingMessage): Promise<boolean> {
  for (let turn = 0; turn < CLOSE_DETECTION_TURNS; turn++)
    await new Promise<void>(resolve => setImmediate(resolve))
  return socket.destroyed || socket.readableEnded
}

/** The rest of the current event loop turn and the whole next one. */
const CLOSE_DETECTION_TURNS = 2

const NO_BODY = Buffer.alloc(0)

function createAnswer(
  message: IncomingMessage,
  response: ServerResponse,
  account: KeptAccount,
  { isClosing, isClosed }: EntryState,
): CallerResponse {
  const writer = new CallerWriter(response, account)
  let onDisconnect: ((by: 'box' | 'caller') => void) | undefined
  onceEnded(message.socket, response, () => {
    writer.close()
    if (!response.writableFinished) onDisconnect?.(isClosed() || account.isEnded ? 'box' : 'caller')
  })
  return {
    start(status, headers, isFramed) {
      if (response.headersSent) return
      if (isClosing() || !isFramed) response.shouldKeepAlive = false
      if (!isFramed) response.useChunkedEncodingByDefault = false
      response.writeHead(status, headers)
    },
    write: chunk => writer.write(chunk),
    end: chunk => writer.end(chunk),
    abort: () => breakOff(message, response),
    onBacklog: callback => writer.onBacklog(callback),
    onDisconnect(callback) {
      onDisconnect = callback
    },
  }
}

/** Closes a connection; the end of an answer without framing would make it look complete. */
function breakOff({ socket }: IncomingMessage, response: ServerResponse): void {
  if (!response.useChunkedEncodingByDefault) socket.resetAndDestroy()
  response.destroy()
}
