import { refuseNotRun, type Refusal } from '@yewkeel/decisions'
import { Result } from 'true-myth'

interface Message {
  role: string
  content: unknown
}

/** The body of a chat completion request. Fields not listed here are passed through unchanged. */
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

/** A validated completion request. */
export interface Completion {
  body: CompletionBody
  kind: string
  prompt: string
  /** Estimated from the length of the prompt. */
  promptTokens: number
  /** Upper bound of the answer, in tokens. */
  maxAnswerTokens: number
}

const KIND_HEADER = 'yewkeel-kind'
const DEFAULT_KIND = 'other'
const DEFAULT_MAX_ANSWER_TOKENS = 4_096
/** Below the typical ratio, so that estimates and spend reservations are rarely too low. */
const CHARACTERS_PER_TOKEN = 3

/** Parses and validates the body of a completion request. */
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
  const problem = validateBody(body)
  if (problem) return refuse(problem)
  const prompt = body.messages.map(message => textOf(message.content)).join('\n')
  return Result.ok({
    body,
    prompt,
    kind: headers[KIND_HEADER] ?? body.metadata?.kind ?? DEFAULT_KIND,
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) + body.messages.length * 4,
    maxAnswerTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_ANSWER_TOKENS,
  })
}

/** Returns what is wrong with the body, or undefined if it is valid. */
function validateBody(body: unknown): string | undefined {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return 'the body must be a JSON object'
  }
  const { model, messages, stream } = body as Partial<CompletionBody>
  if (typeof model !== 'string' || model === '') return 'model: give the name of a model, or "auto"'
  if (!Array.isArray(messages) || messages.length === 0)
    return 'messages: give at least one message'
  const invalidIndex = messages.findIndex(
    message => typeof message !== 'object' || message === null || typeof message.role !== 'string',
  )
  if (invalidIndex !== -1)
    return `messages[${invalidIndex}]: give an object with a role and a content`
  if (stream !== undefined && typeof stream !== 'boolean') return 'stream: give true or false'
  const invalidLimit = LIMIT_FIELDS.find(
    field => !isLimit((body as Partial<CompletionBody>)[field]),
  )
  return invalidLimit && `${invalidLimit}: give a whole number above 0`
}

/** Fields that limit the tokens of the answer. */
const LIMIT_FIELDS = ['max_tokens', 'max_completion_tokens'] as const

/** A missing limit is valid, and so is null, which the interface allows for it. */
function isLimit(value: unknown): boolean {
  return value === undefined || value === null || (Number.isInteger(value) && Number(value) > 0)
}

/** Text of a message's content, which is a string or a list of parts. */
function textOf(content: unknown): string {
  if (typeof content === 'string') return content
  if (!Array.isArray(content)) return ''
  return content.map(part => (part as { text?: string } | null)?.text ?? '').join('\n')
}

function refuse(message: string): Result<Completion, Refusal> {
  return Result.err(refuseNotRun('bad-request', message))
}
