import type { Milliseconds, Route } from '@yewkeel/decisions'
import type { CallerResponse, CallerRequest } from '../types/ports.js'
import type { GatewayServices } from '../types/services.js'
import { admitCaller, type AdmittedRequest, type Rejection } from './admitCaller.js'
import { forwardCall } from './forwardCall.js'
import { ForwardedRequest } from './forwardedRequest.js'
import { forwardStream } from './forwardStream.js'
import { freshnessOf } from './freshnessOf.js'
import { takeRelayMark } from './relayMark.js'
import { relayToBox } from './relayToBox.js'

/**
 * A draining box accepts requests that may outlast it for this long: callers refresh their
 * addresses meanwhile.
 */
const FULL_ADMISSION_DURATION: Milliseconds = 2_600
/** Usual duration of a call with its retries, as a multiple of the route's latency objective. */
const CALL_DURATION_FACTOR = 4

/** Retry-After of a 503; a starting box loads its configuration within this. */
const REJECTED_RETRY_AFTER: Milliseconds = 400
/** Callers that do not read are ended within this, after which memory is free again. */
const MEMORY_RETRY_AFTER: Milliseconds = 1_000

const FORWARDERS: Record<Route['kind'], (forwarded: ForwardedRequest) => Promise<void>> = {
  safe: forwardCall,
  unsafe: forwardCall,
  streaming: forwardStream,
}

/**
 * Forwards or rejects a caller's request. `drainingFor`: time since the box began to drain, 0 if it
 * does not.
 */
export function handleCaller(
  services: GatewayServices,
  drainingFor: Milliseconds,
  received: CallerRequest,
  answer: CallerResponse,
): void {
  const { dialect, operators, random, log, settings } = services
  const request = { ...received, ...takeRelayMark(received.headers, settings.peerSecret) }
  const fields = dialect.readRequest(request.headers)
  const admitted = admitCaller(request, fields, operators.index, freshnessOf(services), random)
  if ('status' in admitted) return reject(services, request, fields.id, answer, admitted)
  if (mayOutlast(services, drainingFor, admitted))
    return reject(services, request, fields.id, answer, { status: 503, reason: 'leaving' })
  if (request.isBodyUnread && services.clock.now() >= admitted.deadline)
    return reject(services, request, fields.id, answer, { status: 503, reason: 'body-late' })
  if (request.isBodyUnread || services.kept.isShort())
    return reject(services, request, fields.id, answer, { status: 503, reason: 'memory-short' })
  if (!admitted.isRelayed && services.paths.isLost(admitted.service))
    return relayToBox(services, admitted, answer, undefined)
  const forwarded = new ForwardedRequest(services, admitted, answer)
  FORWARDERS[admitted.route.kind](forwarded).catch((error: unknown) => {
    log.event('request-failed', { id: fields.id, error: String(error) })
    forwarded.fail('internal error')
  })
}

/** Whether the request might not end before a draining box exits. */
function mayOutlast(
  { clock, settings }: GatewayServices,
  drainingFor: Milliseconds,
  { route, deadline }: AdmittedRequest,
): boolean {
  if (drainingFor <= FULL_ADMISSION_DURATION) return false
  if (route.kind === 'streaming') return true
  const callDuration = CALL_DURATION_FACTOR * route.latencyObjective
  return drainingFor + Math.min(callDuration, deadline - clock.now()) > settings.stopWithin
}

function reject(
  { dialect, metrics, log, operators }: GatewayServices,
  request: CallerRequest,
  id: string,
  answer: CallerResponse,
  why: Rejection,
): void {
  const retryAfter = why.status === 503 ? retryAfterOf(why.reason) : undefined
  answer.start(why.status, dialect.writeRejection(id, retryAfter), true)
  answer.end(why.reason)
  metrics.count('requests', why.reason)
  log.request(
    {
      id,
      outcome: why.reason,
      status: why.status,
      host: request.host,
      target: request.target,
      configuration: operators.index?.configuration.revision,
      configurationAge: Math.round(operators.age),
    },
    true,
  )
}

function retryAfterOf(reason: Rejection['reason']): Milliseconds {
  return reason === 'memory-short' ? MEMORY_RETRY_AFTER : REJECTED_RETRY_AFTER
}
