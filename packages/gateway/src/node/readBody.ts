import type { IncomingMessage } from 'node:http'
import { ByteQueue } from '@yewkeel/box'
import type { Clock, Milliseconds } from '@yewkeel/decisions'
import type { KeptAccount } from '../tasks/keptBytes.js'

/** `given-up`: there is no memory or time for the body, or no use; it is discarded as it arrives. */
export type BodyFault = 'broken' | 'given-up' | 'too-large'

/** A body waits this long for memory: a caller can sooner be served by another box. */
const MAX_ROOM_WAIT: Milliseconds = 500
const ROOM_POLL_INTERVAL: Milliseconds = 20

/** A body is read in slices if so many pieces of it hold less than so many bytes. */
const SAMPLED_PIECES = 64
const SMALL_SAMPLE_BYTES = 32 * 1024

const EMPTY_BODY = Buffer.alloc(0)

export interface BodyReaderOptions {
  message: IncomingMessage
  /** Maximum size in bytes. */
  limit: number
  account: KeptAccount
  clock: Clock
  /** Has the rest of the body handed over in slices, each in a turn of its own. */
  readInSlices(): void
  /** Until when the body is worth reading. Asked only once it is known to come in small pieces. */
  readUntil(): Milliseconds
}

/** Reads the body of a caller's request, only as far as memory allows. */
export class BodyReader {
  readonly #bytes = new ByteQueue()
  #isDone = false
  #isWaiting = false
  #sampledPieces = 0
  #sampledBytes = 0
  #isInSlices = false
  #readUntil: Milliseconds = Infinity
  #resolve: (result: Buffer | BodyFault) => void = () => undefined

  constructor(private readonly options: BodyReaderOptions) {}

  read(): Promise<Buffer | BodyFault> {
    const { message, limit, account } = this.options
    const { headers } = message
    if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined)
      return Promise.resolve(EMPTY_BODY)
    const length = Number(headers['content-length'] ?? 0)
    if (length > limit) return Promise.resolve('too-large')
    if (!account.fitsBody(length)) return Promise.resolve('given-up')
    return new Promise(resolve => {
      this.#resolve = resolve
      message.on('data', (chunk: Buffer) => this.#handleChunk(chunk))
      message.once('end', () => this.#settle(this.#bytes.takeAll()))
      message.once('close', () => this.#settle('broken'))
      message.once('error', () => this.#settle('broken'))
    })
  }

  /** Gives the body up and discards the rest. */
  stop(): void {
    this.#settle('given-up')
    this.options.message.resume()
  }

  #handleChunk(chunk: Buffer): void {
    if (this.#isDone) return
    const { account, limit } = this.options
    if (this.#bytes.length + chunk.length > limit) return this.#settle('too-large')
    this.#bytes.push(chunk)
    account.add('arriving', chunk.length)
    account.recordProgress()
    this.#samplePiece(chunk)
    if (account.mustGiveUp) this.stop()
    else if (!account.mayReadOn) this.#waitForRoom()
  }

  /** Reads in slices once the pieces are small, and only as long as that is of use. */
  #samplePiece(piece: Buffer): void {
    this.#sampledBytes += piece.length
    if (++this.#sampledPieces < SAMPLED_PIECES) return
    if (this.#sampledBytes < SMALL_SAMPLE_BYTES && !this.#isInSlices) this.#readInSlices()
    this.#sampledPieces = 0
    this.#sampledBytes = 0
    if (this.options.clock.now() >= this.#readUntil) this.stop()
  }

  #readInSlices(): void {
    this.#isInSlices = true
    this.options.readInSlices()
    this.#readUntil = this.options.readUntil()
  }

  #waitForRoom(): void {
    if (this.#isWaiting) return
    this.#isWaiting = true
    const { account, clock } = this.options
    const deadline = clock.now() + MAX_ROOM_WAIT
    this.options.message.pause()
    const poll = () => {
      if (this.#isDone) return
      if (account.mayReadOn) this.#goOn()
      else if (clock.now() >= deadline) this.stop()
      else clock.after(ROOM_POLL_INTERVAL, poll)
    }
    clock.after(ROOM_POLL_INTERVAL, poll)
  }

  #goOn(): void {
    this.#isWaiting = false
    this.options.message.resume()
  }

  #settle(result: Buffer | BodyFault): void {
    if (this.#isDone) return
    this.#isDone = true
    this.#bytes.clear()
    this.options.account.remove('arriving')
    this.#resolve(result)
  }
}
