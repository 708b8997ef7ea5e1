import { formatVersion, type ModelVersion, type Refusal } from '@yewkeel/decisions'
import { Result } from 'true-myth'
import { readText } from '../tasks/upstreamTask.js'
import { sendOptionsFor, type CompletionTask } from './answerCompletion.js'
import { readUsage } from './eventStream.js'
import { answerHeaders, noteServed } from './relayCompletion.js'
import { sendToUpstream, type OpenAnswer } from './sendToUpstream.js'

interface WholeAnswer {
  id: string
  model: string
  choices: {
    message: { role: string; content: string }
    logprobs?: { content: { logprob: number }[] } | null
  }[]
  usage?: unknown
}

/** Asks a stage for a whole answer and lets it out only if it is trusted; else the next stage is asked. */
export async function judgeStage(
  task: CompletionTask,
  version: ModelVersion,
  accepts: (confidence: number) => boolean,
): Promise<Result<'answered' | 'next-stage', Refusal>> {
  const { context, bill, completion } = task
  const wholeWithLogprobs = { stream: false, stream_options: undefined, logprobs: true }
  const sent = await sendToUpstream(context, sendOptionsFor(task, version, wholeWithLogprobs))
  // A stage that cannot be had is passed over: the next one may answer.
  if (sent.isErr) return Result.ok('next-stage')
  const open = sent.value
  const text = await readWhole(open)
  const answer = text && parseAnswer(text)
  if (!answer || answer.model !== formatVersion(version)) return Result.ok('next-stage')
  bill.addLine(version, open.view.id, readUsage(text) ?? { promptTokens: 0, completionTokens: 0 })
  const confidence = confidenceOf(answer)
  const bucket = context.services.quality.noteAnswer(completion.kind, version.model, confidence)
  if (!accepts(confidence)) return Result.ok('next-stage')
  await answerWhole(task, version, open, answer, bucket)
  return Result.ok('answered')
}

async function readWhole(open: OpenAnswer): Promise<string | undefined> {
  try {
    const text = await readText(open.answer.body)
    open.release('well')
    return open.answer.status < 400 ? text : undefined
  } catch {
    open.release('badly')
    return undefined
  }
}

function parseAnswer(text: string): WholeAnswer | undefined {
  try {
    const answer = JSON.parse(text) as WholeAnswer
    return typeof answer.choices?.[0]?.message?.content === 'string' ? answer : undefined
  } catch {
    return undefined
  }
}

/** Mean probability of the answer's tokens, 0 when the engine gives none. */
function confidenceOf(answer: WholeAnswer): number {
  const tokens = answer.choices[0]?.logprobs?.content ?? []
  if (tokens.length === 0) return 0
  return tokens.reduce((sum, token) => sum + Math.exp(token.logprob), 0) / tokens.length
}

async function answerWhole(
  task: CompletionTask,
  version: ModelVersion,
  open: OpenAnswer,
  answer: WholeAnswer,
  bucket: number,
): Promise<void> {
  const { context, bill, completion } = task
  const { responder } = context
  const isStream = completion.body.stream === true
  const safe = bill.close('answered')
  noteServed(task, version, open, bucket)
  await safe
  const contentType = isStream ? 'text/event-stream' : 'application/json'
  responder.start(200, answerHeaders(task, open, version, contentType))
  if (isStream) responder.end(asEvents(answer))
  else responder.end(JSON.stringify(answer))
}

/** A whole answer as the events of a stream. */
function asEvents(answer: WholeAnswer): string {
  const { id, model, usage } = answer
  const message = answer.choices[0]!.message
  const chunk = (choice: object, more: object = {}) =>
    JSON.stringify({
      id,
      object: 'chat.completion.chunk',
      model,
      choices: [{ index: 0, ...choice }],
      ...more,
    })
  return [
    `id: 1\ndata: ${chunk({ delta: message })}\n\n`,
    `id: 2\ndata: ${chunk({ delta: {}, finish_reason: 'stop' }, { usage })}\n\n`,
    'data: [DONE]\n\n',
  ].join('')
}
