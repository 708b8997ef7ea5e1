import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { BlankLines } from './blankLines.js'
import { readingTurns } from './readingTurns.js'

/** A connection that has received so much of later requests is not read on. */
const MAX_UNREAD_BYTES = 16 * 1024
/** What all connections of this process may have received of later requests. */
const MAX_UNREAD_BYTES_OF_ALL = 8 * 1024 * 1024
/** Bytes of a body in chunks that the parser is given at once: it calls back for each chunk. */
const SLICE_BYTES = 2_048
/** Pieces that a connection may hand to the parser in one turn of the event loop. */
const MAX_PIECES_IN_A_TURN = 64
const EMPTY = Buffer.alloc(0)

/** Of all connections of this process. */
const unreadOfAll = { bytes: 0 }

/** A request whose answer has not been sent, or whose body has not arrived. */
interface Exchange {
  message: IncomingMessage
  response: ServerResponse
  isAnswered: boolean
  /** What is left of a body with a length, in bytes. */
  bodyLeft: number | undefined
}

/** What the state of a connection changes for its server. */
export interface ConnectionObserver {
  /** Its request has been read whole. */
  onRequestRead(): void
  /** Its request has been answered. */
  onRest(): void
}

/**
 * Hands the bytes of a connection to the HTTP parser up to the end of one request, and the next one
 * only when that is answered. The parser takes in all that it is given, which may be thousands of
 * requests in one read, each with objects of its own.
 */
export class ConnectionReading {
  readonly #parse: ((bytes: Buffer) => void)[]
  readonly #blankLines = new BlankLines()
  #unread: Buffer = EMPTY
  #exchange: Exchange | undefined
  #isInSlices = false
  #isHeld = false
  #isWaiting = false
  /** The rest of what it sent is discarded, since all connections have sent too much. */
  #isRefused = false

  /** Takes over a connection that an HTTP server has just accepted. */
  constructor(
    private readonly socket: Socket,
    private readonly observer: ConnectionObserver,
  ) {
    this.#parse = socket.listeners('data') as ((bytes: Buffer) => void)[]
    socket.removeAllListeners('data')
    socket.on('data', this.#receive)
    socket.on('resume', this.#handleResume)
    socket.once('close', () => this.#setUnread(EMPTY))
  }

  /** Whether it has received bytes of a later request. */
  get hasUnread(): boolean {
    return this.#unread.length > 0
  }

  /** A request has begun on the connection. */
  begin(message: IncomingMessage, response: ServerResponse): void {
    const { 'content-length': length, 'transfer-encoding': encoding } = message.headers
    const bodyLeft = encoding === undefined ? Number(length ?? 0) : undefined
    const exchange: Exchange = { message, response, isAnswered: false, bodyLeft }
    this.#exchange = exchange
    response.once('close', () => {
      exchange.isAnswered = true
      this.#settle()
    })
  }

  /** Reads the rest of the body that is arriving in slices, each in a turn of its own. */
  readInSlices(): void {
    this.#isInSlices = true
  }

  /** Gives the connection to another protocol, with what has arrived of it. */
  release(): void {
    this.socket.off('data', this.#receive)
    this.socket.off('resume', this.#handleResume)
    const rest = this.#unread
    this.#setUnread(EMPTY)
    if (rest.length > 0) this.socket.unshift(rest)
  }

  readonly #receive = (bytes: Buffer): void => {
    if (this.#isRefused) return
    this.#setUnread(this.#unread.length === 0 ? bytes : Buffer.concat([this.#unread, bytes]))
    this.#advance()
  }

  readonly #handleResume = (): void => {
    // The server also resumes a connection whose next request has to wait.
    if (this.#isHeld) this.socket.pause()
    this.#advance()
  }

  #advance(): void {
    if (this.#isWaiting) return this.#hold()
    for (let pieces = 0; this.#unread.length > 0 && this.#mayParse; pieces++) {
      if (pieces === MAX_PIECES_IN_A_TURN) return this.#wait()
      this.#parsePiece()
      if (this.#isInSlices && this.#unread.length > 0) return this.#wait()
    }
    this.#hold()
  }

  get #mayParse(): boolean {
    if (this.socket.destroyed || !this.socket.writable) return false
    return !this.#exchange || (!this.#exchange.message.complete && !this.#isBodyBehind)
  }

  #parsePiece(): void {
    const length = this.#pieceLength()
    const piece = this.#unread.subarray(0, length)
    this.#setUnread(this.#unread.subarray(length))
    for (const parse of this.#parse) parse.call(this.socket, piece)
    if (this.#exchange?.message.complete) this.#handleWhole(this.#exchange)
  }

  /** Up to the end of the body, if its length is known, or to the next blank line. */
  #pieceLength(): number {
    const { bodyLeft = 0 } = this.#exchange ?? {}
    if (this.#exchange && bodyLeft > 0) {
      const most = this.#isInSlices ? SLICE_BYTES : Infinity
      const length = Math.min(bodyLeft, this.#unread.length, most)
      this.#exchange.bodyLeft = bodyLeft - length
      return length
    }
    return this.#blankLines.findEnd(
      this.#exchange ? this.#unread.subarray(0, SLICE_BYTES) : this.#unread,
    )
  }

  #handleWhole(exchange: Exchange): void {
    this.#isInSlices = false
    this.#blankLines.reset()
    if (exchange.isAnswered) this.#settle()
    else this.observer.onRequestRead()
  }

  #settle(): void {
    const exchange = this.#exchange
    if (!exchange?.isAnswered || !exchange.message.complete) return
    this.#exchange = undefined
    if (this.#isRefused) return void this.socket.destroy()
    this.observer.onRest()
    if (this.#unread.length > 0) this.#wait()
  }

  /** Goes on in a later turn of the event loop, so that others come first. */
  #wait(): void {
    this.#hold()
    if (this.#isWaiting) return
    this.#isWaiting = true
    readingTurns.wait(() => {
      this.#isWaiting = false
      this.#advance()
    })
  }

  /** Stops reading while much is unread, or goes on. */
  #hold(): void {
    if (this.#unread.length > 0 && unreadOfAll.bytes > MAX_UNREAD_BYTES_OF_ALL)
      return this.#refuse()
    if (this.#unread.length < this.#unread.buffer.byteLength / 2)
      this.#unread = copyOf(this.#unread)
    const isHeld = this.#isRefused || this.#unread.length >= MAX_UNREAD_BYTES
    if (isHeld === this.#isHeld) return
    this.#isHeld = isHeld
    if (isHeld) this.socket.pause()
    else if (!this.#isBodyBehind) this.socket.resume()
  }

  /** The body is not read as fast as it arrives; its reader resumes the connection. */
  get #isBodyBehind(): boolean {
    const { message } = this.#exchange ?? {}
    if (!message || message.complete) return false
    return message.readableLength >= message.readableHighWaterMark
  }

  /** Answers the request that is open, and closes the connection then. */
  #refuse(): void {
    this.#isRefused = true
    this.#setUnread(EMPTY)
    this.#isHeld = true
    this.socket.pause()
    const isWhole = this.#exchange?.message.complete
    if (!this.#exchange || !isWhole) return void this.socket.destroy()
    if (!this.#exchange.response.headersSent) this.#exchange.response.shouldKeepAlive = false
  }

  #setUnread(bytes: Buffer): void {
    unreadOfAll.bytes += bytes.length - this.#unread.length
    // Even an empty part of a buffer keeps all of it.
    this.#unread = bytes.length === 0 ? EMPTY : bytes
  }
}

/** A copy that does not keep the larger buffer alive that the bytes came in. */
function copyOf(bytes: Buffer): Buffer {
  const copy = Buffer.allocUnsafeSlow(bytes.length)
  bytes.copy(copy)
  return copy
}
