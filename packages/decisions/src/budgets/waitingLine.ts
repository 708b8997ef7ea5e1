/**
 * Who gets the next place where upstreams take fewer requests than are asked for: the most urgent request, and no organisation always
 * the last.
 */

/** A request that looks for an upstream. */
export interface Waiter {
  /** 0 is the most urgent. */
  urgency: number
  organisation: string
}

/** The requests of one service that look for an upstream now, in the order in which they came. */
export interface WaitingLine {
  waiters: Set<Waiter>
  /** Organisations that got the newest places, one for each place. */
  served: string[]
}

/**
 * As many places are remembered as it takes until the least urgent request of one organisation goes before the most urgent one of another that got
 * all of them: ten steps of urgency, and a few.
 */
const PLACES_REMEMBERED = 14

export function createWaitingLine(): WaitingLine {
  return { waiters: new Set(), served: [] }
}

/** How many requests get a place before this one does. */
export function waitersAhead({ waiters, served }: WaitingLine, waiter: Waiter): number {
  const rankOf = ({ urgency, organisation }: Waiter) =>
    urgency + served.filter(name => name === organisation).length
  const rank = rankOf(waiter)
  let ahead = 0
  let hasPassed = false
  for (const other of waiters) {
    if (other === waiter) {
      hasPassed = true
      continue
    }
    const otherRank = rankOf(other)
    if (otherRank < rank || (otherRank === rank && !hasPassed)) ahead++
  }
  return ahead
}

/** The request got a place that others could have had. */
export function noteServed(line: WaitingLine, { organisation }: Waiter): void {
  line.served.push(organisation)
  if (line.served.length > PLACES_REMEMBERED) line.served.shift()
}
