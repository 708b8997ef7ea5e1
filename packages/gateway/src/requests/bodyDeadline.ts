import type { Milliseconds } from '@yewkeel/decisions'
import type { CallerRequest } from '../types/ports.js'
import type { GatewayServices } from '../types/services.js'
import { admitCaller } from './admitCaller.js'
import { freshnessOf } from './freshnessOf.js'

/**
 * Until when the body of a request is worth reading: until the request's deadline, or not at all if
 * it is rejected whatever the body is.
 */
export function bodyDeadline(services: GatewayServices, request: CallerRequest): Milliseconds {
  const { dialect, operators, random } = services
  const fields = dialect.readRequest(request.headers)
  const admitted = admitCaller(request, fields, operators.index, freshnessOf(services), random)
  return 'status' in admitted ? request.receivedAt : admitted.deadline
}
