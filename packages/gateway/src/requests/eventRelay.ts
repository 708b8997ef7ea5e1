import { EVENT_END, EventSplitter, lastEventId } from '@yewkeel/box'
import type { KeptAccount } from '../tasks/keptBytes.js'
import type { CallerResponse } from '../types/ports.js'

/** What became of a chunk: its events were in order, or the stream can't be relayed any further. */
export type RelayOutcome = 'in-order' | 'out-of-order' | 'too-large'

/**
 * Relays the events of a stream to the caller, whole and in order. A stream that is resumed at
 * another upstream has to continue after the last event sent, or to repeat that one first if it was
 * asked to.
 */
export class EventRelay {
  #splitter = new EventSplitter()
  /** Counted bytes of an incomplete event. */
  #keptBytes = 0
  /** Id of the first event of the stream; undefined if the caller had that before. */
  #firstId: number | undefined
  #lastId: number | undefined
  #started = false
  /** The last event is still to be repeated by the current attempt. */
  #awaitsRepeat = false
  /** The current attempt has repeated the last event, as it was asked to. */
  hasRepeated = false
  /** The current attempt has brought events that the caller did not have. */
  hasNewEvents = false
  /** The response to the caller is framed, so that the caller detects a truncated one. */
  isFramed = true

  /** `callersLastId`: the last event that the caller has of an earlier answer. */
  constructor(
    private readonly answer: CallerResponse,
    private readonly account: KeptAccount,
    private readonly callersLastId?: string,
  ) {
    if (callersLastId !== undefined && EVENT_NUMBER.test(callersLastId))
      this.#lastId = Number(callersLastId)
  }

  /** Part of the answer has been sent to the caller. */
  get hasStarted(): boolean {
    return this.#started
  }

  /** The last event that the caller has; undefined if it has none. */
  get lastId(): string | undefined {
    return this.#lastId === undefined ? undefined : String(this.#lastId)
  }

  /** Whether an attempt can be asked for the last event again. */
  get canRepeat(): boolean {
    return this.#lastId !== undefined && (this.#lastId > 0 || this.#lastId === this.#firstId)
  }

  /**
   * The event after which an attempt is asked to go on; undefined for the beginning of the stream.
   * `repeatsLast`: the last event that the caller has is asked for again.
   */
  startOf(repeatsLast: boolean): string | undefined {
    if (!repeatsLast) return this.lastId
    return this.#lastId === this.#firstId ? undefined : String(this.#lastId! - 1)
  }

  /** Discards the partial event of the previous attempt. */
  beginAttempt(repeatsLast = false): void {
    this.#splitter = new EventSplitter()
    this.#keepPartialEvent()
    this.#awaitsRepeat = repeatsLast
    this.hasRepeated = false
    this.hasNewEvents = false
  }

  /** Relays the events that the chunk completes; `writeHead` precedes the first. */
  push(chunk: Buffer, writeHead: () => void): RelayOutcome {
    const completed = this.#splitter.push(chunk)
    this.#keepPartialEvent()
    if (!completed) return this.#keptBytes > this.account.allowance ? 'too-large' : 'in-order'
    const events = this.#awaitsRepeat ? this.#withoutRepeated(completed) : completed
    if (events.length === 0) return 'in-order'
    const firstId = idOf(firstEventIn(events))
    if (firstId !== undefined && this.#lastId !== undefined && firstId !== this.#lastId + 1)
      return 'out-of-order'
    if (this.callersLastId === undefined) this.#firstId ??= firstId
    this.#lastId = lastEventId(events) ?? this.#lastId
    this.hasNewEvents = true
    if (!this.#started) writeHead()
    this.#started = true
    this.answer.write(events)
    return 'in-order'
  }

  /** The events after the one that the caller has; what has no id before that belongs to it. */
  #withoutRepeated(events: Buffer): Buffer {
    const first = firstEventIn(events)
    if (!first) return NO_EVENTS
    this.#awaitsRepeat = false
    this.hasRepeated = idOf(first) === this.#lastId
    if (!this.hasRepeated) return events
    return events.subarray(events.indexOf(EVENT_END, first.index) + EVENT_END.length)
  }

  /** Counts the bytes of an event that is not whole yet. */
  #keepPartialEvent(): void {
    const { partialBytes } = this.#splitter
    if (partialBytes === this.#keptBytes) return
    this.account.remove('gathered', this.#keptBytes)
    this.account.add('gathered', partialBytes)
    this.#keptBytes = partialBytes
  }

  /** The stream so far ends within an event. */
  get hasPartialEvent(): boolean {
    return this.#splitter.hasPartialEvent
  }
}

const NO_EVENTS = Buffer.alloc(0)
/** An id that the events before and after can be told from. */
const EVENT_NUMBER = /^\d{1,15}$/
/** The line feed before it, if any, is not part of the match. */
const EVENT_ID = /(?<=^|\n)id: ?(\d+)/

/** The id line of the first event that has one. */
function firstEventIn(events: Buffer): RegExpExecArray | null {
  return EVENT_ID.exec(events.toString('latin1'))
}

function idOf(found: RegExpExecArray | null): number | undefined {
  return found?.[1] === undefined ? undefined : Number(found[1])
}
