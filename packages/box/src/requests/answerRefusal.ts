import { STATUS_OF_REASON, type Refusal } from '@yewkeel/decisions'
import type { Responder } from '../types/ports.js'

/** The error body that clients of the chat completions interface expect, with the verdict. */
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

/** Answers with a refusal before anything else was sent. */
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

/** Ends a stream that has begun and cannot be finished. */
export function endStreamWithRefusal(responder: Responder, refusal: Refusal): void {
  responder.end(`event: error\ndata: ${refusalBody(refusal)}\n\n`)
}
