import type { Milliseconds, Route } from '@yewkeel/decisions'
import type { CallerAnswer, CallerRequest } from '../types/ports.js'
import type { GatewayServices } from '../types/services.js'
import { admitCaller, type Freshness, type Rejection } from './admitCaller.js'
import { forwardCall } from './forwardCall.js'
import { ForwardedRequest } from './forwardedRequest.js'
import { forwardStream } from './forwardStream.js'

/**
 * Part of the time for honouring a taken-away key after which the box stops, unless it has a younger proof. Proofs count
 * from when the read was sent and requests from when they arrived. What is left covers feeds, which say nothing of a
 * change for up to a second while the store drops its history (seen on days with that fault), and clocks that drift.
 */
const KEY_MARGIN = 0.78
/** A 401 or 404 is given only with a copy younger than this; the operators' changes reach all boxes sooner. */
const REFUSALS_WITHIN: Milliseconds = 2_500
/** A leaving box takes streams for this long: by then callers have new addresses, and most streams still end. */
const STREAMS_WHILE_LEAVING: Milliseconds = 2_600

/** A box that just started has its configuration within this. */
const REJECTED_RETRY_AFTER: Milliseconds = 400

const FORWARDERS: Record<Route['kind'], (run: ForwardedRequest) => Promise<void>> = {
  safe: forwardCall,
  unsafe: forwardCall,
  streaming: forwardStream,
}

/** Sends a caller's request on, or rejects it. `leavingFor`: how long ago the box began to leave, 0 while it stays. */
export function handleCaller(
  services: GatewayServices,
  leavingFor: Milliseconds,
  request: CallerRequest,
  answer: CallerAnswer,
): void {
  const { dialect, operators, random, log } = services
  const fields = dialect.readRequest(request.headers)
  const admitted = admitCaller(request, fields, operators.index, freshnessOf(services), random)
  if ('status' in admitted) return reject(services, request, fields.id, answer, admitted)
  // A stream that begins now would not end before the box does.
  if (admitted.route.kind === 'streaming' && leavingFor > STREAMS_WHILE_LEAVING)
    return reject(services, request, fields.id, answer, { status: 503, reason: 'leaving' })
  const run = new ForwardedRequest(services, admitted, answer)
  FORWARDERS[admitted.route.kind](run).catch((error: unknown) => {
    log.note('request-failed', { id: fields.id, error: String(error) })
    run.giveUp('internal error')
  })
}

function freshnessOf({ settings, operators }: GatewayServices): Freshness {
  const { keyRevocation } = settings
  return {
    age: operators.age,
    keysWithin: keyRevocation === undefined ? undefined : KEY_MARGIN * keyRevocation,
    refusalsWithin: REFUSALS_WITHIN,
  }
}

function reject(
  { dialect, metrics, log, operators }: GatewayServices,
  request: CallerRequest,
  id: string,
  answer: CallerAnswer,
  why: Rejection,
): void {
  const retryAfter = why.status === 503 ? REJECTED_RETRY_AFTER : undefined
  answer.start(why.status, dialect.writeRefusal(id, retryAfter), true)
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
