import type { ServerResponse } from 'node:http'
import { ByteQueue } from '@yewkeel/box'
import type { KeptAccount } from '../tasks/keptBytes.js'

/**
 * Bytes that are handed to a connection at once. The rest waits here, so that a caller that reads
 * slowly is seen to make progress.
 */
const MAX_IN_FLIGHT_BYTES = 64 * 1024
/**
 * From this much in flight on, less than this is not written: it waits for more. What is written in
 * one turn of the event loop goes out in one packet, so that a caller that keeps up waits for nothing.
 */
const MIN_WRITTEN_BYTES = 4 * 1024
/** A chunk up to this counts only if it has not been taken when the next one comes. */
const MAX_UNCOUNTED_BYTES = 4 * 1024

/** Writes the body of an answer as fast as its caller reads, and counts what is unread. */
export class CallerWriter {
  readonly #queue = new ByteQueue(MIN_WRITTEN_BYTES)
  #inFlight = 0
  #isEnding = false
  #isBehind = false
  #onBacklog: ((isBehind: boolean) => void) | undefined

  constructor(
    private readonly response: ServerResponse,
    private readonly account: KeptAccount,
  ) {
    account.onGrant = () => this.#checkCaughtUp()
  }

  /** Calls back with true when the caller has fallen behind, and with false when it has caught up. */
  onBacklog(callback: (isBehind: boolean) => void): void {
    this.#onBacklog = callback
  }

  write(chunk: Buffer): void {
    if (this.response.destroyed || this.#isEnding) return
    if (this.#isCaughtUp && chunk.length <= MAX_UNCOUNTED_BYTES)
      return void this.response.write(chunk)
    this.#enqueue(chunk)
    this.#pump()
    if (!this.#isBehind && this.account.bytes > this.account.allowance) this.#setBehind(true)
  }

  end(chunk: Buffer | string = EMPTY): void {
    if (this.response.destroyed || this.#isEnding) return
    const bytes = typeof chunk === 'string' ? Buffer.from(chunk) : chunk
    this.#isEnding = true
    this.#setBehind(false)
    if (this.#queue.length === 0 && bytes.length <= MAX_IN_FLIGHT_BYTES) return this.#endWith(bytes)
    this.#enqueue(bytes)
    this.#pump()
  }

  /** The connection is closed. */
  close(): void {
    this.#queue.clear()
    this.account.release()
  }

  /** The connection has taken all that was written before. */
  get #isCaughtUp(): boolean {
    return this.account.bytes === 0 && this.response.writableLength === 0
  }

  /** Ends with the last bytes in one packet. */
  #endWith(bytes: Buffer): void {
    this.account.add('unread', bytes.length)
    this.response.end(bytes, () => this.account.remove('unread', bytes.length))
  }

  #enqueue(bytes: Buffer): void {
    if (bytes.length === 0) return
    this.account.add('unread', bytes.length)
    const mayPass = this.#queue.length === 0 && this.#inFlight < MIN_WRITTEN_BYTES
    // What need not wait is not copied.
    if (mayPass && bytes.length <= MAX_IN_FLIGHT_BYTES) this.#write(bytes)
    else this.#queue.push(bytes)
  }

  #pump(): void {
    while (this.#mayWrite) this.#write(this.#queue.shift(MAX_IN_FLIGHT_BYTES))
    if (this.#isEnding && this.#queue.length === 0) this.response.end()
  }

  /** A caller that is behind gets small chunks together. */
  get #mayWrite(): boolean {
    if (this.#queue.length === 0 || this.#inFlight >= MAX_IN_FLIGHT_BYTES) return false
    const hasMuch = this.#queue.length >= MIN_WRITTEN_BYTES
    return hasMuch || this.#isEnding || this.#inFlight < MIN_WRITTEN_BYTES
  }

  #write(bytes: Buffer): void {
    this.#inFlight += bytes.length
    this.response.write(bytes, error => {
      if (!error) this.#handleTaken(bytes.length)
    })
  }

  #handleTaken(bytes: number): void {
    this.#inFlight -= bytes
    this.account.remove('unread', bytes)
    this.account.recordProgress()
    if (this.response.destroyed || this.response.writableEnded) return
    this.#pump()
    this.#checkCaughtUp()
  }

  #checkCaughtUp(): void {
    if (this.#isBehind && this.account.bytes <= this.#caughtUpAt) this.#setBehind(false)
  }

  /** Close below the allowance: a long pause would make the upstream cut the answer. */
  get #caughtUpAt(): number {
    const { allowance } = this.account
    return Math.max(allowance / 2, allowance - MAX_IN_FLIGHT_BYTES)
  }

  #setBehind(isBehind: boolean): void {
    if (isBehind === this.#isBehind) return
    this.#isBehind = isBehind
    this.account.holdsUpstream = isBehind
    this.#onBacklog?.(isBehind)
  }
}

const EMPTY = Buffer.alloc(0)
