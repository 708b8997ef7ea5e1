import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/** What each connection of a crowd sends. */
export interface CrowdOptions {
  host: string
  port: number
  connections: number
  /** Sent once, before `repeated`. */
  first?: string
  /** Sent again and again, as fast as it is taken, until the connection has sent `bytes`. */
  repeated?: string
  /** What a connection sends of `repeated` at most. */
  bytes?: number
}

/** Bytes of repeated requests that are handed to a connection at once. */
const BLOCK_BYTES = 65_536
/** Connections that are opened in one turn of the event loop, well below a server's backlog. */
const OPENED_AT_ONCE = 100
const OPEN_INTERVAL_MS = 10

/** Callers that send as much as they can and read nothing. */
export class CallerCrowd {
  readonly #sockets: Socket[] = []
  #closedCount = 0
  readonly #allClosed: Promise<void>
  #onAllClosed: () => void = () => undefined
  readonly #opening: NodeJS.Timeout

  /** Opens the connections, a part of them at a time. */
  constructor(private readonly options: CrowdOptions) {
    this.#allClosed = new Promise(resolve => (this.#onAllClosed = resolve))
    this.#opening = setInterval(() => this.#openPart(), OPEN_INTERVAL_MS)
    this.#openPart()
  }

  /** Resolves after `span` ms, or when all connections were closed. */
  async stay(span: number): Promise<void> {
    const over = new AbortController()
    const stayed = sleep(span, undefined, { signal: over.signal }).catch(() => undefined)
    await Promise.race([stayed, this.#allClosed])
    over.abort()
  }

  /** Closes all connections. */
  leave(): void {
    clearInterval(this.#opening)
    for (const socket of this.#sockets) socket.destroy()
  }

  #openPart(): void {
    const left = this.options.connections - this.#sockets.length
    for (let opened = 0; opened < Math.min(left, OPENED_AT_ONCE); opened++) this.#open()
    if (left <= OPENED_AT_ONCE) clearInterval(this.#opening)
  }

  #open(): void {
    const { host, port, first = '', repeated = '', bytes = 0 } = this.options
    const block = repeated.repeat(Math.ceil(BLOCK_BYTES / Math.max(1, repeated.length)))
    let left = repeated === '' ? 0 : bytes
    const socket = connect(port, host)
    this.#sockets.push(socket)
    socket.pause()
    socket.on('error', () => undefined)
    const send = () => {
      while (left > 0 && !socket.destroyed) {
        left -= block.length
        if (!socket.write(block)) return
      }
    }
    socket.on('drain', send)
    socket.once('connect', () => {
      if (first !== '') socket.write(first)
      send()
    })
    socket.once('close', () => {
      if (++this.#closedCount === this.options.connections) this.#onAllClosed()
    })
  }
}
