import {
  pickWeighted,
  type Milliseconds,
  type OrganisationKeys,
  type Route,
  type RouteIndex,
} from '@yewkeel/decisions'
import type { CallerRequest, RequestFields } from '../types/ports.js'

/** A request that may be forwarded to an upstream. */
export interface AdmittedRequest {
  request: CallerRequest
  fields: RequestFields
  route: Route
  service: string
  organisation?: OrganisationKeys
  /** Another box passed it on, since it has no path to the upstreams; it is passed on no further. */
  isRelayed: boolean
  /** To how many upstreams earlier boxes may have sent it; undefined if none has counted it. */
  earlierSends: number | undefined
  /** Arrival plus the shorter of the caller's timeout and the route's. */
  deadline: Milliseconds
}

/** Why a request is rejected. */
export interface Rejection {
  status: 401 | 404 | 503
  reason: RejectionReason
}

export type RejectionReason =
  | 'no-configuration'
  | 'configuration-stale'
  | 'keys-stale'
  | 'leaving'
  | 'memory-short'
  | 'body-late'
  | 'no-route'
  | 'key-missing'
  | 'key-unknown'

/** Age of the box's copy of the configuration, and its limits. */
export interface Freshness {
  age: Milliseconds
  /** Above this age no key is accepted, since it may have been revoked. Undefined for no limit. */
  maxKeyAge: Milliseconds | undefined
  /** Above this age a missing route or key gets a 503, since it may have been added. */
  maxRefusalAge: Milliseconds
}

/** Resolves a request's route, service and organisation, or the reason for rejecting it. */
export function admitCaller(
  request: CallerRequest,
  fields: RequestFields,
  index: RouteIndex | undefined,
  freshness: Freshness,
  random: () => number,
): AdmittedRequest | Rejection {
  if (!index) return { status: 503, reason: 'no-configuration' }
  const isStale = freshness.age > freshness.maxRefusalAge
  const refuse = (status: 401 | 404, reason: RejectionReason): Rejection =>
    isStale ? { status: 503, reason: 'configuration-stale' } : { status, reason }
  const route = index.match(request.host, request.target)
  if (!route) return refuse(404, 'no-route')
  const needsKey = !route.isPublic && index.configuration.organisations !== undefined
  const organisation = fields.key === undefined ? undefined : index.organisationOf(fields.key)
  if (needsKey) {
    if (freshness.maxKeyAge !== undefined && freshness.age > freshness.maxKeyAge)
      return { status: 503, reason: 'keys-stale' }
    if (fields.key === undefined) return refuse(401, 'key-missing')
    if (!organisation) return refuse(401, 'key-unknown')
  }
  const timeout = Math.min(fields.timeLeft ?? Infinity, route.timeout)
  return {
    request,
    fields,
    route,
    service: pickTarget(route, random),
    isRelayed: request.isRelayed ?? false,
    earlierSends: request.earlierSends,
    ...(organisation && { organisation }),
    deadline: request.receivedAt + timeout,
  }
}

function pickTarget(route: Route, random: () => number): string {
  const { targets } = route
  if (targets.length === 1) return targets[0]!.service
  return (pickWeighted(targets, target => target.weight, random) ?? targets.at(-1)!).service
}
