/** Reads server-sent event streams as bytes, without parsing the events that pass through. */
import type { Usage } from '@yewkeel/decisions'
import type { ChunkOutcome, UpstreamAnswer } from '../types/ports.js'
import { ByteQueue } from './byteQueue.js'

const LINE_END = '\n'.charCodeAt(0)
/** Ends each event. */
export const EVENT_END = Buffer.from('\n\n')
const DONE = Buffer.from('data: [DONE]')
const USAGE = Buffer.from('"usage":{')
/** A blank may follow it, which belongs to no value. */
const ID_FIELD = 'id:'
const ID_LINE = Buffer.from(`\n${ID_FIELD}`)
/** Characters of an id that are read. */
const MAX_ID_LENGTH = 12

/** Splits a byte stream into pieces of one or more complete events. */
export class EventSplitter {
  readonly #partial = new ByteQueue()

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.#partial.length > 0
  }

  /** Buffered bytes of an incomplete event. */
  get partialBytes(): number {
    return this.#partial.length
  }

  /** Returns the events that the chunk completes, or undefined if it completes none. */
  push(chunk: Uint8Array): Buffer | undefined {
    const bytes = toBuffer(chunk)
    const cut = this.#endOfEvents(bytes)
    const events = cut === 0 ? undefined : this.#complete(bytes.subarray(0, cut))
    if (cut < bytes.length) this.#partial.push(bytes.subarray(cut))
    return events
  }

  /** Index after the last complete event; 0 if the bytes complete none. */
  #endOfEvents(bytes: Buffer): number {
    const at = bytes.lastIndexOf(EVENT_END)
    if (at !== -1) return at + EVENT_END.length
    return bytes[0] === LINE_END && this.#partial.lastByte === LINE_END ? 1 : 0
  }

  #complete(end: Buffer): Buffer {
    if (!this.hasPartialEvent) return end
    this.#partial.push(end)
    return this.#partial.takeAll()
  }
}

/** Yields the complete events of a body in pieces. Drops bytes after the last complete event. */
export async function* wholeEvents(body: AsyncIterable<Uint8Array>): AsyncIterable<Buffer> {
  const splitter = new EventSplitter()
  for await (const chunk of body) {
    const piece = splitter.push(chunk)
    if (piece) yield piece
  }
}

/** Calls `take` for each piece of an answer's body; uses `forEachChunk` if the client has it. */
export async function forEachPiece(
  answer: Pick<UpstreamAnswer, 'body' | 'forEachChunk'>,
  take: (piece: Buffer) => ChunkOutcome,
): Promise<void> {
  if (!answer.forEachChunk) return takeEach(answer.body, take)
  const splitter = new EventSplitter()
  return answer.forEachChunk(chunk => {
    const piece = splitter.push(chunk)
    return piece && take(piece)
  })
}

async function takeEach(
  body: AsyncIterable<Uint8Array>,
  take: (piece: Buffer) => ChunkOutcome,
): Promise<void> {
  for await (const piece of wholeEvents(body)) {
    const outcome = take(piece)
    if (outcome === 'stop') return
    if (outcome) await outcome
  }
}

/** The `model` field of an answer. Of bytes, only the first 1,024 are searched. */
export function modelOf(bytes: Uint8Array | string): string | undefined {
  const text = typeof bytes === 'string' ? bytes : toBuffer(bytes).toString('latin1', 0, 1_024)
  return /"model"\s*:\s*"([^"]*)"/.exec(text)?.[1]
}

/** The id of the last event in a piece that has one, or undefined if none has. */
export function lastEventId(piece: Buffer): number | undefined {
  const at = piece.lastIndexOf(ID_LINE)
  const isFirst = at === -1 && piece.toString('latin1', 0, ID_FIELD.length) === ID_FIELD
  if (at === -1 && !isFirst) return undefined
  const start = isFirst ? ID_FIELD.length : at + ID_LINE.length
  const id = Number.parseInt(piece.toString('latin1', start, start + MAX_ID_LENGTH), 10)
  return Number.isNaN(id) ? undefined : id
}

/** The end of a stream, which is held back until the closed bill is durable. */
export interface StreamEnd {
  /** Events before the end, which may be sent at once. */
  before: Buffer
  usage?: Usage
  /** The `[DONE]` event and anything after it. */
  end: Buffer
}

/**
 * Splits a piece at the end of its stream, or returns undefined if the stream does not end in it.
 * `keepUsage`: whether the caller asked for the usage event, which is removed otherwise.
 */
export function splitEnd(piece: Buffer, keepUsage: boolean): StreamEnd | undefined {
  const at = piece.lastIndexOf(DONE)
  if (at === -1) return undefined
  const usageAt = piece.lastIndexOf(USAGE, at)
  if (usageAt === -1) return { before: piece.subarray(0, at), end: piece.subarray(at) }
  const usage = readUsage(piece.toString('utf8', usageAt, at))
  const eventAt = startOfEvent(piece, usageAt)
  const event = piece.toString('utf8', eventAt, at)
  const isUsageEvent = /"choices"\s*:\s*\[\s*\]/.test(event)
  const before = piece.subarray(0, isUsageEvent && !keepUsage ? eventAt : at)
  return { before, end: piece.subarray(at), ...(usage && { usage }) }
}

/** Reads the token counts of the `usage` object in JSON text. */
export function readUsage(text: string): Usage | undefined {
  const promptTokens = numberAfter(text, 'prompt_tokens')
  const completionTokens = numberAfter(text, 'completion_tokens')
  if (promptTokens === undefined || completionTokens === undefined) return undefined
  return { promptTokens, completionTokens }
}

/** Reads the token counts in a piece that does not end its stream. */
export function usageIn(piece: Buffer): Usage | undefined {
  const at = piece.lastIndexOf(USAGE)
  return at === -1 ? undefined : readUsage(piece.toString('utf8', at))
}

function numberAfter(text: string, name: string): number | undefined {
  const found = new RegExp(`"${name}"\\s*:\\s*(\\d+)`).exec(text)?.[1]
  return found === undefined ? undefined : Number(found)
}

function startOfEvent(piece: Buffer, index: number): number {
  const end = piece.lastIndexOf(EVENT_END, index)
  return end === -1 ? 0 : end + EVENT_END.length
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
}
