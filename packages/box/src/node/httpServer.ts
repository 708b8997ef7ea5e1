import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import type { Clock, Milliseconds } from '@yewkeel/decisions'
import { ByteQueue } from '../requests/byteQueue.js'
import type { CallerRequest, Responder } from '../types/ports.js'
import { RequestReading } from './requestReading.js'

export interface HttpServerOptions {
  /** `host:port`; port 0 binds any free port. */
  listen: string
  /** Connections that are kept open; a further one takes the place of one that rests. */
  maxConnections: number
  /** A larger request body is refused with status 413. */
  maxBodyBytes: number
  /** Limit on receiving the headers of a request. Milliseconds. */
  headerTimeout: number
  /** Limit on receiving a whole request, and on an idle keep-alive connection. Milliseconds. */
  idleTimeout: number
  /** PEM texts. Plain HTTP without them. */
  tls?: { cert: string; key: string; ca: string }
  clock: Clock
  handle(request: CallerRequest, responder: Responder): Promise<void>
  /** Called when `handle` rejects or the request can't be read. */
  onError(error: unknown): void
}

export interface HttpServer {
  /** `host:port` as bound. */
  address: string
  /** Closes all connections once the answers that have ended are sent, or after a timeout. */
  close(): Promise<void>
  /** Closes all connections at once. */
  kill(): Promise<void>
}

/** Limit on sending the answers that have ended when the server closes. */
const LAST_ANSWERS_TIMEOUT: Milliseconds = 1_000

/** Serves a handler over HTTP/1.1, with limits on body size and on slow or idle clients. */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const unsent = new Set<ServerResponse>()
  const listener: RequestListener = (message, response) => {
    unsent.add(response)
    response.once('close', () => unsent.delete(response))
    handleMessage(message, response, options).catch((error: unknown) => {
      options.onError(error)
      sendInternalError(response)
    })
  }
  const server = options.tls
    ? createTlsServer({ ...options.tls, minVersion: 'TLSv1.2' }, listener)
    : createServer(listener)
  new RequestReading(server, { maxConnections: options.maxConnections })
  server.headersTimeout = options.headerTimeout
  server.requestTimeout = options.idleTimeout
  server.keepAliveTimeout = options.idleTimeout
  server.on('clientError', (_error, socket) => socket.destroy())
  const { host, port } = splitAddress(options.listen)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const bound = server.address() as AddressInfo
  return {
    address: `${host}:${bound.port}`,
    async close() {
      await lastAnswersSent(unsent, options.clock)
      await closeServer(server)
    },
    kill: () => closeServer(server),
  }
}

/** Splits `host:port`. The brackets of an IPv6 host are removed. */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':')
  return { host: address.slice(0, at).replace(/^\[|\]$/g, ''), port: Number(address.slice(at + 1)) }
}

async function handleMessage(
  message: IncomingMessage,
  response: ServerResponse,
  options: HttpServerOptions,
): Promise<void> {
  const disconnect = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) disconnect.abort()
  })
  const body = await readBody(message, options.maxBodyBytes)
  if (body === undefined) return refuseLargeBody(response, options.maxBodyBytes)
  const request: CallerRequest = {
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    headers: message.headers as Record<string, string | undefined>,
    body,
    signal: disconnect.signal,
  }
  await options.handle(request, createResponder(response, disconnect.signal))
}

/** Reads the body; undefined if it is larger than `limit` bytes. */
async function readBody(message: IncomingMessage, limit: number): Promise<string | undefined> {
  if (Number(message.headers['content-length'] ?? 0) > limit) return undefined
  if (message.method === 'GET' || message.method === 'HEAD') return ''
  const bytes = new ByteQueue()
  for await (const chunk of message as AsyncIterable<Buffer>) {
    if (bytes.length + chunk.length > limit) return undefined
    bytes.push(chunk)
  }
  return bytes.takeAll().toString()
}

function refuseLargeBody(response: ServerResponse, limit: number): void {
  const message = `the body is larger than the ${limit} bytes that this box takes`
  response.writeHead(413, {
    'content-type': 'application/json',
    'yewkeel-verdict': 'not-run',
    connection: 'close',
  })
  const error = {
    message,
    type: 'bad-request',
    code: 'bad-request',
    param: null,
    verdict: 'not-run',
  }
  response.end(JSON.stringify({ error }))
}

/** Answers after a failure of the box. The request may have reached an upstream. */
function sendInternalError(response: ServerResponse): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const verdict = 'may-have-run'
  const message = 'the box failed while it handled the request; see its log'
  response.writeHead(500, { 'content-type': 'application/json', 'yewkeel-verdict': verdict })
  response.end(
    JSON.stringify({
      error: { message, type: 'internal', code: 'internal', param: null, verdict },
    }),
  )
}

function createResponder(response: ServerResponse, disconnect: AbortSignal): Responder {
  return {
    start(status, headers) {
      if (!response.headersSent) response.writeHead(status, headers)
    },
    write(chunk) {
      if (disconnect.aborted || response.write(chunk)) return undefined
      // Back-pressure: pauses reading from the upstream until the caller's socket drains or closes.
      return new Promise(resolve => {
        response.once('drain', resolve)
        disconnect.addEventListener('abort', () => resolve(), { once: true })
      })
    },
    end(chunk) {
      if (!disconnect.aborted) response.end(chunk)
    },
  }
}

/** Waits until the answers that have ended are sent, for a limited time. */
function lastAnswersSent(unsent: ReadonlySet<ServerResponse>, clock: Clock): Promise<void> {
  const ended = [...unsent].filter(response => response.writableEnded)
  return new Promise(resolve => {
    const timer = clock.after(LAST_ANSWERS_TIMEOUT, resolve)
    const sent = ended.map(response => new Promise(done => response.once('close', done)))
    void Promise.all(sent).then(() => {
      timer.cancel()
      resolve()
    })
  })
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
