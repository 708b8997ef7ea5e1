/** A request to a stand-in, from a socket or from a test in the same process. */
export interface StandInRequest {
  method: string
  /** Path with query. */
  path: string
  headers: Record<string, string | undefined>
  body: string
  /** Aborted when the caller hangs up. */
  signal: AbortSignal
}

export interface StandInAnswer {
  status: number
  headers: Record<string, string>
  body: AsyncIterable<Uint8Array | string>
}

/** Answers a request, or rejects with `DroppedConnection` to break the connection without an answer. */
export type StandInHandler = (request: StandInRequest) => Promise<StandInAnswer>

/** The connection breaks. `sent`: whether the request had been taken by then. */
export class DroppedConnection extends Error {
  constructor(readonly sent: boolean) {
    super(sent ? 'the connection broke after the request was taken' : 'the connection was refused')
  }
}

/** A JSON answer. */
export function answerJson(status: number, body: unknown): StandInAnswer {
  return {
    status,
    headers: { 'content-type': 'application/json' },
    body: once(JSON.stringify(body)),
  }
}

async function* once(text: string): AsyncIterable<string> {
  yield text
}
