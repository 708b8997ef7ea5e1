/** A request to a stand-in, over HTTP or from a test in the same process. */
export interface StandInRequest {
  method: string
  /** Includes the query string. */
  path: string
  headers: Record<string, string | undefined>
  body: string
  /** Aborted when the client disconnects. */
  signal: AbortSignal
}

export interface StandInResponse {
  status: number
  headers: Record<string, string>
  body: AsyncIterable<Uint8Array | string>
}

/** Responds to a request; rejects with `DroppedConnection` to close the connection instead. */
export type StandInHandler = (request: StandInRequest) => Promise<StandInResponse>

/** The connection failed. `sent` says whether the request was received before that. */
export class DroppedConnection extends Error {
  constructor(readonly sent: boolean) {
    super(
      sent ? 'the connection closed after the request was received' : 'the connection was refused',
    )
  }
}

export function jsonResponse(status: number, body: unknown): StandInResponse {
  return {
    status,
    headers: { 'content-type': 'application/json' },
    body: once(JSON.stringify(body)),
  }
}

async function* once(text: string): AsyncIterable<string> {
  yield text
}
