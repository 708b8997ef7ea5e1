/**
 * Queue for scarce upstream capacity: orders requests by urgency, lowered for organisations that
 * were served recently, so that none starves.
 */

/** A request that waits for an upstream. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  urgency: number
  organisation: string
}

/** The requests of one service that wait for an upstream, in order of arrival. */
export interface WaitQueue {
  requests: Set<QueuedRequest>
  /** Organisations of the latest requests that were served, oldest first; may repeat. */
  served: string[]
}

/**
 * Length of the history: more than the ten levels of urgency, so that the least urgent request of
 * an organisation overtakes the most urgent one of another that was served each time.
 */
const SERVED_HISTORY_LENGTH = 14

export function createWaitQueue(): WaitQueue {
  return { requests: new Set(), served: [] }
}

/** Number of requests that are served before this one. */
export function requestsAhead({ requests, served }: WaitQueue, request: QueuedRequest): number {
  const rankOf = ({ urgency, organisation }: QueuedRequest) =>
    urgency + served.filter(name => name === organisation).length
  const rank = rankOf(request)
  let ahead = 0
  let isBehind = false
  for (const other of requests) {
    if (other === request) {
      isBehind = true
      continue
    }
    const otherRank = rankOf(other)
    if (otherRank < rank || (otherRank === rank && !isBehind)) ahead++
  }
  return ahead
}

/** Records that a request was served while others could have taken its place. */
export function recordServed(queue: WaitQueue, { organisation }: QueuedRequest): void {
  queue.served.push(organisation)
  if (queue.served.length > SERVED_HISTORY_LENGTH) queue.served.shift()
}
