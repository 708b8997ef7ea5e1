import type { GatewayServices } from '../types/services.js'
import type { AdmittedRequest } from './admitCaller.js'
import type { AttemptLog } from './attemptLog.js'

/** Status for a request that no upstream has processed. */
export const NOT_RUN_STATUS = 503

/** How a request ended. */
export interface RequestEnd {
  outcome: string
  /** Status of the answer; undefined if it had none, or an answer that had begun was cut off. */
  status: number | undefined
  /** Digest of the request, if it was computed. */
  digest: string | undefined
  attempts: AttemptLog['records']
  /** Attempts that count against the retry budget. */
  sends: number
  /** What the wait for room adds. */
  wait: object
  /** Undefined for a call. */
  stream: StreamFields | undefined
}

/** What the line of a stream tells of its end, which callers and other boxes may see otherwise. */
export interface StreamFields {
  /** The last event that its caller had before, of an answer that may have been another box's. */
  resumesAfter?: string
  /** The last event that was passed on. */
  lastEvent?: string
  /** What ends the answer for its caller: the last chunk, or its connection. */
  endsBy?: 'chunk' | 'close'
  /** No retry was left to prove its end, which was accepted as those of other streams were sound. */
  isEndAccepted?: boolean
}

/** Writes the log line of a finished request, and counts it. */
export function logRequest(
  services: GatewayServices,
  { request, fields, route, organisation, service, deadline }: AdmittedRequest,
  { outcome, status, digest, attempts, sends, wait, stream }: RequestEnd,
): void {
  const { clock, metrics, log, operators, upstreams } = services
  const now = clock.now()
  const duration = now - request.receivedAt
  metrics.observe(route.name, outcome, duration)
  log.request(
    {
      id: fields.id,
      ...(digest !== undefined && { request: digest }),
      route: route.name,
      service,
      organisation: organisation?.name,
      outcome,
      status,
      duration: Math.round(duration),
      timeLeft: Math.round(deadline - now),
      configuration: operators.index?.configuration.revision,
      configurationAge: Math.round(operators.age),
      tries: attempts,
      ...(status === NOT_RUN_STATUS && { held: upstreams.countRestricted(service) }),
      sends,
      ...wait,
      ...stream,
    },
    outcome !== 'delivered',
  )
}
