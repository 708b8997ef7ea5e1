import { EventSplitter, lastEventId } from '@yewkeel/box'
import type { CallerAnswer } from '../types/ports.js'

/**
 * Passes the events of a stream on, whole and in order. When the stream goes on at another upstream, events
 * that the caller has already are left out.
 */
export class EventRelay {
  #splitter = new EventSplitter()
  #lastId: number | undefined
  #started = false
  /** The caller was told that it will see the end of the answer. */
  isFramed = true

  constructor(private readonly answer: CallerAnswer) {}

  /** The caller has received some of the answer. */
  get hasStarted(): boolean {
    return this.#started
  }

  get lastId(): string | undefined {
    return this.#lastId === undefined ? undefined : String(this.#lastId)
  }

  /** A new run begins: an event that the last one broke off is forgotten. */
  beginRun(): void {
    this.#splitter = new EventSplitter()
  }

  /** Takes bytes of the stream. `begin` writes the head before the first whole event. False: out of order. */
  push(chunk: Buffer, begin: () => void): boolean {
    const piece = this.#splitter.push(chunk)
    if (!piece) return true
    const from = firstEventId(piece)
    if (from !== undefined && this.#lastId !== undefined && from !== this.#lastId + 1) return false
    this.#lastId = lastEventId(piece) ?? this.#lastId
    if (!this.#started) begin()
    this.#started = true
    this.answer.write(piece)
    return true
  }

  /** Bytes of an event that is not whole. */
  get hasRest(): boolean {
    return this.#splitter.hasRest
  }
}

const ID = /(?:^|\n)id: ?(\d+)/

function firstEventId(piece: Buffer): number | undefined {
  const found = ID.exec(piece.toString('latin1'))?.[1]
  return found === undefined ? undefined : Number(found)
}
