import type { Milliseconds } from '@yewkeel/decisions'
import { Client, type Dispatcher } from 'undici'
import type { RawHeaders } from '../types/ports.js'

/** A request as it goes to an upstream. */
export interface ExchangeRequest {
  method: string
  target: string
  headers: string[]
  body: Buffer
  /** Sent on a connection of its own, where no late bytes of an earlier exchange can be taken for its answer. */
  onFreshChannel: boolean
}

/** Hears how an exchange goes on. After `onEnd` or `onFailure` nothing more comes. */
export interface ExchangeListener {
  onHead(status: number, headers: RawHeaders): void
  onChunk(chunk: Buffer): void
  onEnd(): void
  /** `wasSent`: bytes of the request may have reached the upstream. */
  onFailure(error: Error, wasSent: boolean): void
}

/** One request and its answer. */
export interface Exchange {
  /** Ends the exchange and its connection. The listener hears nothing more. */
  cancel(): void
}

/** Connections between machines of one region open in a few milliseconds; a lost opening packet takes a second. */
const CONNECT_TIMEOUT: Milliseconds = 350
/** Idle connections are closed after this, unless the upstream names a shorter time. */
const IDLE_TIMEOUT: Milliseconds = 8_000
/** Closed this much sooner than the upstream would. */
const IDLE_MARGIN: Milliseconds = 1_200

/** The connections of this box to one upstream. One request at a time on each; idle ones are used again. */
export class UpstreamChannels {
  readonly #idle: Client[] = []
  readonly #open = new Set<Client>()
  #isRetired = false

  constructor(private readonly address: string) {}

  get open(): number {
    return this.#open.size
  }

  get idle(): number {
    return this.#idle.length
  }

  send(request: ExchangeRequest, listener: ExchangeListener): Exchange {
    const client = this.#take(request.onFreshChannel)
    let isOver = false
    let wasSent = false
    const finish = () => {
      isOver = true
      this.#giveBack(client)
    }
    client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.target,
        headers: request.headers,
        body: request.body.length > 0 ? request.body : null,
      },
      {
        onRequestStart: () => {
          wasSent = true
        },
        onResponseStart(controller, status) {
          if (isOver || status < 200) return
          const raw = (controller.rawHeaders ?? []) as (Buffer | string)[]
          listener.onHead(
            status,
            raw.map(part => (typeof part === 'string' ? part : part.toString('latin1'))),
          )
        },
        onResponseData: (_controller, chunk) => {
          if (!isOver) listener.onChunk(chunk)
        },
        onResponseEnd: () => {
          if (isOver) return
          finish()
          listener.onEnd()
        },
        onResponseError: (_controller, error) => {
          if (isOver) return
          isOver = true
          this.#drop(client)
          listener.onFailure(error, wasSent)
        },
      },
    )
    return {
      cancel: () => {
        if (isOver) return
        isOver = true
        this.#drop(client)
      },
    }
  }

  /** Takes no more requests; connections in use end with their exchange. */
  retire(): void {
    this.#isRetired = true
    for (const client of this.#idle.splice(0)) this.#drop(client)
  }

  #take(fresh: boolean): Client {
    const kept = fresh ? undefined : this.#idle.pop()
    if (kept) return kept
    const client = new Client(`http://${this.address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT,
      keepAliveMaxTimeout: IDLE_TIMEOUT,
      keepAliveTimeoutThreshold: IDLE_MARGIN,
    })
    this.#open.add(client)
    client.on('disconnect', () => {
      const at = this.#idle.indexOf(client)
      if (at === -1) return
      this.#idle.splice(at, 1)
      this.#drop(client)
    })
    return client
  }

  #giveBack(client: Client): void {
    if (this.#isRetired || client.destroyed || client.closed) return this.#drop(client)
    this.#idle.push(client)
  }

  #drop(client: Client): void {
    this.#open.delete(client)
    client.destroy().catch(() => undefined)
  }
}
