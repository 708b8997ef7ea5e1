import type {
  Configuration,
  ListedUpstream,
  Milliseconds,
  RolloutOrder,
  RolloutStatus,
} from '@yewkeel/decisions'
import type { CondemnedEntry } from '@yewkeel/box'

export type { CondemnedEntry }

/** What the operators wrote. */
export interface OperatorState {
  /**
   * Of the store as a whole when it was read. The newest of the rows would not do: it falls when the operators take a row back,
   * and a state that seems older than the one that is held is passed over.
   */
  revision: number
  /** Equal for states that say the same. */
  fingerprint: number
  configuration?: Configuration
  orders: readonly RolloutOrder[]
  /** Data centres to whose upstreams nothing more may be sent. */
  evacuated: readonly string[]
}

/** An answer of the store, and the store's clock when it gave it. */
export interface StoreRead<T> {
  value: T
  /** Of the store as a whole, at the read. */
  version: number
  storeNow: Milliseconds
}

/** A box as it enters itself in the store, so that others find it. */
export interface BoxEntry {
  box: string
  dataCentre: string
  /** Where callers connect, `host:port`. */
  entryAddress: string
  /** Where boxes connect, `host:port`. */
  peerAddress: string
}

/** The change was refused because the row had changed, or nobody knows whether it took effect. */
export type WriteOutcome = 'written' | 'conflict' | 'unknown'

/** The store in which everything lies that must last. Calls reject with an error when there is no answer. */
export interface Store {
  readOperatorState(): Promise<StoreRead<OperatorState>>
  /**
   * Resolves once the operators have written or taken back something since `revision`, or after `wait`. True if they have; else
   * the answer's version says up to when they have not.
   */
  awaitOperatorState(revision: number, wait: Milliseconds): Promise<StoreRead<boolean>>
  readUpstreams(): Promise<StoreRead<readonly ListedUpstream[]>>
  readRollouts(): Promise<StoreRead<readonly RolloutStatus[]>>
  /** Writes a status if that of the service is still at `expectedRevision`; 0 for none yet. */
  writeRollout(
    status: Omit<RolloutStatus, 'revision'>,
    expectedRevision: number,
  ): Promise<WriteOutcome>
  readBoxes(): Promise<readonly BoxEntry[]>
  writeBox(entry: BoxEntry): Promise<void>
  removeBoxes(boxes: readonly string[]): Promise<void>
  readCondemned(): Promise<readonly CondemnedEntry[]>
  writeCondemned(entry: CondemnedEntry): Promise<void>
  /** Takes requests by their digests from the condemned ones. */
  removeCondemned(requests: readonly string[]): Promise<void>
}

/** A part of a prompt. Requests that begin with the same parts can share what an engine keeps of them. */
export interface PromptPart {
  id: string
  tokens: number
}

/** What the headers of a caller's request say. */
export interface RequestFields {
  /** The attempt, named by the caller. */
  id: string
  timeLeft?: Milliseconds
  key?: string
  session?: string
  /** As the caller names it. Undefined or open where the route lists models. */
  model?: string
  /** 0 when unknown. */
  promptTokens: number
  /** Parts of the prompt, in order; the last is the request's own or its session's. */
  promptParts: readonly PromptPart[]
  /** The caller has the stream up to this event. */
  lastEventId?: string
}

/** What a request to an upstream carries beside what the caller sent. */
export interface OutgoingFields {
  timeLeft: Milliseconds
  /** The run of an upstream that alone may take the request. */
  upstreamId: string
  organisation?: string
  model?: string
  lastEventId?: string
  /** `host:port` of an upstream from which this one copies what it keeps of the prompt, before it reads the rest. */
  copyFrom?: string
  /** 0 to 9; 0 is the most urgent. */
  urgency?: number
}

/** What the head of an upstream's answer says. */
export interface AnswerFields {
  /** The attempt that it answers. */
  id?: string
  /** Proves that an upstream made the answer. */
  isSigned: boolean
  /** The upstream says that it did not run the request. */
  isNotRun: boolean
  /** The model's own opinion of its answer, 0 to 100. */
  confidence?: number
  /** Requests running and waiting at the upstream. */
  load?: number
  /** Its length is told, so that its end can be seen. Otherwise it ends with the connection, whole or not. */
  isFramed: boolean
  /** The bytes are not those that the upstream's program made. */
  isEncoded: boolean
  /** Seconds after which asking again may help. */
  retryAfter?: number
  /** Requests a second that the upstream takes from all boxes together, for as long as its answers say so. */
  limit?: number
  /** The upstream says that it leaves. */
  isLeaving?: boolean
  /** What the upstream said of itself and nobody can read, `name: text`. */
  unreadable?: readonly string[]
  /** The run of an upstream that gave the answer, where it names itself. */
  answeredBy?: string
}

/** Names and values of headers, one after the other, as they stood on the wire. */
export type RawHeaders = readonly string[]

/** How requests and answers are written on the wire. */
export interface Dialect {
  readRequest(headers: RawHeaders): RequestFields
  /** The caller's headers without those of one connection and those that are ours to set, and with ours. */
  writeRequest(headers: RawHeaders, fields: OutgoingFields): string[]
  readAnswer(headers: RawHeaders): AnswerFields
  /** Headers of an upstream's answer that are passed on. */
  writeAnswer(headers: RawHeaders): string[]
  /** Headers of an answer of our own. */
  writeRefusal(id: string, retryAfter: Milliseconds | undefined): string[]
}

/** A caller's request, read whole. */
export interface CallerRequest {
  method: string
  host: string
  /** Path and query as they came. */
  target: string
  headers: RawHeaders
  body: Buffer
  receivedAt: Milliseconds
}

/** Where the answer to a caller goes. */
export interface CallerAnswer {
  /** `isFramed`: its end will be told by its length. Otherwise the connection ends with it. */
  start(status: number, headers: string[], isFramed: boolean): void
  write(chunk: Buffer): void
  end(chunk?: Buffer | string): void
  /** Closes the connection, so that the answer does not look complete. */
  abort(): void
  /** Calls back once if the caller leaves before the end. */
  onGone(callback: () => void): void
}

/** Structured logs. Bounded: under load lines of requests that went well are left out and counted. */
export interface EventLog {
  /** A belief has changed, or something failed. */
  note(event: string, fields: object): void
  /** A request came to its end. */
  request(fields: object, isFailure: boolean): void
}

/** Counters and histograms. */
export interface GatewayMetrics {
  count(name: CounterName, label: string): void
  observe(route: string, outcome: string, duration: Milliseconds): void
  /** Reads a level by its labels whenever the figures are asked for. */
  watch(name: GaugeName, read: () => Partial<Record<string, number>>): void
}

export type GaugeName = 'held'

export type CounterName =
  | 'requests'
  | 'arrivals'
  | 'crashes'
  | 'exchanges'
  | 'retries'
  | 'ejections'
  | 'statements'
  | 'storeCalls'
