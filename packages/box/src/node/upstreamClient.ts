import type { Readable } from 'node:stream'
import { Pool, type Dispatcher } from 'undici'
import {
  UpstreamFailure,
  type SendLimits,
  type Sent,
  type ChunkOutcome,
  type UpstreamAnswer,
  type UpstreamClient,
  type UpstreamRequest,
} from '../types/ports.js'

const CONNECT_TIMEOUT = 2_000 // milliseconds
const KEEP_ALIVE_TIMEOUT = 30_000 // milliseconds

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
])

/** HTTP/1.1 client with a pool of keep-alive connections for each address. */
export class HttpUpstreamClient implements UpstreamClient {
  readonly #pools = new Map<string, Pool>()

  async send(
    address: string,
    request: UpstreamRequest,
    { signal, responseTimeout = 0 }: SendLimits = {},
  ): Promise<UpstreamAnswer> {
    try {
      const answer = await this.#poolOf(address).request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body ?? null,
        // Requests may be non-idempotent: undici must not pipeline or resend them.
        idempotent: false,
        // 0 disables the timeout.
        headersTimeout: Math.max(0, Math.ceil(responseTimeout)),
        ...(signal && { signal }),
      })
      return {
        status: answer.statusCode,
        headers: answer.headers as Record<string, string>,
        body: answer.body,
        forEachChunk: onChunk => pumpStream(answer.body, onChunk),
      }
    } catch (error) {
      throw new UpstreamFailure(sentStateOf(error), String(error), isHeadersTimeout(error))
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map(pool => pool.destroy()))
  }

  #poolOf(address: string): Pool {
    const existing = this.#pools.get(address)
    if (existing) return existing
    const created = new Pool(`http://${address}`, {
      connect: { timeout: CONNECT_TIMEOUT },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    })
    this.#pools.set(address, created)
    return created
  }
}

/** Passes chunks to `onChunk`: a promise pauses the stream until resolved, 'stop' destroys it. */
function pumpStream(body: Readable, onChunk: (chunk: Uint8Array) => ChunkOutcome): Promise<void> {
  return new Promise((resolve, reject) => {
    body.on('data', (chunk: Uint8Array) => {
      const outcome = onChunk(chunk)
      if (outcome === undefined) return
      if (outcome === 'stop') {
        body.destroy()
        resolve()
        return
      }
      body.pause()
      void outcome.then(() => body.resume(), reject)
    })
    body.once('end', resolve)
    body.once('error', reject)
    body.once('close', resolve)
  })
}

function isHeadersTimeout(error: unknown): boolean {
  return (error as { code?: string }).code === 'UND_ERR_HEADERS_TIMEOUT'
}

function sentStateOf(error: unknown): Sent {
  const { code } = error as { code?: string }
  return code !== undefined && NOT_SENT_CODES.has(code) ? 'no' : 'maybe'
}
