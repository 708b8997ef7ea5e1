import { formatVersion, type ModelVersion } from '@yewkeel/decisions'
import { readText } from '../tasks/upstreamTask.js'
import { sendOptionsFor, type CompletionTask } from './completionTask.js'
import { readUsage } from './eventStream.js'
import { answerHeaders, recordServed } from './relayCompletion.js'
import { sendToUpstream, type OpenAnswer } from './sendToUpstream.js'

interface CompletionResponse {
  id: string
  model: string
  choices: {
    message: { role: string; content: string }
    logprobs?: { content: { logprob: number }[] } | null
  }[]
  usage?: unknown
}

/** A complete answer that has not been sent to the caller. */
export interface ScoredAnswer {
  /** Mean probability of the answer's tokens, from 0 to 1. */
  confidence: number
  /** Confidence bucket of the quality estimates. */
  bucket: number
  version: ModelVersion
  open: OpenAnswer
  answer: CompletionResponse
}

/** Gets a complete answer from a stage and scores it. Returns undefined if the stage fails. */
export async function scoreStage(
  task: CompletionTask,
  version: ModelVersion,
): Promise<ScoredAnswer | undefined> {
  const { context, bill, completion } = task
  const bufferedWithLogprobs = { stream: false, stream_options: undefined, logprobs: true }
  const sent = await sendToUpstream(context, sendOptionsFor(task, version, bufferedWithLogprobs))
  if (sent.isErr) return undefined
  const open = sent.value
  const text = await readComplete(open)
  const answer = text && parseAnswer(text)
  if (!answer) return undefined
  if (answer.model !== formatVersion(version)) {
    context.services.upstreams.recordVersionMismatch(open.view, formatVersion(version))
    return undefined
  }
  bill.addLine(version, open.view.id, readUsage(text) ?? { promptTokens: 0, completionTokens: 0 })
  const confidence = confidenceOf(answer)
  const bucket = context.services.quality.recordAnswer(completion.kind, version.model, confidence)
  return { confidence, bucket, version, open, answer }
}

async function readComplete(open: OpenAnswer): Promise<string | undefined> {
  try {
    const text = await readText(open.answer.body)
    open.release('whole')
    return open.answer.status < 400 ? text : undefined
  } catch {
    open.release('broken')
    return undefined
  }
}

function parseAnswer(text: string): CompletionResponse | undefined {
  try {
    const answer = JSON.parse(text) as CompletionResponse
    return typeof answer.choices?.[0]?.message?.content === 'string' ? answer : undefined
  } catch {
    return undefined
  }
}

/** Mean probability of the answer's tokens, or 0 if the engine returned no log probabilities. */
function confidenceOf(answer: CompletionResponse): number {
  const tokens = answer.choices[0]?.logprobs?.content ?? []
  if (tokens.length === 0) return 0
  return tokens.reduce((sum, token) => sum + Math.exp(token.logprob), 0) / tokens.length
}

/** Sends a scored answer to the caller, buffered or as a stream as requested. */
export async function answerScored(
  task: CompletionTask,
  { version, open, answer, bucket }: ScoredAnswer,
): Promise<undefined> {
  const { context, bill, completion } = task
  const { responder } = context
  const isStream = completion.body.stream === true
  const durable = bill.close('answered')
  recordServed(task, version, open, bucket)
  await durable
  const contentType = isStream ? 'text/event-stream' : 'application/json'
  responder.start(200, answerHeaders(task, open, version, contentType))
  responder.end(isStream ? toEvents(answer) : JSON.stringify(answer))
  return undefined
}

/** Converts a complete answer to the events of a stream. */
function toEvents(answer: CompletionResponse): string {
  const { id, model, usage } = answer
  const message = answer.choices[0]!.message
  const chunk = (choice: object, extra: object = {}) =>
    JSON.stringify({
      id,
      object: 'chat.completion.chunk',
      model,
      choices: [{ index: 0, ...choice }],
      ...extra,
    })
  return [
    `id: 1\ndata: ${chunk({ delta: message })}\n\n`,
    `id: 2\ndata: ${chunk({ delta: {}, finish_reason: 'stop' }, { usage })}\n\n`,
    'data: [DONE]\n\n',
  ].join('')
}
