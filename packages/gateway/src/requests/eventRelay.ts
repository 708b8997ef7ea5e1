import { EventSplitter, lastEventId } from '@yewkeel/box'
import type { CallerResponse } from '../types/ports.js'

/**
 * Relays the events of a stream to the caller, whole and in order. A stream that is resumed at
 * another upstream has to continue after the last event sent.
 */
export class EventRelay {
  #splitter = new EventSplitter()
  #lastId: number | undefined
  #started = false
  /** The response to the caller is framed, so that the caller detects a truncated one. */
  isFramed = true

  constructor(private readonly answer: CallerResponse) {}

  /** Part of the answer has been sent to the caller. */
  get hasStarted(): boolean {
    return this.#started
  }

  get lastId(): string | undefined {
    return this.#lastId === undefined ? undefined : String(this.#lastId)
  }

  /** Discards the partial event of the previous attempt. */
  beginAttempt(): void {
    this.#splitter = new EventSplitter()
  }

  /**
   * Relays the events that the chunk completes; `writeHead` precedes the first. False: out of
   * order.
   */
  push(chunk: Buffer, writeHead: () => void): boolean {
    const events = this.#splitter.push(chunk)
    if (!events) return true
    const firstId = firstEventId(events)
    if (firstId !== undefined && this.#lastId !== undefined && firstId !== this.#lastId + 1)
      return false
    this.#lastId = lastEventId(events) ?? this.#lastId
    if (!this.#started) writeHead()
    this.#started = true
    this.answer.write(events)
    return true
  }

  /** The stream so far ends within an event. */
  get hasPartialEvent(): boolean {
    return this.#splitter.hasPartialEvent
  }
}

const EVENT_ID = /(?:^|\n)id: ?(\d+)/

function firstEventId(events: Buffer): number | undefined {
  const found = EVENT_ID.exec(events.toString('latin1'))?.[1]
  return found === undefined ? undefined : Number(found)
}
