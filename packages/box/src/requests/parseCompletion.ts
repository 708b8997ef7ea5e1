import { refuseNotRun, type Refusal } from '@yewkeel/decisions'
import { Result } from 'true-myth'

interface Message {
  role: string
  content: unknown
}

/** A chat completion as the caller wrote it. Fields that are not named here pass through. */
export interface CompletionBody {
  model: string
  messages: Message[]
  stream?: boolean
  stream_options?: { include_usage?: boolean }
  max_tokens?: number
  max_completion_tokens?: number
  metadata?: Record<string, string>
  [other: string]: unknown
}

/** A completion request, checked. */
export interface Completion {
  body: CompletionBody
  kind: string
  prompt: string
  promptTokens: number
  /** The most that the answer may have. */
  largestAnswer: number
}

const KIND_HEADER = 'yewkeel-kind'
const DEFAULT_KIND = 'other'
const DEFAULT_LARGEST_ANSWER = 4_096
/** Fewer characters to a token than is usual, so that a reservation is rarely too small. */
const CHARACTERS_PER_TOKEN = 3

/** Checks the body of a completion request. */
export function parseCompletion(
  text: string,
  headers: Record<string, string | undefined>,
): Result<Completion, Refusal> {
  let body: CompletionBody
  try {
    body = JSON.parse(text) as CompletionBody
  } catch (error) {
    return refuse(`the body is not JSON: ${(error as Error).message}`)
  }
  const fault = findFault(body)
  if (fault) return refuse(fault)
  const prompt = body.messages.map(message => textOf(message.content)).join('\n')
  return Result.ok({
    body,
    prompt,
    kind: headers[KIND_HEADER] ?? body.metadata?.kind ?? DEFAULT_KIND,
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) + body.messages.length * 4,
    largestAnswer: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_LARGEST_ANSWER,
  })
}

function findFault(body: unknown): string | undefined {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return 'the body must be a JSON object'
  }
  const { model, messages, stream, max_tokens: largest } = body as Partial<CompletionBody>
  if (typeof model !== 'string' || model === '') return 'model: give the name of a model, or "auto"'
  if (!Array.isArray(messages) || messages.length === 0)
    return 'messages: give at least one message'
  const bad = messages.findIndex(
    message => typeof message !== 'object' || message === null || typeof message.role !== 'string',
  )
  if (bad !== -1) return `messages[${bad}]: give an object with a role and a content`
  if (stream !== undefined && typeof stream !== 'boolean') return 'stream: give true or false'
  const isCount = largest === undefined || (Number.isInteger(largest) && largest > 0)
  return isCount ? undefined : 'max_tokens: give a whole number above 0'
}

/** Text of a message's content, which may be a string or a list of parts. */
function textOf(content: unknown): string {
  if (typeof content === 'string') return content
  if (!Array.isArray(content)) return ''
  return content.map(part => (part as { text?: string } | null)?.text ?? '').join('\n')
}

function refuse(message: string): Result<Completion, Refusal> {
  return Result.err(refuseNotRun('bad-request', message))
}
