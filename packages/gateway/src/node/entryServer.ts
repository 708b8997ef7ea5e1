import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { splitAddress } from '@yewkeel/box'
import type { Clock, Milliseconds } from '@yewkeel/decisions'
import type { CallerAnswer, CallerRequest } from '../types/ports.js'

export interface EntryServerOptions {
  /** `host:port`; port 0 takes any free one. */
  listen: string
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
  const { host, port } = splitAddress(options.listen)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port, backlog: LISTEN_BACKLOG }, resolve)
  })
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
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
