import { timingSafeEqual } from 'node:crypto'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'
import { Packr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import { hashKey } from '../requests/callerKeys.js'
import { voterOf, type PeerIdentity, type PeerMessage } from '../types/peerMessage.js'
import { every } from '../tasks/every.js'
import { logTaskFailure } from '../tasks/logTaskFailure.js'
import type { Log, PeerAddress, PeerListener, PeerTransport } from '../types/ports.js'
import { splitAddress } from './httpServer.js'
import { RequestReading } from './requestReading.js'

export interface WsTransportOptions {
  self: PeerIdentity
  /** `host:port`. */
  listen: string
  /** Shared by all boxes; authenticates a connecting peer. */
  secret: string
  tls?: { cert: string; key: string; ca: string }
  clock: Clock
  log: Log
  /** A link with more than this buffered for sending is closed. Bytes; 16 MiB by default. */
  maxBacklogBytes?: number
  /** Minimum size of a frame to compress. Bytes; without it, frames aren't compressed. */
  compressionThresholdBytes?: number
  /** Accepted connections that are no link yet; 200 by default. */
  maxPendingConnections?: number
}

/** A peer opens its link as soon as it is connected. */
const PENDING_TIMEOUT: Milliseconds = 10_000
const MAX_PENDING_CONNECTIONS = 200
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024
const RECONNECT_DELAY: Milliseconds = 500
/**
 * A connection may go silent without a reset. Two unanswered keep-alives and `RECONNECT_DELAY` later
 * the link is open again, before the 3 s in which boxes must know news.
 */
const KEEP_ALIVE_INTERVAL: Milliseconds = 800
const MAX_UNANSWERED = 2
/** The same for a link that is not open yet: a peer that starts on a busy machine is slow to accept. */
const MAX_OPENING_INTERVALS = 5
/** Keep-alive intervals without a frame after which an accepted link is closed: its peer has another. */
const MAX_IDLE_INTERVALS = 12
const SECRET_HEADER = 'yewkeel-peer'
const IDENTITY_HEADER = 'yewkeel-identity'
const MAX_BACKLOG_BYTES = 16 * 1024 * 1024 // a peer this far behind isn't reading

interface Link<Message> {
  socket: WebSocket
  peer?: PeerIdentity
  /** Messages of this turn of the event loop, sent as one frame. */
  queued: Message[]
  /** Keep-alives since the peer last answered one, or since the link began to open. */
  unanswered: number
}

/** A link that a peer opened to this box. */
interface AcceptedLink {
  socket: WebSocket
  /** Keep-alive intervals since its last frame. */
  idleIntervals: number
  /** Older peers send no keep-alives, and may be idle. */
  sendsKeepAlives: boolean
}

/**
 * Links between boxes over WebSockets, one for each direction: a box sends on the links that it
 * opened and receives on those that it accepted. Both sides exchange identities when a link opens.
 */
export class WsTransport<
  Message extends { type: string } = PeerMessage,
> implements PeerTransport<Message> {
  readonly #packer = new Packr({ structuredClone: false })
  #packed: { message: Message; bytes: Buffer } | undefined
  readonly #linksByAddress = new Map<string, Link<Message>>()
  readonly #linksByVoter = new Map<string, Link<Message>>()
  #peers = new Map<string, PeerAddress>()
  #listener: PeerListener<Message> | undefined
  #server: ReturnType<typeof createServer> | undefined
  #webSocketServer: WebSocketServer | undefined
  /** Accepted connections, also those that are not a link yet. */
  readonly #accepted = new Set<Socket>()
  readonly #acceptedLinks = new Set<AcceptedLink>()
  #keepAlives: Timer | undefined
  #isClosed = false

  constructor(private readonly options: WsTransportOptions) {}

  /** Starts accepting links. Resolves with the bound `host:port`; rejects if it can't be bound. */
  async open(): Promise<string> {
    const { tls, listen } = this.options
    const server = tls
      ? createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true }, refusePlain)
      : createServer(refusePlain)
    const reading = new RequestReading(server, {
      maxConnections: this.options.maxPendingConnections ?? MAX_PENDING_CONNECTIONS,
      closesOldest: true,
    })
    server.headersTimeout = PENDING_TIMEOUT
    server.requestTimeout = PENDING_TIMEOUT
    server.keepAliveTimeout = PENDING_TIMEOUT
    this.#server = server as ReturnType<typeof createServer>
    this.#webSocketServer = new WebSocketServer({
      noServer: true,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: this.#compression(),
    })
    server.on('connection', (socket: Socket) => {
      this.#accepted.add(socket)
      socket.once('close', () => this.#accepted.delete(socket))
    })
    server.on('upgrade', (request, socket: Socket, head) => {
      reading.release(socket)
      // Without a listener the reset of a refused peer would be an uncaught error.
      socket.on('error', () => socket.destroy())
      if (!this.#isSecretValid(request.headers[SECRET_HEADER])) {
        this.options.log.warn(
          { from: request.socket.remoteAddress },
          'refused a peer link with a missing or wrong secret',
        )
        socket.end('HTTP/1.1 401 Unauthorized\r\n\r\n')
        return
      }
      const identity = parseIdentity(request.headers[IDENTITY_HEADER])
      if (!identity) {
        socket.end('HTTP/1.1 400 Bad Request\r\n\r\n')
        return
      }
      this.#webSocketServer!.handleUpgrade(request, socket, head, link =>
        this.#accept(link, identity),
      )
    })
    const { host, port } = splitAddress(listen)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    const { clock, log } = this.options
    this.#keepAlives = every(
      clock,
      KEEP_ALIVE_INTERVAL,
      () => this.#checkLinks(),
      logTaskFailure(log, 'keep-alives'),
    )
    return `${host}:${(server.address() as AddressInfo).port}`
  }

  listen(listener: PeerListener<Message>): void {
    this.#listener = listener
  }

  link(peers: readonly PeerAddress[]): void {
    this.#peers = new Map(peers.map(peer => [peer.address, peer]))
    for (const [address, link] of this.#linksByAddress) {
      if (!this.#peers.has(address)) link.socket.close()
    }
    for (const address of this.#peers.keys()) {
      if (!this.#linksByAddress.has(address)) this.#connect(address)
    }
  }

  send(to: string, message: Message): boolean {
    const link = this.#linksByVoter.get(to)
    if (!link || link.socket.readyState !== WebSocket.OPEN) return false
    if (link.socket.bufferedAmount > (this.options.maxBacklogBytes ?? MAX_BACKLOG_BYTES)) {
      link.socket.terminate()
      return false
    }
    // Batches the messages of this turn: the cost of a frame exceeds that of its messages.
    if (link.queued.push(message) === 1) setImmediate(() => this.#flush(link))
    return true
  }

  #flush(link: Link<Message>): void {
    const messages = link.queued
    link.queued = []
    if (link.socket.readyState === WebSocket.OPEN) link.socket.send(this.#pack(messages))
  }

  /** Packs messages as one frame; caches the frame of a broadcast message for this turn. */
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
    this.#keepAlives?.cancel()
    for (const link of this.#linksByAddress.values()) {
      this.#flush(link)
      link.socket.close()
    }
    for (const socket of this.#accepted) socket.destroy()
    await new Promise(resolve => (this.#server ? this.#server.close(resolve) : resolve(undefined)))
  }

  #connect(address: string): void {
    const { self, secret, tls, clock } = this.options
    const socket = new WebSocket(`${tls ? 'wss' : 'ws'}://${address}`, {
      ...(tls && {
        cert: tls.cert,
        key: tls.key,
        ca: tls.ca,
        checkServerIdentity: () => undefined,
      }),
      headers: { [SECRET_HEADER]: secret, [IDENTITY_HEADER]: JSON.stringify(self) },
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: this.#compression(),
    })
    const link: Link<Message> = { socket, queued: [], unanswered: 0 }
    this.#linksByAddress.set(address, link)
    // The accepting side sends its identity as its first message.
    socket.on('message', (bytes: Buffer) => this.#handleIdentity(link, bytes))
    socket.on('open', () => (link.unanswered = 0))
    socket.on('pong', () => (link.unanswered = 0))
    socket.on('error', error =>
      this.options.log.info({ address, error: error.message }, 'peer link failed'),
    )
    socket.on('close', () => {
      if (this.#linksByAddress.get(address) === link) this.#linksByAddress.delete(address)
      if (link.peer) this.#removeLink(link)
      clock.after(RECONNECT_DELAY, () => {
        if (!this.#isClosed && this.#peers.has(address) && !this.#linksByAddress.has(address))
          this.#connect(address)
      })
    })
  }

  /** Sends keep-alives, and ends links whose other end has gone silent. */
  #checkLinks(): void {
    for (const [address, link] of this.#linksByAddress) this.#checkLink(address, link)
    for (const link of this.#acceptedLinks) {
      link.idleIntervals++
      if (link.sendsKeepAlives && link.idleIntervals > MAX_IDLE_INTERVALS) link.socket.terminate()
    }
  }

  #checkLink(address: string, link: Link<Message>): void {
    const { socket, unanswered } = link
    const isOpening = socket.readyState === WebSocket.CONNECTING
    if (unanswered >= (isOpening ? MAX_OPENING_INTERVALS : MAX_UNANSWERED)) {
      this.options.log.info({ address, unanswered, isOpening }, 'peer link is silent')
      return socket.terminate()
    }
    link.unanswered++
    if (socket.readyState === WebSocket.OPEN) socket.ping()
  }

  /** Compresses each frame separately, so that a link keeps no compression window in memory. */
  #compression() {
    const { compressionThresholdBytes } = this.options
    if (compressionThresholdBytes === undefined) return false
    return {
      threshold: compressionThresholdBytes,
      serverNoContextTakeover: true,
      clientNoContextTakeover: true,
    }
  }

  #handleIdentity(link: Link<Message>, bytes: Buffer): void {
    const identity = parseIdentity(bytes.toString())
    if (!identity || link.peer) return
    link.peer = identity
    this.#linksByVoter.set(voterOf(identity), link)
    this.#listener?.onConnected(identity)
  }

  #removeLink(link: Link<Message>): void {
    const voter = voterOf(link.peer!)
    if (this.#linksByVoter.get(voter) === link) this.#linksByVoter.delete(voter)
  }

  #accept(socket: WebSocket, peer: PeerIdentity): void {
    socket.send(JSON.stringify(this.options.self))
    const link: AcceptedLink = { socket, idleIntervals: 0, sendsKeepAlives: false }
    this.#acceptedLinks.add(link)
    socket.on('error', () => socket.terminate())
    socket.on('close', () => this.#acceptedLinks.delete(link))
    socket.on('ping', () => {
      link.idleIntervals = 0
      link.sendsKeepAlives = true
    })
    socket.on('message', (bytes: Buffer) => {
      link.idleIntervals = 0
      const messages = this.#unpack(bytes)
      if (!messages) return socket.terminate()
      for (const message of messages) this.#listener?.onMessage(peer, message)
    })
  }

  /** Unpacks a frame; undefined if it isn't a list of messages. */
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

  #isSecretValid(secret: string | string[] | undefined): boolean {
    if (typeof secret !== 'string') return false
    const digest = Buffer.from(hashKey(secret))
    return timingSafeEqual(digest, Buffer.from(hashKey(this.options.secret)))
  }
}

/** Only links between boxes are served. */
function refusePlain(_message: IncomingMessage, response: ServerResponse): void {
  response.writeHead(UPGRADE_REQUIRED, { upgrade: 'websocket', connection: 'close' }).end()
}

const UPGRADE_REQUIRED = 426

function parseIdentity(text: string | string[] | undefined): PeerIdentity | undefined {
  if (typeof text !== 'string') return undefined
  try {
    const identity = JSON.parse(text) as Partial<PeerIdentity>
    const { box, incarnation, dataCentre, entryAddress, peerAddress } = identity
    const fields = [box, incarnation, dataCentre, entryAddress, peerAddress]
    return fields.every(field => typeof field === 'string') ? (identity as PeerIdentity) : undefined
  } catch {
    return undefined
  }
}
