import {
  relaysOf,
  type Clock,
  type DirectoryEntry,
  type Milliseconds,
  type VoterId,
} from '@yewkeel/decisions'
import {
  voterOf,
  type BoxState,
  type Heartbeat,
  type PeerIdentity,
  type PeerMessage,
} from '../types/peerMessage.js'
import type { Log, PeerAddress, PeerTransport } from '../types/ports.js'
import { every } from './every.js'
import { logTaskFailure } from './logTaskFailure.js'

/** The fields of a heartbeat that other tasks supply. */
export type HeartbeatContent = Omit<Heartbeat, 'type' | 'sequence' | 'echo' | 'state' | 'gone'>

export interface MembershipOptions {
  self: PeerIdentity
  seeds: readonly string[]
  transport: PeerTransport
  clock: Clock
  log: Log
  /** Content for one peer. */
  contentFor(peer: VoterId): HeartbeatContent
  /** `askedAt`: when this box sent the heartbeat that the peer echoes; -Infinity if unknown. */
  onHeartbeat(from: VoterId, heartbeat: Heartbeat, askedAt: Milliseconds): void
  onMessage(from: PeerIdentity, message: PeerMessage): void
  onConnected(peer: PeerIdentity): void
  /** No heartbeat for `SILENCE_TIMEOUT`; the box may only be paused. */
  onSilent(peer: VoterId): void
  /** The incarnation is known to have exited. */
  onGone(peer: VoterId): void
}

/** Last known state of a peer. */
export interface PeerView {
  identity: PeerIdentity
  state: BoxState
  load: number
  lastSeenAt: Milliseconds
  lastSequence: number
  isSilent: boolean
}

export const HEARTBEAT_INTERVAL: Milliseconds = 500
/** A box without a heartbeat for this long is no longer live and not listed to callers. */
const LIVE_TIMEOUT: Milliseconds = 2_500
/** A box without a heartbeat for this long has its bills taken over. */
const SILENCE_TIMEOUT: Milliseconds = 10_000
/** A box that the platform does not list and without a heartbeat for this long counts as exited. */
const GONE_TIMEOUT: Milliseconds = 30_000
/** A box without a heartbeat for this long is removed, whether or not it has exited. */
const FORGET_TIMEOUT: Milliseconds = 600_000

/** Links to the other boxes, exchanges heartbeats and detects silent and exited boxes. */
export class MembershipTask {
  readonly #peers = new Map<VoterId, PeerView>()
  readonly #peerAddresses = new Map<string, PeerAddress>()
  readonly #gone = new Set<VoterId>()
  readonly #heartbeatSentAt = new Map<number, Milliseconds>()
  #listed: ReadonlySet<string> | undefined
  #sequence = 0
  #state: BoxState = 'starting'
  #timer: { cancel(): void } | undefined

  constructor(private readonly options: MembershipOptions) {
    for (const address of options.seeds) this.#peerAddresses.set(address, { address })
    this.#peerAddresses.delete(options.self.peerAddress)
    options.transport.listen({
      onMessage: (from, message) => this.#receive(from, message),
      onConnected: peer => {
        this.#addPeer(peer)
        options.onConnected(peer)
      },
    })
  }

  start(): void {
    const { clock, log } = this.options
    this.#updateLinks()
    this.#timer = every(
      clock,
      HEARTBEAT_INTERVAL,
      () => this.#tick(),
      logTaskFailure(log, 'heartbeat'),
    )
  }

  /** Stops and announces it, so that the other boxes need not wait for a timeout. */
  stop(): void {
    this.abort()
    this.sendToAll({ type: 'goodbye' })
  }

  /** Stops without announcing it, as in a crash. */
  abort(): void {
    this.#timer?.cancel()
  }

  setState(state: BoxState): void {
    this.#state = state
    this.#sendHeartbeats()
  }

  get state(): BoxState {
    return this.#state
  }

  get peers(): ReadonlyMap<VoterId, PeerView> {
    return this.#peers
  }

  /** Incarnations that are known to have exited. */
  get gone(): ReadonlySet<VoterId> {
    return this.#gone
  }

  /** Sets the names of the boxes that the platform lists. */
  setListedBoxes(names: ReadonlySet<string>): void {
    this.#listed = names
  }

  /** Adds the address of a box to link to. */
  addAddress(box: string, address: string): void {
    if (box === this.options.self.box) return
    this.#peerAddresses.set(address, { box, address })
    this.#updateLinks()
  }

  /** Peers with a recent heartbeat. */
  livePeers(): PeerView[] {
    const now = this.options.clock.now()
    return [...this.#peers.values()].filter(peer => now - peer.lastSeenAt <= LIVE_TIMEOUT)
  }

  /** Whether this box polls the store on behalf of its data centre. */
  isPoller(): boolean {
    const { self } = this.options
    const boxes = [self, ...this.livePeers().map(peer => peer.identity)]
    return relaysOf(boxes, self.dataCentre).some(box => box.box === self.box)
  }

  /** This box and its live peers, as listed to callers. */
  directory(ownLoad: number): DirectoryEntry[] {
    const { self } = this.options
    const own = { identity: self, state: this.#state, load: ownLoad }
    return [own, ...this.livePeers()].map(({ identity, state, load }) => ({
      box: identity.box,
      address: identity.entryAddress,
      dataCentre: identity.dataCentre,
      state,
      load,
    }))
  }

  send(to: VoterId, message: PeerMessage): boolean {
    return this.options.transport.send(to, message)
  }

  sendToAll(message: PeerMessage): void {
    for (const peer of this.#peers.keys()) this.send(peer, message)
  }

  #receive(from: PeerIdentity, message: PeerMessage): void {
    const voter = this.#addPeer(from)
    if (!voter) return
    if (message.type === 'heartbeat') this.#receiveHeartbeat(voter, message)
    else if (message.type === 'goodbye') this.#markGone(voter)
    else this.options.onMessage(from, message)
  }

  #receiveHeartbeat(voter: VoterId, heartbeat: Heartbeat): void {
    const peer = this.#peers.get(voter)
    if (!peer || heartbeat.sequence <= peer.lastSequence) return
    peer.lastSequence = heartbeat.sequence
    peer.lastSeenAt = this.options.clock.now()
    peer.isSilent = false
    peer.state = heartbeat.state
    peer.load = heartbeat.load
    for (const gone of heartbeat.gone) this.#markGone(gone)
    // The peer wrote this after it received the echoed heartbeat, so it is no older than that one.
    const askedAt = this.#heartbeatSentAt.get(heartbeat.echo)
    this.options.onHeartbeat(voter, heartbeat, askedAt ?? -Infinity)
  }

  /**
   * Registers a peer if it is new. Undefined for an incarnation that has exited and for this box.
   */
  #addPeer(identity: PeerIdentity): VoterId | undefined {
    const voter = voterOf(identity)
    if (this.#gone.has(voter) || identity.box === this.options.self.box) return undefined
    if (this.#peers.has(voter)) return voter
    for (const [other, view] of this.#peers) {
      // Two processes cannot share an address, so the earlier incarnation has exited.
      if (view.identity.peerAddress === identity.peerAddress) this.#markGone(other)
    }
    this.#peers.set(voter, {
      identity,
      state: 'starting',
      load: 0,
      lastSeenAt: this.options.clock.now(),
      lastSequence: 0,
      isSilent: false,
    })
    this.addAddress(identity.box, identity.peerAddress)
    return voter
  }

  #markGone(voter: VoterId): void {
    if (this.#gone.has(voter) || voter === this.#selfVoter) return
    this.#gone.add(voter)
    this.#peers.delete(voter)
    this.options.log.info({ voter }, 'peer box has exited')
    this.options.onGone(voter)
  }

  get #selfVoter(): VoterId {
    return voterOf(this.options.self)
  }

  #tick(): void {
    this.#checkTimeouts()
    this.#updateLinks()
    this.#sendHeartbeats()
  }

  #sendHeartbeats(): void {
    const now = this.options.clock.now()
    this.#sequence++
    this.#heartbeatSentAt.set(this.#sequence, now)
    this.#heartbeatSentAt.delete(this.#sequence - 100)
    for (const [voter, peer] of this.#peers) {
      this.send(voter, {
        type: 'heartbeat',
        sequence: this.#sequence,
        echo: peer.lastSequence,
        state: this.#state,
        gone: [...this.#gone],
        ...this.options.contentFor(voter),
      })
    }
  }

  #checkTimeouts(): void {
    const now = this.options.clock.now()
    for (const [voter, peer] of this.#peers) {
      const silence = now - peer.lastSeenAt
      const isUnlisted = this.#listed !== undefined && !this.#listed.has(peer.identity.box)
      if (silence > GONE_TIMEOUT && isUnlisted) this.#markGone(voter)
      else if (silence > SILENCE_TIMEOUT && !peer.isSilent) {
        peer.isSilent = true
        this.options.onSilent(voter)
      }
      if (silence > FORGET_TIMEOUT) this.#peers.delete(voter)
    }
  }

  /** Links to every known address; the boxes form a full mesh. */
  #updateLinks(): void {
    this.options.transport.link([...this.#peerAddresses.values()])
  }
}
