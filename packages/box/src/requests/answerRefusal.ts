import { STATUS_OF_REASON, type Refusal } from '@yewkeel/decisions'
import type { Responder } from '../types/ports.js'

/** Error body in the format of the chat completions API, with the verdict added. */
export function refusalBody(refusal: Refusal): string {
  const { message, reason, verdict, retryAfter } = refusal
  return JSON.stringify({
    error: {
      message,
      type: reason,
      code: reason,
      param: null,
      verdict,
      ...(retryAfter !== undefined && { retry_after_milliseconds: retryAfter }),
    },
  })
}

/** Responds with a refusal. Nothing may have been sent to the caller before. */
export function answerRefusal(responder: Responder, refusal: Refusal, requestId: string): void {
  responder.start(STATUS_OF_REASON[refusal.reason], {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'yewkeel-verdict': refusal.verdict,
    ...(refusal.retryAfter !== undefined && {
      'retry-after': String(Math.ceil(refusal.retryAfter / 1_000)),
    }),
  })
  responder.end(refusalBody(refusal))
}

/** Sends an error event and ends a stream that cannot be completed. */
export function endStreamWithRefusal(responder: Responder, refusal: Refusal): void {
  responder.end(`event: error\ndata: ${refusalBody(refusal)}\n\n`)
}
