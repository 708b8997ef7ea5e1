import type { Milliseconds, TableService } from '@yewkeel/decisions'
import type { PeerMessage, PeerIdentity } from './peerMessage.js'

/** Where a request may still be. `no`: not a byte of it left for the upstream. */
export type Sent = 'no' | 'maybe'

/** A request to an upstream failed before its answer began. */
export class UpstreamFailure extends Error {
  constructor(
    readonly sent: Sent,
    message: string,
    /** The answer did not begin in the time that was given. */
    readonly late = false,
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
   * Reads the body piece by piece without a promise for each, where the client can. Reading waits while `take`
   * gives a promise, and ends early when it gives `stop`. Rejects when the body breaks.
   */
  pump?(take: (chunk: Uint8Array) => TakeOutcome): Promise<void>
}

/** Go on, go on when the promise resolves, or read no more. */
export type TakeOutcome = void | Promise<unknown> | 'stop'

export interface SendLimits {
  /** Aborted when the answer is no longer wanted. */
  signal?: AbortSignal
  /** How long the answer may take to begin. */
  answerWithin?: Milliseconds
}

/** Speaks to engines and plain services. `send` rejects with `UpstreamFailure` only; it never sends twice. */
export interface UpstreamClient {
  send(address: string, request: UpstreamRequest, limits?: SendLimits): Promise<UpstreamAnswer>
}

/** A machine as the platform's list shows it. */
export interface ListedMachine {
  name: string
  role: 'entry' | 'engine' | 'service'
  address: string
  dataCentre: string
  state: 'live' | 'leaving'
  slots?: number
  checksFence?: boolean
}

export interface Rating {
  requestId: string
  good: boolean
}

/** Clients of the platform. Reads that fail give undefined. */
export interface Platform {
  table: TableService
  listMachines(): Promise<readonly ListedMachine[] | undefined>
  /** Ratings after a cursor, of requests that this router served. */
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
  /** A link to the peer is new; what was sent before may be lost. */
  onConnected(peer: PeerIdentity): void
}

/** Links to other boxes. What is sent arrives in order or the link breaks. */
export interface PeerTransport<Message = PeerMessage> {
  listen(listener: PeerListener<Message>): void
  /** Keeps links to these and no others. */
  link(peers: readonly PeerAddress[]): void
  /** False when there is no link to the peer. */
  send(to: string, message: Message): boolean
  close(): Promise<void>
}

/** A request of a caller, however it came. */
export interface CallerRequest {
  method: string
  path: string
  headers: Record<string, string | undefined>
  body: string
  /** Aborted when the caller hangs up. */
  signal: AbortSignal
}

/** Where the answer to a caller goes. */
export interface Responder {
  start(status: number, headers: Record<string, string>): void
  /** Resolves when the caller can take more. */
  write(chunk: Uint8Array | string): Promise<void> | void
  end(chunk?: Uint8Array | string): void
}

/** Structured logs. Keys and prompts are never logged. */
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

/** One hop of a request. */
export interface Span {
  /** W3C `traceparent` of this span, for the next hop. */
  readonly traceparent: string | undefined
  set(attributes: Record<string, string | number | boolean>): void
  end(error?: string): void
}

export interface Tracer {
  /** `parent`: a span of this box, or a `traceparent` header that came from outside. */
  start(name: string, parent?: Span | string): Span
}

const NO_SPAN: Span = { traceparent: undefined, set: () => {}, end: () => {} }

export const SILENT_LOG: Log = { info: () => {}, warn: () => {}, error: () => {} }
export const NO_METRICS: Metrics = { count: () => {}, gauge: () => {}, timing: () => {} }
export const NO_TRACER: Tracer = { start: () => NO_SPAN }
