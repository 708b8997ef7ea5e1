import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Server as ConnectionServer, Socket } from 'node:net'
import { sleep, type Clock, type Milliseconds } from '@yewkeel/decisions'
import type { CallerAnswer, CallerRequest } from '../types/ports.js'
import { listenOn } from './listenOn.js'

/** An entry that was opened before the program was loaded. Its connections have not been read from. */
export interface OpenedEntry {
  server: ConnectionServer
  waiting: Socket[]
}

export interface EntryServerOptions {
  /** `host:port`; port 0 takes any free one. */
  listen: string
  /** Serves its callers in place of opening another. */
  opened?: OpenedEntry
  /** Callers of an opened entry wait for this, though not for long. */
  isReady(): boolean
  clock: Clock
  bodyBytes(): number
  handle(request: CallerRequest, answer: CallerAnswer): void
}

/** The server that callers connect to. */
export interface EntryServer {
  /** `host:port` as bound. */
  address: string
  /** Requests whose answer is not out yet. */
  readonly open: number
  setTimeouts(header: Milliseconds, idle: Milliseconds): void
  /** From now on each answer asks its caller to connect elsewhere. */
  beginToLeave(): void
  closeIdle(): void
  close(): void
}

/** Callers take up connections that rested for most of the idle timeout: close a little after it. */
const IDLE_SLACK: Milliseconds = 1_000
const LISTEN_BACKLOG = 1_024
const DEFAULT_HEADER_TIMEOUT: Milliseconds = 10_000
const DEFAULT_IDLE_TIMEOUT: Milliseconds = 60_000

/** Serves callers over HTTP/1.1. Bodies are read whole, as bytes, before a request is handled. */
export async function startEntryServer(options: EntryServerOptions): Promise<EntryServer> {
  let isLeaving = false
  let open = 0
  const server = createServer({ requireHostHeader: false }, (message, response) => {
    open++
    response.once('close', () => open--)
    if (isLeaving) response.shouldKeepAlive = false
    void serve(message, response, options, () => isLeaving)
  })
  server.headersTimeout = DEFAULT_HEADER_TIMEOUT
  server.requestTimeout = 0
  server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT
  server.on('clientError', (_error, socket) => socket.destroy())
  if (options.opened) void takeOver(server, options.opened, options)
  else await listenOn(server, options.listen, { backlog: LISTEN_BACKLOG })
  const address = (options.opened?.server ?? server).address() as AddressInfo
  return {
    address: `${address.address}:${address.port}`,
    get open() {
      return open
    },
    setTimeouts(header, idle) {
      server.headersTimeout = Math.max(header, DEFAULT_HEADER_TIMEOUT)
      server.keepAliveTimeout = idle + IDLE_SLACK
    },
    beginToLeave: () => void (isLeaving = true),
    closeIdle: () => server.closeIdleConnections(),
    close() {
      server.close()
      server.closeAllConnections()
    },
  }
}

/** Serves the callers of an opened entry once the box can: a request that was read before would be refused. */
async function takeOver(
  server: Server,
  opened: OpenedEntry,
  { clock, isReady }: EntryServerOptions,
): Promise<void> {
  const until = clock.now() + READY_WITHIN
  while (!isReady() && clock.now() < until) await sleep(clock, LOOK_AGAIN)
  await new Promise<void>(resolve => server.listen(opened.server, resolve))
  for (const socket of opened.waiting.splice(0)) {
    server.emit('connection', socket)
    socket.resume()
  }
}

/**
 * A box that has its platform is ready some 20 ms after it was loaded. Callers leave a box that has not read from them for a
 * second, so those that waited since it was opened still get the refusal.
 */
const READY_WITHIN: Milliseconds = 400
const LOOK_AGAIN: Milliseconds = 5

async function serve(
  message: IncomingMessage,
  response: ServerResponse,
  options: EntryServerOptions,
  isLeaving: () => boolean,
): Promise<void> {
  const receivedAt = options.clock.now()
  const body = await readBody(message, options.bodyBytes())
  if (body === 'broken') return
  if (body === 'too-large') {
    response.writeHead(413, { connection: 'close' }).end()
    return
  }
  if (await hasLeft(message)) return
  const request: CallerRequest = {
    method: message.method ?? 'GET',
    host: message.headers.host ?? '',
    target: message.url ?? '/',
    headers: message.rawHeaders,
    body,
    receivedAt,
  }
  options.handle(request, createAnswer(response, isLeaving))
}

/**
 * Whether the caller has left already. Its leaving stands after its request in the same connection, and is read a turn of the event
 * loop later: a box that is behind would send on requests that nobody waits for.
 */
async function hasLeft({ socket }: IncomingMessage): Promise<boolean> {
  for (let turn = 0; turn < TURNS_UNTIL_READ; turn++)
    await new Promise<void>(resolve => setImmediate(resolve))
  return socket.destroyed || socket.readableEnded
}

/** The first ends the turn in which the request was read, the second the next one. */
const TURNS_UNTIL_READ = 2

const NO_BODY = Buffer.alloc(0)

function readBody(
  message: IncomingMessage,
  limit: number,
): Promise<Buffer | 'too-large' | 'broken'> {
  const { headers } = message
  if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined)
    return Promise.resolve(NO_BODY)
  if (Number(headers['content-length'] ?? 0) > limit) return Promise.resolve('too-large')
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= limit) chunks.push(chunk)
      else resolve('too-large')
    })
    message.once('end', () => resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)))
    message.once('close', () => resolve('broken'))
    message.once('error', () => resolve('broken'))
  })
}

function createAnswer(response: ServerResponse, isLeaving: () => boolean): CallerAnswer {
  return {
    start(status, headers, isFramed) {
      if (response.headersSent) return
      if (isLeaving() || !isFramed) response.shouldKeepAlive = false
      if (!isFramed) response.useChunkedEncodingByDefault = false
      response.writeHead(status, headers)
    },
    write: chunk => void response.write(chunk),
    end: chunk => void response.end(chunk),
    abort: () => void response.destroy(),
    onGone(callback) {
      response.once('close', () => {
        if (!response.writableFinished) callback()
      })
    },
  }
}
