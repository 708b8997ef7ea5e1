import type { Clock, Milliseconds } from '@yewkeel/decisions'
import type { Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import type { RawHeaders } from '../types/ports.js'
import { createConnectInTime } from './connectInTime.js'

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

/** The connections of this box to one upstream. */
export interface Channels {
  /** Connections that are open, in use or idle. */
  readonly open: number
  readonly idle: number
  send(request: ExchangeRequest, listener: ExchangeListener): Exchange
  /** Takes no more requests; connections in use end with their exchange. */
  retire(): void
}

/** Opens the connections to the upstream at an address, `host:port`. */
export type OpenChannels = (address: string) => Channels

/** Idle connections are closed after this, unless the upstream names a shorter time. */
const IDLE_TIMEOUT: Milliseconds = 8_000
/** Closed this much sooner than the upstream would. */
const IDLE_MARGIN: Milliseconds = 1_200

/** The client library takes a server's name that its types do not have. */
interface NamedDispatch extends Dispatcher.DispatchOptions {
  servername: string
}

/**
 * Means something to TLS alone. Without one the client library tests the Host header of each request against the pattern of
 * IPv6 addresses, which V8 compiles anew whenever it has thrown it away: 7 % of a box's own processor time by a profile of
 * 17 boxes at 75 requests a second.
 */
const UNUSED_SERVER_NAME = 'upstream'

/** One connection, and whether it broke: the client takes an answer without a length for whole even then. */
interface Channel {
  client: Client
  isBroken: boolean
}

/** Connections over TCP. One request at a time on each; idle ones are used again. */
export class UpstreamChannels implements Channels {
  readonly #idle: Channel[] = []
  readonly #open = new Set<Channel>()
  readonly #connect: ReturnType<typeof createConnectInTime>
  #isRetired = false

  constructor(
    private readonly address: string,
    clock: Clock,
  ) {
    this.#connect = createConnectInTime(clock)
  }

  get open(): number {
    return this.#open.size
  }

  get idle(): number {
    return this.#idle.length
  }

  send(request: ExchangeRequest, listener: ExchangeListener): Exchange {
    const channel = this.#take(request.onFreshChannel)
    let isOver = false
    let wasSent = false
    const finish = () => {
      isOver = true
      this.#giveBack(channel)
    }
    const fail = (error: Error) => {
      isOver = true
      this.#drop(channel)
      listener.onFailure(error, wasSent)
    }
    const options: NamedDispatch = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body.length > 0 ? request.body : null,
      servername: UNUSED_SERVER_NAME,
    }
    channel.client.dispatch(options, {
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
        if (channel.isBroken) return fail(new Error('the connection broke in the answer'))
        finish()
        listener.onEnd()
      },
      onResponseError: (_controller, error) => {
        if (!isOver) fail(error)
      },
    })
    return {
      cancel: () => {
        if (isOver) return
        isOver = true
        this.#drop(channel)
      },
    }
  }

  retire(): void {
    this.#isRetired = true
    for (const channel of this.#idle.splice(0)) this.#drop(channel)
  }

  #take(fresh: boolean): Channel {
    const kept = fresh ? undefined : this.#idle.pop()
    if (kept) return kept
    const client = new Client(`http://${this.address}`, {
      pipelining: 1,
      connect: (options, callback) =>
        this.#connect(options, (...result) => {
          const [, socket] = result
          if (socket) watchBreak(socket, channel)
          callback(...result)
        }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT,
      keepAliveMaxTimeout: IDLE_TIMEOUT,
      keepAliveTimeoutThreshold: IDLE_MARGIN,
    })
    const channel: Channel = { client, isBroken: false }
    this.#open.add(channel)
    client.on('disconnect', () => {
      const at = this.#idle.indexOf(channel)
      if (at === -1) return
      this.#idle.splice(at, 1)
      this.#drop(channel)
    })
    return channel
  }

  #giveBack(channel: Channel): void {
    const { client } = channel
    if (this.#isRetired || client.destroyed || client.closed) return this.#drop(channel)
    this.#idle.push(channel)
  }

  #drop(channel: Channel): void {
    this.#open.delete(channel)
    // What was under way on it has been told of already.
    channel.client.destroy().catch(() => undefined)
  }
}

/** Hears of a reset before the client does. */
function watchBreak(socket: Socket, channel: Channel): void {
  socket.once('error', () => {
    channel.isBroken = true
  })
}
