import type { Readable } from 'node:stream'
import { Pool, type Dispatcher } from 'undici'
import {
  UpstreamFailure,
  type SendLimits,
  type Sent,
  type TakeOutcome,
  type UpstreamAnswer,
  type UpstreamClient,
  type UpstreamRequest,
} from '../types/ports.js'

const CONNECT_PATIENCE = 2_000
const KEPT_ALIVE = 30_000

/** Errors that come before a byte of the request has left. */
const NOT_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Speaks HTTP to upstreams, with a pool of kept connections for each. */
export class HttpUpstreamClient implements UpstreamClient {
  readonly #pools = new Map<string, Pool>()

  async send(
    address: string,
    request: UpstreamRequest,
    { signal, answerWithin = 0 }: SendLimits = {},
  ): Promise<UpstreamAnswer> {
    try {
      const answer = await this.#poolOf(address).request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body ?? null,
        // A request that may not run twice is never pipelined behind another and never sent again.
        idempotent: false,
        // 0 sets no limit.
        headersTimeout: Math.max(0, Math.ceil(answerWithin)),
        ...(signal && { signal }),
      })
      return {
        status: answer.statusCode,
        headers: answer.headers as Record<string, string>,
        body: answer.body,
        pump: take => pumpStream(answer.body, take),
      }
    } catch (error) {
      throw new UpstreamFailure(sentOf(error), String(error), isLate(error))
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map(pool => pool.destroy()))
  }

  #poolOf(address: string): Pool {
    const known = this.#pools.get(address)
    if (known) return known
    const created = new Pool(`http://${address}`, {
      connect: { timeout: CONNECT_PATIENCE },
      keepAliveTimeout: KEPT_ALIVE,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    })
    this.#pools.set(address, created)
    return created
  }
}

/** Hands each chunk on as it comes, and stops reading while the taker is busy. */
function pumpStream(body: Readable, take: (chunk: Uint8Array) => TakeOutcome): Promise<void> {
  return new Promise((resolve, reject) => {
    body.on('data', (chunk: Uint8Array) => {
      const outcome = take(chunk)
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

function isLate(error: unknown): boolean {
  return (error as { code?: string }).code === 'UND_ERR_HEADERS_TIMEOUT'
}

function sentOf(error: unknown): Sent {
  const { code } = error as { code?: string }
  return code !== undefined && NOT_SENT.has(code) ? 'no' : 'maybe'
}
