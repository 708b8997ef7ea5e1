import { sleep, type Milliseconds } from '@yewkeel/decisions'
import type { Upstream } from '../types/upstream.js'
import type { EndProof } from './endProof.js'
import type { ForwardedRequest } from './forwardedRequest.js'

/**
 * What is done about a stream whose end is not proved: `ask` an upstream for what follows, `accept`
 * the end, or `break-off`, so that the caller knows that more may follow.
 */
export type EndResolution = 'ask' | 'accept' | 'break-off' | 'over'

/**
 * How long an end waits for the retries that its proof needs. Its caller has all events meanwhile;
 * an upstream that is about to end is gone by then, and other boxes tell of early ends.
 */
const PATIENCE: Milliseconds = 1_500
const POLL_INTERVAL: Milliseconds = 50

/**
 * Waits until the whole proof of an end can be paid. If it cannot be in time, the end is accepted
 * where all ends of the service were lately found sound and the upstream goes on.
 */
export async function resolveUnprovenEnd(
  request: ForwardedRequest,
  proof: EndProof,
  upstream: Upstream,
): Promise<EndResolution> {
  const { clock, ends } = request.services
  const until = clock.now() + PATIENCE
  while (!request.canAttempt(proof.missingRuns)) {
    if (clock.now() >= until) {
      const isSound = ends.areSound(request.admitted.service)
      return isSound && (await request.isStillThere(upstream)) ? 'accept' : 'break-off'
    }
    await sleep(clock, POLL_INTERVAL)
    if (request.isOver) return 'over'
  }
  return 'ask'
}
