import type { Milliseconds } from '../types/clock.js'

/**
 * Whether a request that may have run can be retried: `safe` calls always, `unsafe` ones never,
 * `streaming` ones when the route is resumable.
 */
export type RouteKind = 'safe' | 'unsafe' | 'streaming'

/** A service that a route sends requests to, with its weight. */
export interface RouteTarget {
  service: string
  /** Relative to the other targets of the route. */
  weight: number
}

/** Routing and handling of the requests to one host and path prefix. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  kind: RouteKind
  targets: readonly RouteTarget[]
  /** Maximum number of upstreams that one request is sent to. */
  maxAttempts: number
  /** Maximum time that the box may take for a request. */
  timeout: Milliseconds
  /** Latency objective of an answer; for a stream, of its first event. */
  latencyObjective: Milliseconds
  /** Objective for the longest pause between two events of a stream. */
  pauseObjective?: Milliseconds
  /** 0 is the most urgent. */
  priority: number
  /** Whether requests need no API key. */
  isPublic: boolean
  /** Whether an interrupted stream may resume at another upstream. */
  isResumable: boolean
  /** Models that may answer, smallest first. Empty when the caller names the model. */
  models: readonly string[]
}

/** A group of interchangeable upstreams. */
export interface Service {
  name: string
  healthPath: string
  /** Connections that one upstream accepts, over all boxes. */
  maxConnections: number
  /** Rate limit of a newly started upstream. Undefined when it can take full load at once. */
  cold?: ColdStart
}

/** Rate limit of a newly started upstream. */
export interface ColdStart {
  /** Longest duration of a cold start; the upstream is warm afterwards. */
  lasts: Milliseconds
  /** Requests per second until then, over all boxes. */
  perSecond: number
}

export interface OrganisationKeys {
  name: string
  keys: readonly string[]
  /** 0 is the most urgent. Takes precedence over the route's priority. */
  priority: number
}

/** Size limit and timeouts for callers' requests. */
export interface CallerLimits {
  bodyBytes: number
  headerTimeout: Milliseconds
  idleTimeout: Milliseconds
}

/** One version of the operators' configuration. */
export interface Configuration {
  /** Increases with each change. */
  revision: number
  routes: readonly Route[]
  services: readonly Service[]
  /** Undefined when no request needs an API key. */
  organisations?: readonly OrganisationKeys[]
  limits: CallerLimits
}
