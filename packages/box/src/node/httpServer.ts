import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import type { CallerRequest, Responder } from '../types/ports.js'

export interface HttpServerOptions {
  /** `host:port`; port 0 takes any free one. */
  listen: string
  bodyBytes: number
  headerMilliseconds: number
  idleMilliseconds: number
  tls?: { cert: string; key: string; ca: string }
  handle(request: CallerRequest, responder: Responder): Promise<void>
  onError(error: unknown): void
}

export interface HttpServer {
  /** `host:port` as bound. */
  address: string
  close(): Promise<void>
}

/** Serves a handler over HTTP/1.1 with bounds on what a client may take up. */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const listener: RequestListener = (message, response) => {
    serve(message, response, options).catch((error: unknown) => {
      options.onError(error)
      refuseAfterError(response)
    })
  }
  const server = options.tls
    ? createTlsServer({ ...options.tls, minVersion: 'TLSv1.2' }, listener)
    : createServer(listener)
  server.headersTimeout = options.headerMilliseconds
  server.requestTimeout = options.idleMilliseconds
  server.keepAliveTimeout = options.idleMilliseconds
  server.on('clientError', (_error, socket) => socket.destroy())
  const { host, port } = splitAddress(options.listen)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const bound = server.address() as AddressInfo
  return { address: `${host}:${bound.port}`, close: () => closeServer(server) }
}

/** Host and port of `host:port`; an IPv6 host may stand in brackets. */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':')
  return { host: address.slice(0, at).replace(/^\[|\]$/g, ''), port: Number(address.slice(at + 1)) }
}

async function serve(
  message: IncomingMessage,
  response: ServerResponse,
  options: HttpServerOptions,
): Promise<void> {
  const hangUp = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) hangUp.abort()
  })
  const body = await readBody(message, options.bodyBytes)
  if (body === undefined) return refuseLargeBody(response, options.bodyBytes)
  const request: CallerRequest = {
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    headers: message.headers as Record<string, string | undefined>,
    body,
    signal: hangUp.signal,
  }
  await options.handle(request, createResponder(response, hangUp.signal))
}

/** Undefined when the body is larger than allowed. */
async function readBody(message: IncomingMessage, limit: number): Promise<string | undefined> {
  if (Number(message.headers['content-length'] ?? 0) > limit) return undefined
  if (message.method === 'GET' || message.method === 'HEAD') return ''
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of message as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > limit) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
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

/** An error of the box itself: nobody can say how far the request got. */
function refuseAfterError(response: ServerResponse): void {
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

function createResponder(response: ServerResponse, hangUp: AbortSignal): Responder {
  return {
    start(status, headers) {
      if (!response.headersSent) response.writeHead(status, headers)
    },
    write(chunk) {
      if (hangUp.aborted || response.write(chunk)) return undefined
      // The caller reads slowly: nothing more is read from the upstream until it has caught up.
      return new Promise(resolve => {
        response.once('drain', resolve)
        hangUp.addEventListener('abort', () => resolve(), { once: true })
      })
    },
    end(chunk) {
      if (!hangUp.aborted) response.end(chunk)
    },
  }
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
