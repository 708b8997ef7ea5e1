import type { Milliseconds } from '../types/clock.js'

/** What may be repeated: a `safe` call always, an `unsafe` one never, a `streaming` answer where it may be resumed. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming'

/** A service that a route sends requests to, and its share of them. */
export interface RouteTarget {
  service: string
  /** Relative to the other targets of the route. */
  weight: number
}

/** Where requests of one host and path prefix go, and how they are to be treated. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  kind: RouteKind
  targets: readonly RouteTarget[]
  /** Upstreams that one request may be sent to at the most. */
  maxAttempts: number
  /** How long the box may hold a request. */
  timeout: Milliseconds
  /** An answer within this time earns all that it can. Counted to the first event of a stream. */
  latencyObjective: Milliseconds
  /** The longest pause between two events of a stream that is still in time. */
  pauseObjective?: Milliseconds
  /** 0 is the most urgent. */
  priority: number
  /** Needs no key. */
  isPublic: boolean
  /** A broken stream may go on at another upstream. */
  isResumable: boolean
  /** Models that may answer, the smallest first. Empty where the caller names the model. */
  models: readonly string[]
}

/** A group of upstreams that serve the same. */
export interface Service {
  name: string
  healthPath: string
  /** Connections that one upstream accepts from all boxes together. */
  maxConnections: number
  /** What an upstream bears that has just started. Left out where that is as much as later. */
  cold?: ColdStart
}

/** How an upstream is after its start. */
export interface ColdStart {
  /** It is warm after this at the latest. */
  lasts: Milliseconds
  /** Requests a second that it bears until then, from all boxes together. */
  perSecond: number
}

export interface OrganisationKeys {
  name: string
  keys: readonly string[]
  /** 0 is the most urgent. Counts before the priority of the route. */
  priority: number
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  bodyBytes: number
  headerTimeout: Milliseconds
  idleTimeout: Milliseconds
}

/** One version of the operators' configuration. */
export interface Configuration {
  /** Rises with each change. */
  revision: number
  routes: readonly Route[]
  services: readonly Service[]
  /** Undefined: no request needs a key. */
  organisations?: readonly OrganisationKeys[]
  limits: CallerLimits
}
