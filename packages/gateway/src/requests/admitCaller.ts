import {
  pickWeighted,
  type Milliseconds,
  type OrganisationKeys,
  type Route,
  type RouteIndex,
} from '@yewkeel/decisions'
import type { CallerRequest, RequestFields } from '../types/ports.js'

/** A request that may be sent on. */
export interface AdmittedRequest {
  request: CallerRequest
  fields: RequestFields
  route: Route
  service: string
  organisation?: OrganisationKeys
  /** The answer is of no use after this, or the operator wants the request held no longer. */
  deadline: Milliseconds
}

/** Why a request is not sent on. */
export interface Rejection {
  status: 401 | 404 | 503
  reason: RejectionReason
}

export type RejectionReason =
  | 'no-configuration'
  | 'configuration-stale'
  | 'keys-stale'
  | 'leaving'
  | 'no-route'
  | 'key-missing'
  | 'key-unknown'

/** How fresh the box's copy of the configuration is, and how fresh it must be. */
export interface Freshness {
  age: Milliseconds
  /** A key may have been taken away since; undefined if nobody minds. */
  keysWithin: Milliseconds | undefined
  /** A route or key that is not in the copy may have been added since. */
  refusalsWithin: Milliseconds
}

/** Finds a request's route and organisation, or why it may not pass. */
export function admitCaller(
  request: CallerRequest,
  fields: RequestFields,
  index: RouteIndex | undefined,
  freshness: Freshness,
  random: () => number,
): AdmittedRequest | Rejection {
  if (!index) return { status: 503, reason: 'no-configuration' }
  const isOld = freshness.age > freshness.refusalsWithin
  const refuse = (status: 401 | 404, reason: RejectionReason): Rejection =>
    isOld ? { status: 503, reason: 'configuration-stale' } : { status, reason }
  const route = index.match(request.host, request.target)
  if (!route) return refuse(404, 'no-route')
  const needsKey = !route.isPublic && index.configuration.organisations !== undefined
  const organisation = fields.key === undefined ? undefined : index.organisationOf(fields.key)
  if (needsKey) {
    if (freshness.keysWithin !== undefined && freshness.age > freshness.keysWithin)
      return { status: 503, reason: 'keys-stale' }
    if (fields.key === undefined) return refuse(401, 'key-missing')
    if (!organisation) return refuse(401, 'key-unknown')
  }
  const patience = Math.min(fields.timeLeft ?? Infinity, route.timeout)
  return {
    request,
    fields,
    route,
    service: pickTarget(route, random),
    ...(organisation && { organisation }),
    deadline: request.receivedAt + patience,
  }
}

function pickTarget(route: Route, random: () => number): string {
  const { targets } = route
  if (targets.length === 1) return targets[0]!.service
  return (pickWeighted(targets, target => target.weight, random) ?? targets.at(-1)!).service
}
