import type { Milliseconds, TableService } from '@yewkeel/decisions'
import type { PeerMessage, PeerIdentity } from './peerMessage.js'

/** Whether a failed request may have reached the upstream. `no`: no byte of it was sent. */
export type Sent = 'no' | 'maybe'

/** A request to an upstream failed before the response headers arrived. */
export class UpstreamFailure extends Error {
  constructor(
    readonly sent: Sent,
    message: string,
    /** The response did not start within `SendLimits.responseTimeout`. */
    readonly isTimeout = false,
  ) {
    super(message)
  }
}

export interface UpstreamRequest {
  method: string
  path: string
  headers: Record<string, string>
  body?: string
}

export interface UpstreamAnswer {
  status: number
  headers: Record<string, string>
  body: AsyncIterable<Uint8Array>
  /**
   * Reads the body by callback, without a promise per chunk; absent when the client doesn't support
   * it. Waits for a promise that `take` returns, and stops early when it returns `stop`. Rejects
   * when the body is cut off.
   */
  forEachChunk?(take: (chunk: Uint8Array) => ChunkOutcome): Promise<void>
}

/** Continue, continue once the promise resolves, or stop reading. */
export type ChunkOutcome = void | Promise<unknown> | 'stop'

export interface SendLimits {
  /** Cancels the request. */
  signal?: AbortSignal
  /** Time allowed until the response starts. */
  responseTimeout?: Milliseconds
}

/** Client of engines and services. `send` rejects only with `UpstreamFailure`, never retries. */
export interface UpstreamClient {
  send(address: string, request: UpstreamRequest, limits?: SendLimits): Promise<UpstreamAnswer>
}

/** An entry of the platform's list of machines. */
export interface ListedMachine {
  name: string
  role: 'entry' | 'engine' | 'service'
  address: string
  dataCentre: string
  state: 'live' | 'leaving'
  /** Requests that it runs at once. */
  slots?: number
  /** Whether it checks fencing tokens. */
  checksFence?: boolean
}

/** A caller's rating of an answer. */
export interface Rating {
  requestId: string
  good: boolean
}

/** Clients of the platform's services. Failed reads return undefined. */
export interface Platform {
  table: TableService
  listMachines(): Promise<readonly ListedMachine[] | undefined>
  /** Ratings after a cursor, of requests served by `router`, the id prefix of a box incarnation. */
  readRatings(
    cursor: number,
    router: string,
  ): Promise<{ ratings: Rating[]; cursor: number } | undefined>
}

export interface PeerAddress {
  /** Undefined for a seed whose name is not known yet. */
  box?: string
  address: string
}

export interface PeerListener<Message = PeerMessage> {
  onMessage(from: PeerIdentity, message: Message): void
  /** A new link is open; messages sent over an earlier one may be lost. */
  onConnected(peer: PeerIdentity): void
}

/** Links to other boxes. Messages arrive in order, or the link closes. */
export interface PeerTransport<Message = PeerMessage> {
  listen(listener: PeerListener<Message>): void
  /** Keeps links to these peers and closes all others. */
  link(peers: readonly PeerAddress[]): void
  /** False when there is no link to the peer. */
  send(to: string, message: Message): boolean
  close(): Promise<void>
}

/** A caller's request, independent of the transport. */
export interface CallerRequest {
  method: string
  path: string
  headers: Record<string, string | undefined>
  body: string
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
}

/** Writes the response to a caller. */
export interface Responder {
  start(status: number, headers: Record<string, string>): void
  /** The promise resolves when the write buffer has drained (back-pressure). */
  write(chunk: Uint8Array | string): Promise<void> | void
  end(chunk?: Uint8Array | string): void
}

/** Structured log. Never pass keys or prompts. */
export interface Log {
  info(fields: object, message: string): void
  warn(fields: object, message: string): void
  error(fields: object, message: string): void
}

export interface Metrics {
  count(name: string, value?: number, tags?: Record<string, string>): void
  gauge(name: string, value: number, tags?: Record<string, string>): void
  timing(name: string, value: Milliseconds, tags?: Record<string, string>): void
}

/** A tracing span. */
export interface Span {
  /** W3C `traceparent` of this span, for the next hop. */
  readonly traceparent: string | undefined
  set(attributes: Record<string, string | number | boolean>): void
  end(error?: string): void
}

export interface Tracer {
  /** `parent`: a span of this box, or a received `traceparent` header. */
  start(name: string, parent?: Span | string): Span
}

const NO_SPAN: Span = { traceparent: undefined, set: () => {}, end: () => {} }

export const SILENT_LOG: Log = { info: () => {}, warn: () => {}, error: () => {} }
export const NO_METRICS: Metrics = { count: () => {}, gauge: () => {}, timing: () => {} }
export const NO_TRACER: Tracer = { start: () => NO_SPAN }
