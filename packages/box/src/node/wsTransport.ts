import { timingSafeEqual } from 'node:crypto'
import { createServer } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import type { Clock, Milliseconds } from '@yewkeel/decisions'
import { Packr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import { hashKey } from '../requests/callerKeys.js'
import { voterOf, type PeerIdentity, type PeerMessage } from '../types/peerMessage.js'
import type { Log, PeerAddress, PeerListener, PeerTransport } from '../types/ports.js'
import { splitAddress } from './httpServer.js'

export interface WsTransportOptions {
  self: PeerIdentity
  /** `host:port`. */
  listen: string
  /** Shared by all boxes. */
  secret: string
  tls?: { cert: string; key: string; ca: string }
  clock: Clock
  log: Log
  /** A link with more than this waiting is broken off. Bytes. */
  largestBacklog?: number
  /** Frames from this size on are compressed. Bytes; none are where it is left out. */
  compressFrom?: number
}

const LARGEST_MESSAGE = 64 * 1024 * 1024
const REDIAL_AFTER: Milliseconds = 500
const SECRET_HEADER = 'yewkeel-peer'
const IDENTITY_HEADER = 'yewkeel-identity'
/** A link with more than this waiting is broken off: the peer reads no more. */
const LARGEST_BACKLOG = 16 * 1024 * 1024

interface Link<Message> {
  socket: WebSocket
  peer?: PeerIdentity
  /** Messages of this turn of the event loop; they go out in one frame. */
  waiting: Message[]
}

/**
 * Links between boxes over WebSockets, one for each direction. A box sends on the links that it dialled and
 * hears on those that it accepted.
 */
export class WsTransport<
  Message extends { type: string } = PeerMessage,
> implements PeerTransport<Message> {
  readonly #packer = new Packr({ structuredClone: false })
  #packed: { message: Message; bytes: Buffer } | undefined
  readonly #links = new Map<string, Link<Message>>()
  readonly #byVoter = new Map<string, Link<Message>>()
  #wanted = new Map<string, PeerAddress>()
  #listener: PeerListener<Message> | undefined
  #server: ReturnType<typeof createServer> | undefined
  #sockets: WebSocketServer | undefined
  #isClosed = false

  constructor(private readonly options: WsTransportOptions) {}

  /** Starts to accept links. Gives the address as bound. */
  async open(): Promise<string> {
    const { tls, listen } = this.options
    const server = tls
      ? createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true })
      : createServer()
    this.#server = server as ReturnType<typeof createServer>
    this.#sockets = new WebSocketServer({
      noServer: true,
      maxPayload: LARGEST_MESSAGE,
      perMessageDeflate: this.#compression(),
    })
    server.on('upgrade', (request, socket, head) => {
      if (!this.#isPeer(request.headers[SECRET_HEADER])) {
        this.options.log.warn(
          { from: request.socket.remoteAddress },
          "a link without the peers' secret was refused",
        )
        socket.end('HTTP/1.1 401 Unauthorized\r\n\r\n')
        return
      }
      const identity = parseIdentity(request.headers[IDENTITY_HEADER])
      if (!identity) {
        socket.end('HTTP/1.1 400 Bad Request\r\n\r\n')
        return
      }
      this.#sockets!.handleUpgrade(request, socket, head, link => this.#accept(link, identity))
    })
    const { host, port } = splitAddress(listen)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    return `${host}:${(server.address() as AddressInfo).port}`
  }

  listen(listener: PeerListener<Message>): void {
    this.#listener = listener
  }

  link(peers: readonly PeerAddress[]): void {
    this.#wanted = new Map(peers.map(peer => [peer.address, peer]))
    for (const [address, link] of this.#links) {
      if (!this.#wanted.has(address)) link.socket.close()
    }
    for (const address of this.#wanted.keys()) {
      if (!this.#links.has(address)) this.#dial(address)
    }
  }

  send(to: string, message: Message): boolean {
    const link = this.#byVoter.get(to)
    if (!link || link.socket.readyState !== WebSocket.OPEN) return false
    if (link.socket.bufferedAmount > (this.options.largestBacklog ?? LARGEST_BACKLOG)) {
      link.socket.terminate()
      return false
    }
    // Under load many messages fall into one turn, and a frame costs more than what is in it.
    if (link.waiting.push(message) === 1) setImmediate(() => this.#flush(link))
    return true
  }

  #flush(link: Link<Message>): void {
    const messages = link.waiting
    link.waiting = []
    if (link.socket.readyState === WebSocket.OPEN) link.socket.send(this.#pack(messages))
  }

  /** A message that goes to many boxes is packed once for all that are flushed in this turn. */
  #pack(messages: Message[]): Buffer {
    if (messages.length !== 1) return this.#packer.pack(messages)
    const [message] = messages
    if (this.#packed?.message !== message) {
      this.#packed = { message: message!, bytes: this.#packer.pack(messages) }
      setImmediate(() => (this.#packed = undefined))
    }
    return this.#packed!.bytes
  }

  async close(): Promise<void> {
    this.#isClosed = true
    for (const link of this.#links.values()) {
      this.#flush(link)
      link.socket.close()
    }
    for (const socket of this.#sockets?.clients ?? []) socket.terminate()
    await new Promise(resolve => (this.#server ? this.#server.close(resolve) : resolve(undefined)))
  }

  #dial(address: string): void {
    const { self, secret, tls, clock } = this.options
    const socket = new WebSocket(`${tls ? 'wss' : 'ws'}://${address}`, {
      ...(tls && {
        cert: tls.cert,
        key: tls.key,
        ca: tls.ca,
        checkServerIdentity: () => undefined,
      }),
      headers: { [SECRET_HEADER]: secret, [IDENTITY_HEADER]: JSON.stringify(self) },
      maxPayload: LARGEST_MESSAGE,
      perMessageDeflate: this.#compression(),
    })
    const link: Link<Message> = { socket, waiting: [] }
    this.#links.set(address, link)
    // The accepting side says who it is in its first message.
    socket.on('message', (bytes: Buffer) => this.#identify(link, bytes))
    socket.on('error', error =>
      this.options.log.info({ address, error: error.message }, 'a link failed'),
    )
    socket.on('close', () => {
      if (this.#links.get(address) === link) this.#links.delete(address)
      if (link.peer) this.#forget(link)
      clock.after(REDIAL_AFTER, () => {
        if (!this.#isClosed && this.#wanted.has(address) && !this.#links.has(address))
          this.#dial(address)
      })
    })
  }

  /** Each frame is compressed by itself, so that a link keeps no window in memory. */
  #compression() {
    const { compressFrom } = this.options
    if (compressFrom === undefined) return false
    return {
      threshold: compressFrom,
      serverNoContextTakeover: true,
      clientNoContextTakeover: true,
    }
  }

  #identify(link: Link<Message>, bytes: Buffer): void {
    const identity = parseIdentity(bytes.toString())
    if (!identity || link.peer) return
    link.peer = identity
    this.#byVoter.set(voterOf(identity), link)
    this.#listener?.onConnected(identity)
  }

  #forget(link: Link<Message>): void {
    const voter = voterOf(link.peer!)
    if (this.#byVoter.get(voter) === link) this.#byVoter.delete(voter)
  }

  #accept(socket: WebSocket, peer: PeerIdentity): void {
    socket.send(JSON.stringify(this.options.self))
    socket.on('error', () => socket.terminate())
    socket.on('message', (bytes: Buffer) => {
      const messages = this.#unpack(bytes)
      if (!messages) return socket.terminate()
      for (const message of messages) this.#listener?.onMessage(peer, message)
    })
  }

  /** Undefined for a frame that is not a list of messages. */
  #unpack(bytes: Buffer): Message[] | undefined {
    try {
      const messages = this.#packer.unpack(bytes) as Message[]
      const isList = Array.isArray(messages)
      return isList && messages.every(message => typeof message?.type === 'string')
        ? messages
        : undefined
    } catch {
      return undefined
    }
  }

  #isPeer(secret: string | string[] | undefined): boolean {
    if (typeof secret !== 'string') return false
    const given = Buffer.from(hashKey(secret))
    return timingSafeEqual(given, Buffer.from(hashKey(this.options.secret)))
  }
}

function parseIdentity(text: string | string[] | undefined): PeerIdentity | undefined {
  if (typeof text !== 'string') return undefined
  try {
    const identity = JSON.parse(text) as Partial<PeerIdentity>
    const { box, incarnation, dataCentre, entryAddress, peerAddress } = identity
    const parts = [box, incarnation, dataCentre, entryAddress, peerAddress]
    return parts.every(part => typeof part === 'string') ? (identity as PeerIdentity) : undefined
  } catch {
    return undefined
  }
}
