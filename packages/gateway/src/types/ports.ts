import type {
  Configuration,
  ListedUpstream,
  Milliseconds,
  RolloutOrder,
  RolloutStatus,
  StoreRevision,
  ToldLoad,
} from '@yewkeel/decisions'
import type { QuarantineEntry } from '@yewkeel/box'

export type { QuarantineEntry }

/** Everything that operators have written to the store. */
export interface OperatorState extends StoreRevision {
  /**
   * Revision of the store as a whole at the read. The highest row revision would decrease when a
   * row is deleted, and the state would be ignored as outdated.
   */
  revision: number
  /** Equal for states with equal content, of one epoch. */
  fingerprint: number
  configuration?: Configuration
  orders: readonly RolloutOrder[]
  /** Data centres whose upstreams must not receive requests. */
  evacuated: readonly string[]
}

/** The result of a read, and the store's clock at the time. */
export interface StoreRead<T> {
  value: T
  /** Revision of the store as a whole at the read. */
  version: number
  /** Epoch of `version`; undefined is 0. */
  epoch?: number
  storeNow: Milliseconds
}

/** The entry by which a box registers itself in the store. */
export interface BoxEntry {
  box: string
  dataCentre: string
  /** Address for callers, `host:port`. */
  entryAddress: string
  /** Address for other boxes, `host:port`. */
  peerAddress: string
}

/** `conflict`: the row had changed. `unknown`: the write may or may not have taken effect. */
export type WriteOutcome = 'written' | 'conflict' | 'unknown'

/**
 * Persistent storage shared by all boxes. Calls reject with an error if the store does not respond.
 */
export interface Store {
  readOperatorState(): Promise<StoreRead<OperatorState>>
  /**
   * Waits up to `wait` for a change of the operator state after `since`. Resolves to true on a
   * change, and in another epoch; otherwise the state is unchanged up to the `version` of the
   * result.
   */
  awaitOperatorState(since: StoreRevision, wait: Milliseconds): Promise<StoreRead<boolean>>
  readUpstreams(): Promise<StoreRead<readonly ListedUpstream[]>>
  readRollouts(): Promise<StoreRead<readonly RolloutStatus[]>>
  /**
   * Compare-and-swap: writes if the service's status is at `expected`; revision 0, of any epoch, if
   * there is none.
   */
  writeRollout(
    status: Omit<RolloutStatus, keyof StoreRevision>,
    expected: StoreRevision,
  ): Promise<WriteOutcome>
  readBoxes(): Promise<readonly BoxEntry[]>
  writeBox(entry: BoxEntry): Promise<void>
  /** Writes several entries in as few calls as possible. */
  writeBoxes(entries: readonly BoxEntry[]): Promise<void>
  removeBoxes(boxes: readonly string[]): Promise<void>
  readQuarantined(): Promise<readonly QuarantineEntry[]>
  writeQuarantined(entry: QuarantineEntry): Promise<void>
  /** Removes quarantined requests by their digests. */
  removeQuarantined(requests: readonly string[]): Promise<void>
}

/** A part of a prompt. Requests with the same leading parts can share an engine's prefix cache. */
export interface PromptPart {
  id: string
  tokens: number
}

/** Fields parsed from the headers of a caller's request. */
export interface RequestFields {
  /** Id of the attempt, set by the caller. */
  id: string
  timeLeft?: Milliseconds
  key?: string
  session?: string
  /** The model that the caller asks for; may be undefined or open if the route lists models. */
  model?: string
  /** 0 when unknown. */
  promptTokens: number
  /** Parts of the prompt, in order; the last belongs to the request or its session. */
  promptParts: readonly PromptPart[]
  /** The caller's estimate of the tokens of the answer. */
  expectedTokens?: number
  /** Id of the last event that the caller has received; the stream resumes after it. */
  lastEventId?: string
}

/** Fields that the box sets on a request to an upstream, in addition to the caller's. */
export interface OutgoingFields {
  timeLeft: Milliseconds
  /** The only run of an upstream that may process the request. */
  upstreamId: string
  organisation?: string
  model?: string
  lastEventId?: string
  /** `host:port` of an upstream from which this one copies the prompt's KV cache before prefill. */
  copyFrom?: string
  /** 0 to 9; 0 is the most urgent. */
  urgency?: number
}

/** Fields parsed from the headers of an upstream's response. */
export interface ResponseFields {
  /** Id of the attempt that it belongs to. */
  id?: string
  /** It carries the proof that an upstream produced the response. */
  isSigned: boolean
  /** The upstream states that it did not run the request. */
  isNotRun: boolean
  /** The model's confidence in its answer, 0 to 100. */
  confidence?: number
  /** Load of the upstream; figures that it did not tell, or that are malformed, are absent. */
  load?: Partial<ToldLoad>
  /**
   * The message framing marks the end of the body. Otherwise the body ends when the connection
   * closes, and truncation goes undetected.
   */
  isFramed: boolean
  /**
   * A content encoding was applied, so that the bytes differ from those that the upstream produced.
   */
  isEncoded: boolean
  /** Seconds after which a retry may succeed. */
  retryAfter?: number
  /** Rate limit for all boxes together, in requests per second; valid while responses state it. */
  limit?: number
  /** The upstream announces that it is draining. */
  isLeaving?: boolean
  /** Rejections a second, of all boxes together, beyond which the upstream falls over. */
  bearableRejections?: number
  /** Malformed headers of the upstream, `name: text`. */
  malformedHeaders?: readonly string[]
  /** One of them is the rate limit. */
  hasMalformedLimit?: boolean
  /** The run that produced the response, if it identifies itself. */
  answeredBy?: string
}

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[]

/** Reads and writes the headers of requests and responses. */
export interface Dialect {
  readRequest(headers: RawHeaders): RequestFields
  /** Returns the caller's headers without hop-by-hop ones; those that the box sets are replaced. */
  writeRequest(headers: RawHeaders, fields: OutgoingFields): string[]
  /**
   * Returns the caller's headers for another box that takes the request over, without hop-by-hop ones.
   */
  writeRelayed(headers: RawHeaders, timeLeft: Milliseconds): string[]
  readResponse(headers: RawHeaders): ResponseFields
  /** Returns the headers of an upstream's response that are forwarded to the caller. */
  writeResponse(headers: RawHeaders): string[]
  /** Returns the headers of a response that the box produces itself. */
  writeRejection(id: string, retryAfter: Milliseconds | undefined): string[]
}

/** A caller's request with its complete body. */
export interface CallerRequest {
  method: string
  host: string
  /** Path and query as received. */
  target: string
  headers: RawHeaders
  body: Buffer
  /** Another box passed the request on. */
  isRelayed?: boolean
  /** To how many upstreams earlier boxes may have sent it; undefined if none has counted it. */
  earlierSends?: number | undefined
  /** The box gave the body up: the request is rejected, or there was no memory or time for it. */
  isBodyUnread?: boolean
  receivedAt: Milliseconds
}

/** Writes the response to a caller. */
export interface CallerResponse {
  /**
   * `isFramed`: the framing marks the end of the body. Otherwise the connection closes at its end.
   */
  start(status: number, headers: string[], isFramed: boolean): void
  write(chunk: Buffer): void
  end(chunk?: Buffer | string): void
  /** Closes the connection, so that the response is seen as incomplete. */
  abort(): void
  /**
   * Calls back with true when the caller has fallen behind in reading what was written, and with
   * false when it has caught up. A response without it never falls behind.
   */
  onBacklog?(callback: (isBehind: boolean) => void): void
  /** Calls back once if the connection ends before the answer does; `by`: who closed it. */
  onDisconnect(callback: (by: 'box' | 'caller') => void): void
}

/**
 * Structured log of bounded rate: under load, lines of successful requests are dropped and counted.
 */
export interface EventLog {
  /** Logs a change of state or a failure. */
  event(name: string, fields: object): void
  /** Logs the end of a request. */
  request(fields: object, isFailure: boolean): void
}

/** Counters and histograms. */
export interface GatewayMetrics {
  count(name: CounterName, label: string): void
  observe(route: string, outcome: string, duration: Milliseconds): void
  /** Registers a gauge: `read` returns its values by label at each scrape. */
  watch(name: GaugeName, read: () => Partial<Record<string, number>>): void
}

export type GaugeName =
  'epoch' | 'headroom' | 'held' | 'kept' | 'lostPaths' | 'room' | 'slow' | 'waiting'

export type CounterName =
  | 'requests'
  | 'arrivals'
  | 'connections'
  | 'crashes'
  | 'exchanges'
  | 'relayed'
  | 'retries'
  | 'ejections'
  | 'statements'
  | 'storeCalls'
  | 'unread'
  | 'roomRejections'
  | 'taskFailures'
