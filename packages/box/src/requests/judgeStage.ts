import { formatVersion, type ModelVersion } from '@yewkeel/decisions'
import { readText } from '../tasks/upstreamTask.js'
import { sendOptionsFor, type CompletionTask } from './completionTask.js'
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

/** A whole answer that has not gone out yet. */
export interface JudgedAnswer {
  /** Mean probability of its tokens. */
  confidence: number
  bucket: number
  version: ModelVersion
  open: OpenAnswer
  answer: WholeAnswer
}

/** Asks a stage for a whole answer and judges it. Undefined when the stage cannot be had. */
export async function judgeStage(
  task: CompletionTask,
  version: ModelVersion,
): Promise<JudgedAnswer | undefined> {
  const { context, bill, completion } = task
  const wholeWithLogprobs = { stream: false, stream_options: undefined, logprobs: true }
  const sent = await sendToUpstream(context, sendOptionsFor(task, version, wholeWithLogprobs))
  if (sent.isErr) return undefined
  const open = sent.value
  const text = await readWhole(open)
  const answer = text && parseAnswer(text)
  if (!answer) return undefined
  if (answer.model !== formatVersion(version)) {
    context.services.upstreams.noteLie(open.view, formatVersion(version))
    return undefined
  }
  bill.addLine(version, open.view.id, readUsage(text) ?? { promptTokens: 0, completionTokens: 0 })
  const confidence = confidenceOf(answer)
  const bucket = context.services.quality.noteAnswer(completion.kind, version.model, confidence)
  return { confidence, bucket, version, open, answer }
}

async function readWhole(open: OpenAnswer): Promise<string | undefined> {
  try {
    const text = await readText(open.answer.body)
    open.release('whole')
    return open.answer.status < 400 ? text : undefined
  } catch {
    open.release('broken')
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

/** Lets a judged answer out, in the form that the caller asked for. */
export async function answerJudged(
  task: CompletionTask,
  { version, open, answer, bucket }: JudgedAnswer,
): Promise<undefined> {
  const { context, bill, completion } = task
  const { responder } = context
  const isStream = completion.body.stream === true
  const safe = bill.close('answered')
  noteServed(task, version, open, bucket)
  await safe
  const contentType = isStream ? 'text/event-stream' : 'application/json'
  responder.start(200, answerHeaders(task, open, version, contentType))
  responder.end(isStream ? asEvents(answer) : JSON.stringify(answer))
  return undefined
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
