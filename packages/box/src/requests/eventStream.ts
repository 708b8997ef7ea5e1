/** Reading of a streamed answer with as little parsing as its promises need. */
import type { Usage } from '@yewkeel/decisions'
import type { TakeOutcome, UpstreamAnswer } from '../types/ports.js'

const EVENT_END = Buffer.from('\n\n')
const DONE = Buffer.from('data: [DONE]')
const USAGE = Buffer.from('"usage":{')
const LAST_ID = Buffer.from('\nid: ')

/** Cuts a byte stream into pieces of whole events. A piece may hold many. */
export class EventSplitter {
  #rest: Buffer | undefined

  /** Bytes of an event that is not whole yet. */
  get hasRest(): boolean {
    return this.#rest !== undefined
  }

  /** The whole events that a chunk completes, if it completes any. */
  push(chunk: Uint8Array): Buffer | undefined {
    const bytes = this.#rest ? Buffer.concat([this.#rest, chunk]) : toBuffer(chunk)
    const cut = bytes.lastIndexOf(EVENT_END) + EVENT_END.length
    if (cut < EVENT_END.length) {
      this.#rest = bytes
      return undefined
    }
    this.#rest = cut < bytes.length ? bytes.subarray(cut) : undefined
    return bytes.subarray(0, cut)
  }
}

/** The pieces of a body. Bytes after the last whole event are dropped. */
export async function* wholeEvents(body: AsyncIterable<Uint8Array>): AsyncIterable<Buffer> {
  const splitter = new EventSplitter()
  for await (const chunk of body) {
    const piece = splitter.push(chunk)
    if (piece) yield piece
  }
}

/** Hands on the pieces of an answer's body, the fastest way that its client offers. */
export async function forEachPiece(
  answer: Pick<UpstreamAnswer, 'body' | 'pump'>,
  take: (piece: Buffer) => TakeOutcome,
): Promise<void> {
  if (!answer.pump) return takeEach(answer.body, take)
  const splitter = new EventSplitter()
  return answer.pump(chunk => {
    const piece = splitter.push(chunk)
    return piece && take(piece)
  })
}

async function takeEach(
  body: AsyncIterable<Uint8Array>,
  take: (piece: Buffer) => TakeOutcome,
): Promise<void> {
  for await (const piece of wholeEvents(body)) {
    const outcome = take(piece)
    if (outcome === 'stop') return
    if (outcome) await outcome
  }
}

/** The model that an answer says it comes from, read from its first bytes. */
export function modelOf(bytes: Uint8Array | string): string | undefined {
  const text = typeof bytes === 'string' ? bytes : toBuffer(bytes).toString('latin1', 0, 1_024)
  return /"model"\s*:\s*"([^"]*)"/.exec(text)?.[1]
}

/** The id of the last event in a piece; events without an id give undefined. */
export function lastEventId(piece: Buffer): number | undefined {
  const at = piece.lastIndexOf(LAST_ID)
  const start =
    at === -1 ? (piece.toString('latin1', 0, 4) === 'id: ' ? 4 : -1) : at + LAST_ID.length
  if (start === -1) return undefined
  const id = Number.parseInt(piece.toString('latin1', start, start + 12), 10)
  return Number.isNaN(id) ? undefined : id
}

/** The end of a stream, held back until its bill is safe. */
export interface StreamEnd {
  /** Events before the end that go out at once. */
  before: Buffer
  usage?: Usage
  /** The end itself. */
  end: Buffer
}

/** Finds the end of the stream in a piece. `keepUsage`: whether the caller asked for an event with the usage. */
export function splitEnd(piece: Buffer, keepUsage: boolean): StreamEnd | undefined {
  const at = piece.lastIndexOf(DONE)
  if (at === -1) return undefined
  const usageAt = piece.lastIndexOf(USAGE, at)
  if (usageAt === -1) return { before: piece.subarray(0, at), end: piece.subarray(at) }
  const usage = readUsage(piece.toString('utf8', usageAt, at))
  const eventAt = startOfEvent(piece, usageAt)
  const event = piece.toString('utf8', eventAt, at)
  const isUsageAlone = /"choices"\s*:\s*\[\s*\]/.test(event)
  const before = piece.subarray(0, isUsageAlone && !keepUsage ? eventAt : at)
  return { before, end: piece.subarray(at), ...(usage && { usage }) }
}

/** Token counts in a piece of JSON that has a `usage` object. */
export function readUsage(text: string): Usage | undefined {
  const promptTokens = numberAfter(text, 'prompt_tokens')
  const completionTokens = numberAfter(text, 'completion_tokens')
  if (promptTokens === undefined || completionTokens === undefined) return undefined
  return { promptTokens, completionTokens }
}

/** The usage in a piece that is not the end of its stream. */
export function usageIn(piece: Buffer): Usage | undefined {
  const at = piece.lastIndexOf(USAGE)
  return at === -1 ? undefined : readUsage(piece.toString('utf8', at))
}

function numberAfter(text: string, name: string): number | undefined {
  const found = new RegExp(`"${name}"\\s*:\\s*(\\d+)`).exec(text)?.[1]
  return found === undefined ? undefined : Number(found)
}

function startOfEvent(piece: Buffer, inside: number): number {
  const end = piece.lastIndexOf(EVENT_END, inside)
  return end === -1 ? 0 : end + EVENT_END.length
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
}
