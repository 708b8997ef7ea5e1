import { refuseNotRun, type Refusal } from '@yewkeel/decisions'
import type { RequestContext } from '../types/context.js'
import { answerRefusal, endStreamWithRefusal } from './answerRefusal.js'
import { wholeEvents } from './eventStream.js'

export const STREAM_PATH = '/v1/streams/'

/**
 * Resumes a stream after the box that relayed it failed: relays the engine's events after the last
 * one that the caller has received. The box that took over the bill settles it.
 */
export async function resumeStream(context: RequestContext): Promise<void> {
  const { request, services, organisation, responder, id } = context
  const url = new URL(request.path, 'http://box')
  const requestId = decodeURIComponent(url.pathname.slice(STREAM_PATH.length))
  const after = Number(request.headers['last-event-id'] ?? url.searchParams.get('after') ?? 0)
  const bill = await services.streams.find(requestId)
  const view = bill?.stream && services.upstreams.views.get(bill.stream.upstream)
  if (!bill?.stream || bill.organisation !== organisation || !view || !Number.isInteger(after)) {
    return answerRefusal(responder, refuseUnknownStream(requestId), id)
  }
  const path = `/v1/streams/${encodeURIComponent(bill.stream.id)}?after=${after}`
  try {
    const answer = await services.client.send(
      view.address,
      { method: 'GET', path, headers: {} },
      { signal: request.signal },
    )
    if (answer.status !== 200) return answerRefusal(responder, refuseUnknownStream(requestId), id)
    responder.start(200, { 'content-type': 'text/event-stream', 'x-request-id': requestId })
    for await (const piece of wholeEvents(answer.body)) await responder.write(piece)
    responder.end()
  } catch {
    endStreamWithRefusal(responder, {
      verdict: 'ran',
      reason: 'upstream-failed',
      message: 'the stream broke off again; ask for the rest with the id of the last event',
    })
  }
}

function refuseUnknownStream(requestId: string): Refusal {
  return refuseNotRun(
    'not-found',
    `no box knows a running stream of the request "${requestId}"; nothing was run for this call`,
  )
}
