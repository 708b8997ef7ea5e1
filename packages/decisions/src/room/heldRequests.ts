/** The requests of one box that are in flight at one upstream, as far as its room is concerned. */

/** The texts that several requests share are kept in memory once. */
interface HeldText {
  requests: number
  tokens: number
}

export interface HeldRequests {
  /** Number of requests by urgency. */
  byUrgency: number[]
  texts: Map<string, HeldText>
  /** Tokens of all texts. */
  textTokens: number
}

/** The part of a request that `HeldRequests` counts. */
export interface HeldRequest {
  /** 0 to 9; 0 is the most urgent. */
  urgency: number
  /** Identifies the text that it shares with others; undefined when there is none. */
  text?: string | undefined
  textTokens: number
}

export function createHeldRequests(): HeldRequests {
  return { byUrgency: [], texts: new Map(), textTokens: 0 }
}

export function addHeldRequest(held: HeldRequests, request: HeldRequest): void {
  held.byUrgency[request.urgency] = (held.byUrgency[request.urgency] ?? 0) + 1
  if (request.text === undefined) return
  const known = held.texts.get(request.text)
  if (known) {
    known.requests++
    return
  }
  held.texts.set(request.text, { requests: 1, tokens: request.textTokens })
  held.textTokens += request.textTokens
}

export function removeHeldRequest(held: HeldRequests, { urgency, text }: HeldRequest): void {
  held.byUrgency[urgency] = Math.max(0, (held.byUrgency[urgency] ?? 0) - 1)
  const known = text === undefined ? undefined : held.texts.get(text)
  if (!known || --known.requests > 0) return
  held.texts.delete(text!)
  held.textTokens -= known.tokens
}

/** Urgency of the least urgent request; undefined without any. */
export function leastUrgentOf({ byUrgency }: HeldRequests): number | undefined {
  for (let urgency = byUrgency.length - 1; urgency >= 0; urgency--)
    if ((byUrgency[urgency] ?? 0) > 0) return urgency
  return undefined
}
