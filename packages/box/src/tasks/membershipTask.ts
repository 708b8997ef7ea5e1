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

/** The parts of a heartbeat that other tasks fill in. */
export type HeartbeatContent = Omit<Heartbeat, 'type' | 'sequence' | 'echo' | 'state' | 'gone'>

export interface MembershipOptions {
  self: PeerIdentity
  seeds: readonly string[]
  transport: PeerTransport
  clock: Clock
  log: Log
  /** Content for one peer. */
  contentFor(peer: VoterId): HeartbeatContent
  onHeartbeat(from: VoterId, heartbeat: Heartbeat, askedAt: Milliseconds): void
  onMessage(from: PeerIdentity, message: PeerMessage): void
  onConnected(peer: PeerIdentity): void
  /** The box has been silent for long; it may be paused. */
  onSilent(peer: VoterId): void
  /** The incarnation is known not to run any more. */
  onGone(peer: VoterId): void
}

/** What is known of a peer. */
export interface PeerView {
  identity: PeerIdentity
  state: BoxState
  load: number
  heardAt: Milliseconds
  lastSequence: number
  isSilent: boolean
}

export const HEARTBEAT_EVERY: Milliseconds = 500
/** A box that was not heard for this long is not offered to callers. */
const UNLISTED_AFTER: Milliseconds = 2_500
/** A box that was not heard for this long has its bills taken over. */
const SILENT_AFTER: Milliseconds = 10_000
/** A box that is off the platform's list and silent for this long does not run any more. */
const GONE_AFTER: Milliseconds = 30_000
const FORGET_AFTER: Milliseconds = 600_000

/** Knows the other boxes: keeps links to them, sends and hears heartbeats, and notes who falls silent. */
export class MembershipTask {
  readonly #peers = new Map<VoterId, PeerView>()
  readonly #addresses = new Map<string, PeerAddress>()
  readonly #gone = new Set<VoterId>()
  readonly #sentAt = new Map<number, Milliseconds>()
  #listed: ReadonlySet<string> | undefined
  #sequence = 0
  #state: BoxState = 'starting'
  #timer: { cancel(): void } | undefined

  constructor(private readonly options: MembershipOptions) {
    for (const address of options.seeds) this.#addresses.set(address, { address })
    this.#addresses.delete(options.self.peerAddress)
    options.transport.listen({
      onMessage: (from, message) => this.#hear(from, message),
      onConnected: peer => {
        this.#meet(peer)
        options.onConnected(peer)
      },
    })
  }

  start(): void {
    this.#relink()
    this.#timer = every(this.options.clock, HEARTBEAT_EVERY, () => this.#beat())
  }

  /** Says goodbye: the others need not wait to see that this incarnation has ended. */
  stop(): void {
    this.halt()
    this.sendToAll({ type: 'goodbye' })
  }

  /** Stops without a word, as a crash would. */
  halt(): void {
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

  get gone(): ReadonlySet<VoterId> {
    return this.#gone
  }

  /** Names of the machines that the platform lists as entry boxes. */
  setListed(names: ReadonlySet<string>): void {
    this.#listed = names
  }

  /** Notes where a box may be linked to. */
  addAddress(box: string, address: string): void {
    if (box === this.options.self.box) return
    this.#addresses.set(address, { box, address })
    this.#relink()
  }

  /** Peers that were heard lately. */
  livePeers(): PeerView[] {
    const now = this.options.clock.now()
    return [...this.#peers.values()].filter(peer => now - peer.heardAt <= UNLISTED_AFTER)
  }

  /** Whether this box reads the store for its data centre. */
  isPoller(): boolean {
    const { self } = this.options
    const boxes = [self, ...this.livePeers().map(peer => peer.identity)]
    return relaysOf(boxes, self.dataCentre).some(box => box.box === self.box)
  }

  /** Boxes that callers may be sent to. */
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

  #hear(from: PeerIdentity, message: PeerMessage): void {
    const voter = this.#meet(from)
    if (!voter) return
    if (message.type === 'heartbeat') this.#hearHeartbeat(voter, message)
    else if (message.type === 'goodbye') this.#noteGone(voter)
    else this.options.onMessage(from, message)
  }

  #hearHeartbeat(voter: VoterId, heartbeat: Heartbeat): void {
    const peer = this.#peers.get(voter)
    if (!peer || heartbeat.sequence <= peer.lastSequence) return
    peer.lastSequence = heartbeat.sequence
    peer.heardAt = this.options.clock.now()
    peer.isSilent = false
    peer.state = heartbeat.state
    peer.load = heartbeat.load
    for (const gone of heartbeat.gone) this.#noteGone(gone)
    // What the peer says was true after it heard the echoed heartbeat, so it is dated from when that was sent.
    const askedAt = this.#sentAt.get(heartbeat.echo)
    this.options.onHeartbeat(voter, heartbeat, askedAt ?? -Infinity)
  }

  /** Undefined for an incarnation that is known to have ended. */
  #meet(identity: PeerIdentity): VoterId | undefined {
    const voter = voterOf(identity)
    if (this.#gone.has(voter) || identity.box === this.options.self.box) return undefined
    if (this.#peers.has(voter)) return voter
    for (const [other, view] of this.#peers) {
      // Two processes cannot hold one address: the earlier incarnation has ended.
      if (view.identity.peerAddress === identity.peerAddress) this.#noteGone(other)
    }
    this.#peers.set(voter, {
      identity,
      state: 'starting',
      load: 0,
      heardAt: this.options.clock.now(),
      lastSequence: 0,
      isSilent: false,
    })
    this.addAddress(identity.box, identity.peerAddress)
    return voter
  }

  #noteGone(voter: VoterId): void {
    if (this.#gone.has(voter) || voter === this.#selfVoter) return
    this.#gone.add(voter)
    this.#peers.delete(voter)
    this.options.log.info({ voter }, 'a box has ended')
    this.options.onGone(voter)
  }

  get #selfVoter(): VoterId {
    return voterOf(this.options.self)
  }

  #beat(): void {
    this.#watchSilence()
    this.#relink()
    this.#sendHeartbeats()
  }

  #sendHeartbeats(): void {
    const now = this.options.clock.now()
    this.#sequence++
    this.#sentAt.set(this.#sequence, now)
    this.#sentAt.delete(this.#sequence - 100)
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

  #watchSilence(): void {
    const now = this.options.clock.now()
    for (const [voter, peer] of this.#peers) {
      const silence = now - peer.heardAt
      const isUnlisted = this.#listed !== undefined && !this.#listed.has(peer.identity.box)
      if (silence > GONE_AFTER && isUnlisted) this.#noteGone(voter)
      else if (silence > SILENT_AFTER && !peer.isSilent) {
        peer.isSilent = true
        this.options.onSilent(voter)
      }
      if (silence > FORGET_AFTER) this.#peers.delete(voter)
    }
  }

  /** Each box is linked to each; docs/CAPACITY.md says up to how many. */
  #relink(): void {
    this.options.transport.link([...this.#addresses.values()])
  }
}
