import {
  formatVersion,
  refuseMayHaveRun,
  type ModelVersion,
  type Refusal,
  type Usage,
} from '@yewkeel/decisions'
import type { RequestContext } from '../types/context.js'
import type { ChunkOutcome, UpstreamAnswer } from '../types/ports.js'
import { readText } from '../tasks/upstreamTask.js'
import { sendOptionsFor, type CompletionTask } from './completionTask.js'
import { endStreamWithRefusal } from './answerRefusal.js'
import { forEachPiece, lastEventId, modelOf, readUsage, splitEnd, usageIn } from './eventStream.js'
import { sendToUpstream, type OpenAnswer } from './sendToUpstream.js'

const MAX_RESUMES = 2
const MAX_WRONG_VERSIONS = 3

/** Relays an engine's answer to the caller. Returns a refusal only if nothing was sent yet. */
export async function relayCompletion(
  task: CompletionTask,
  version: ModelVersion,
): Promise<Refusal | undefined> {
  const { context } = task
  for (let attempts = 0; attempts < MAX_WRONG_VERSIONS; attempts++) {
    const sent = await sendToUpstream(context, sendOptionsFor(task, version, {}))
    if (sent.isErr) return sent.error
    const relay = task.completion.body.stream ? relayStream : relayBuffered
    const outcome = await relay(task, version, sent.value)
    if (outcome !== 'wrong-version') return outcome
    context.services.upstreams.recordVersionMismatch(sent.value.view, formatVersion(version))
    task.excluded.add(sent.value.view.id)
  }
  return refuseWrongVersions(version)
}

type RelayOutcome = Refusal | undefined | 'wrong-version'

/** Sends a buffered answer once its `model` field has been verified. */
async function relayBuffered(
  task: CompletionTask,
  version: ModelVersion,
  open: OpenAnswer,
): Promise<RelayOutcome> {
  const { context, bill } = task
  let text: string
  try {
    text = await readText(open.answer.body)
  } catch (error) {
    open.release('broken')
    return refuseInterrupted(open, error)
  }
  open.release('whole')
  if (open.answer.status >= 400) return relayClientError(context, open, text)
  if (modelOf(text) !== formatVersion(version)) return 'wrong-version'
  await bill.whenOpenIsDurable()
  bill.addLine(version, open.view.id, readUsage(text) ?? NO_USAGE)
  const durable = bill.close('answered')
  recordServed(task, version, open)
  context.responder.start(200, answerHeaders(task, open, version, 'application/json'))
  await durable
  context.responder.end(text)
  return undefined
}

const NO_USAGE: Usage = { promptTokens: 0, completionTokens: 0 }

/** Progress of a relayed stream. */
interface StreamProgress {
  started: boolean
  lastId: number
  usage?: Usage
  ended: boolean
  wrongVersion: boolean
}

async function relayStream(
  task: CompletionTask,
  version: ModelVersion,
  open: OpenAnswer,
): Promise<RelayOutcome> {
  const { context } = task
  if (open.answer.status >= 400) {
    open.release('whole')
    return relayClientError(context, open, await readText(open.answer.body))
  }
  const progress: StreamProgress = { started: false, lastId: 0, ended: false, wrongVersion: false }
  let answer: UpstreamAnswer | undefined = open.answer
  for (let resumes = 0; answer; resumes++) {
    await forwardEvents(task, version, open, answer, progress)
    if (progress.wrongVersion) {
      open.release('well')
      return 'wrong-version'
    }
    if (progress.ended) return undefined
    if (context.request.signal.aborted) return cancel(task, version, open)
    answer = resumes < MAX_RESUMES ? await resume(context, open, progress.lastId) : undefined
  }
  open.release('broken')
  if (!progress.started) return refuseInterrupted(open, 'the stream ended before it began')
  await endInterrupted(task, version, open, progress)
  return undefined
}

/** Forwards pieces until the body ends or fails, or the caller disconnects. */
async function forwardEvents(
  task: CompletionTask,
  version: ModelVersion,
  open: OpenAnswer,
  answer: UpstreamAnswer,
  progress: StreamProgress,
): Promise<void> {
  const { responder, request } = task.context
  const keepUsage = task.completion.body.stream_options?.include_usage === true
  const forwardPiece = (piece: Buffer): ChunkOutcome => {
    const end = splitEnd(piece, keepUsage)
    if (end) {
      const usage = end.usage ?? progress.usage
      if (usage) progress.usage = usage
      return endAnswer(task, version, open, progress, end.before, end.end)
    }
    progress.lastId = lastEventId(piece) ?? progress.lastId
    progress.usage = usageIn(piece) ?? progress.usage
    if (request.signal.aborted) return 'stop'
    return responder.write(piece)
  }
  const handlePiece = (piece: Buffer): ChunkOutcome => {
    if (progress.started) return forwardPiece(piece)
    if (modelOf(piece) !== formatVersion(version)) {
      progress.wrongVersion = true
      return 'stop'
    }
    return startAnswer(task, version, open, progress).then(() => forwardPiece(piece))
  }
  try {
    await forEachPiece(answer, handlePiece)
  } catch {
    // The connection failed. Complete events were forwarded; the stream can be resumed after them.
  }
}

/** Starts the response once the open bill survives the loss of this box. */
async function startAnswer(
  task: CompletionTask,
  version: ModelVersion,
  open: OpenAnswer,
  progress: StreamProgress,
): Promise<void> {
  const { context, bill } = task
  const { services } = context
  await bill.whenOpenIsDurable()
  context.responder.start(200, answerHeaders(task, open, version, 'text/event-stream'))
  progress.started = true
  recordServed(task, version, open)
  services.metrics.timing('first_token', services.clock.now() - context.receivedAt)
}

/** Ends the response once the closed bill survives the loss of this box. */
async function endAnswer(
  { context, bill }: CompletionTask,
  version: ModelVersion,
  open: OpenAnswer,
  progress: StreamProgress,
  before: Buffer,
  end: Buffer,
): Promise<void> {
  open.release('whole')
  const usage = progress.usage ?? { promptTokens: 0, completionTokens: progress.lastId }
  bill.addLine(version, open.view.id, usage)
  const durable = bill.close('answered')
  if (before.length > 0) await context.responder.write(before)
  await durable
  context.responder.end(end)
  progress.ended = true
}

/** Requests the remaining events of an interrupted stream from the engine. */
async function resume(
  { services }: RequestContext,
  open: OpenAnswer,
  after: number,
): Promise<UpstreamAnswer | undefined> {
  services.metrics.count('upstream.resumes')
  try {
    const path = `/v1/streams/${encodeURIComponent(open.streamId)}?after=${after}`
    const answer = await services.client.send(open.view.address, {
      method: 'GET',
      path,
      headers: {},
    })
    return answer.status === 200 ? answer : undefined
  } catch {
    return undefined
  }
}

/** Cancels the stream at the engine after the caller disconnected, and bills what was generated. */
async function cancel(
  { context, bill }: CompletionTask,
  version: ModelVersion,
  open: OpenAnswer,
): Promise<undefined> {
  const usage = await cancelStream(context, open)
  open.release('well')
  bill.addLine(version, open.view.id, usage ?? NO_USAGE)
  void bill.close('cancelled')
  context.responder.end()
  return undefined
}

async function cancelStream(
  { services }: RequestContext,
  open: OpenAnswer,
): Promise<Usage | undefined> {
  try {
    const path = `/v1/streams/${encodeURIComponent(open.streamId)}`
    const answer = await services.client.send(open.view.address, {
      method: 'DELETE',
      path,
      headers: {},
    })
    return readUsage(await readText(answer.body))
  } catch {
    return undefined
  }
}

async function endInterrupted(
  { context, bill, completion }: CompletionTask,
  version: ModelVersion,
  open: OpenAnswer,
  progress: StreamProgress,
): Promise<void> {
  const estimate = { promptTokens: completion.promptTokens, completionTokens: progress.lastId }
  bill.addLine(version, open.view.id, progress.usage ?? estimate)
  await bill.close('cut-off')
  endStreamWithRefusal(context.responder, {
    verdict: 'ran',
    reason: 'upstream-failed',
    message: `the upstream ${open.view.id} broke off and the rest could not be had`,
  })
}

/** Forwards a client error of the engine and voids the bill, as the request did not run. */
function relayClientError(
  { responder, services, id, billId }: RequestContext,
  open: OpenAnswer,
  text: string,
): undefined {
  services.bills.void(billId)
  responder.start(open.answer.status, {
    'content-type': open.answer.headers['content-type'] ?? 'application/json',
    'x-request-id': id,
    'yewkeel-verdict': 'not-run',
  })
  responder.end(text)
  return undefined
}

/** Response headers, with the version and the upstream that answered. */
export function answerHeaders(
  { context, versions }: CompletionTask,
  open: OpenAnswer,
  version: ModelVersion,
  contentType: string,
): Record<string, string> {
  return {
    'content-type': contentType,
    'cache-control': 'no-cache',
    'x-request-id': context.id,
    'yewkeel-version': formatVersion(version),
    'yewkeel-upstream': open.view.id,
    ...versions.headers(),
  }
}

/** Records the answer for its version's exposure limit and for a later rating. */
export function recordServed(
  { context, completion, predictedQuality }: CompletionTask,
  version: ModelVersion,
  open: OpenAnswer,
  bucket?: number,
): void {
  context.services.exposure.recordAnswer(open.streamId, {
    organisation: context.organisation,
    kind: completion.kind,
    ...version,
    ...(bucket !== undefined && { bucket }),
    ...(predictedQuality !== undefined && { predictedQuality: predictedQuality }),
  })
}

function refuseInterrupted(open: OpenAnswer, error: unknown): Refusal {
  return refuseMayHaveRun(
    'upstream-failed',
    `the upstream ${open.view.id} broke off: ${String(error)}`,
    1_000,
  )
}

function refuseWrongVersions(version: ModelVersion): Refusal {
  return refuseMayHaveRun(
    'upstream-failed',
    `the upstreams answered for other versions than ${formatVersion(version)}; no byte of that was passed on`,
    1_000,
  )
}
