import { voterOf, type PeerIdentity, type PeerTransport } from '@yewkeel/box'
import {
  hashText,
  ringNeighbours,
  earliestProofAt,
  type BoxLocation,
  type Clock,
  type ListedUpstream,
  type Milliseconds,
  type RolloutStatus,
  type StoreRevision,
  type SharingRole,
  type SumEntry,
} from '@yewkeel/decisions'
import type {
  GatewayMessage,
  GatewayState,
  Gossip,
  LoadReport,
  OwnReport,
  FreshnessProof,
  OperatorProof,
  OperatorsMessage,
  Advertisement,
  RoomSumsMessage,
  UpstreamsMessage,
  WorkMessage,
} from '../types/gossip.js'
import type { BoxEntry, EventLog, OperatorState } from '../types/ports.js'
import type { SuspectUpdate } from '@yewkeel/box'
import { packRelayedReports, unpackRelayedReports, type RelayedReport } from './relayedReports.js'
import { KnownBoxes, SILENT_AFTER, type KnownBox } from './knownBoxes.js'
import { DelayedBatch } from './delayedBatch.js'
import { isEmpty } from './loadSharing.js'
import { shareByRelay, shareDirectly, type SharingPlan } from './sharingPlan.js'
import { packPlainSums, unpackPlainSums, type UpstreamHashes } from './packedSums.js'
import { SumsForwarding } from './sumsForwarding.js'
import type { Verdict } from './rolloutTask.js'
import type { BoxAnswers } from './versionEvaluator.js'

/** The part of a gossip message that comes from other tasks of this box. */
export interface GossipContent extends Pick<
  Gossip,
  'operators' | 'upstreams' | 'rollouts' | 'verdicts' | 'storeNow' | 'storeEpoch'
> {
  own: Omit<OwnReport, 'sequence'>
}

/** Whether this box already has the content that a neighbour confirmed, or has to request it. */
export type ProofAnswer = 'known' | 'wanted'

export interface PeerTaskOptions {
  self: PeerIdentity
  clock: Clock
  log: EventLog
  transport: PeerTransport<GatewayMessage>
  content(): GossipContent
  /**
   * A neighbour confirmed that this was the newest state in the store at `provedAt`, on this box's
   * clock.
   */
  onOperatorsProved(proof: OperatorProof, provedAt: Milliseconds): ProofAnswer
  onUpstreamsProved(proof: FreshnessProof, provedAt: Milliseconds): ProofAnswer
  /** `provedAt` is undefined if the sender does not know the age of its state. */
  onOperators(state: OperatorState, provedAt: Milliseconds | undefined): void
  /** `provedAt` is undefined if the sender does not know the age of its list. */
  onUpstreams(
    entries: ListedUpstream[],
    point: StoreRevision,
    provedAt: Milliseconds | undefined,
  ): void
  /** Receives runs of upstreams that have ended. Returns those that this box did not know. */
  onUpstreamsGone(runs: readonly string[]): string[]
  onRollouts(statuses: RolloutStatus[]): void
  onVerdicts(verdicts: readonly Verdict[]): void
  onLoad(box: string, report: LoadReport): void
  onLoadSums(report: LoadReport): void
  /** The relay of a data centre tells the requests and tokens that it holds at upstreams. */
  onRoomSums(dataCentre: string, entries: SumEntry[]): void
  /** A round of gossip was sent. */
  onRound(): void
  /** The sharing role, and with it the recipients of load reports, has changed. */
  onSharingRole(): void
  /** Identifies upstreams in packed sums. */
  upstreamHashes: UpstreamHashes
  /** The whole load report that this box sends in its current role. */
  currentLoad(): LoadReport
  onStoreClock(storeNow: Milliseconds, at: Milliseconds, epoch: number): void
  currentOperators(): Omit<OperatorsMessage, 'stamp' | 'type'>
  currentUpstreams(): Omit<UpstreamsMessage, 'stamp' | 'type'>
  /**
   * Returns the entries that were new to this box. `isComplete`: the entries include everything
   * quarantined before.
   */
  onSuspects(entries: readonly SuspectUpdate[], isComplete: boolean): SuspectUpdate[]
  /** Returns the entries that were new to this box. */
  onAdvertisements(entries: readonly Advertisement[]): Advertisement[]
  currentAdvertisements(): Advertisement[]
  /** What this box knows of the requests of `entries` that the sender does not. */
  newerSuspects(entries: readonly SuspectUpdate[]): SuspectUpdate[]
  currentSuspects(): { entries: SuspectUpdate[]; isComplete: boolean }
}

/**
 * Longer than a large configuration takes on a slow link, so that it is not transferred twice:
 * 1,400 routes take up to 300 ms at 10 Mbit/s.
 */
const REQUEST_TIMEOUT: Milliseconds = 600

/**
 * How often all reports are relayed; twice within `SILENT_AFTER`. Changes are relayed in every
 * round. With all reports in every round, gossip was a third of the bytes that boxes send between
 * data centres.
 */
const FULL_RELAY_INTERVAL: Milliseconds = 800
/** Crashes of upstreams are correlated, so that events close together go into one message. */
const BATCH_DELAY: Milliseconds = 5
/** Bytes of a message among relays beyond its entries, and of a packed entry. */
const ROOM_SUMS_BYTES = 40
const PACKED_BYTES = 6
/** Tolerance for rounds that fire early or late. */
const ROUND_JITTER: Milliseconds = 50

type MessageHandlers = {
  [Type in GatewayMessage['type']]: (
    from: PeerIdentity,
    message: Extract<GatewayMessage, { type: Type }>,
  ) => void
}

/** The gossip neighbours of this box for one version of the entries. */
interface Topology {
  /** Version of the entries. */
  version: number
  neighbours: BoxEntry[]
  /** Every other box is a neighbour. */
  isFullMesh: boolean
}

/** Exchanges gossip and work with other boxes. Messages are small, and late ones are worthless. */
export class PeerTask {
  readonly #known: KnownBoxes
  /** Newest stamp of each neighbour by voter, and when it was received. */
  readonly #stamps = new Map<string, { stamp: Milliseconds; at: Milliseconds }>()
  /** When gossip was last received from each box. */
  readonly #lastGossipAt = new Map<string, Milliseconds>()
  /** Voter id of the current run of each connected box. */
  readonly #voters = new Map<string, string>()
  /** When each type of request was last sent. */
  readonly #requestedAt = new Map<string, Milliseconds>()
  readonly #startedAt: Milliseconds
  #sequence = 0
  #sharing: SharingPlan = shareDirectly([])
  /** Those that read packed sums, as they showed lately. */
  readonly #packedRelays = new Set<string>()
  readonly #sums: SumsForwarding
  /** Runs of upstreams that have ended. */
  readonly #endedRuns: DelayedBatch<string>
  readonly #suspects: DelayedBatch<SuspectUpdate>
  readonly #advertisements: DelayedBatch<Advertisement>
  #fullRelayAt = -Infinity
  #cachedTopology: Topology | undefined

  readonly #handlers: MessageHandlers = {
    gossip: (from, message) => this.#handleGossip(from, message),
    work: (from, message) => this.#handleWork(from, message),
    'work-sums': (from, message) => {
      const report = this.#sums.receive(from.box, message)
      if (report) this.options.onLoadSums(report)
    },
    'room-sums': (from, message) => this.#handleRoomSums(from, message),
    'boxes-wanted': from =>
      this.#reply(from, { type: 'boxes', entries: this.live().map(({ entry }) => entry) }),
    boxes: (_from, message) => {
      for (const entry of message.entries) this.#known.addEntry(entry)
    },
    'operators-wanted': (from, { stamp }) =>
      this.#reply(from, { type: 'operators', stamp, ...this.options.currentOperators() }),
    operators: (_from, { state, stamp, age }) => {
      const isProved = stamp !== undefined && age !== undefined
      this.options.onOperators(state, isProved ? stamp - age : undefined)
    },
    'upstreams-wanted': (from, { stamp }) =>
      this.#reply(from, { type: 'upstreams', stamp, ...this.options.currentUpstreams() }),
    'upstreams-gone': (_from, { runs }) => {
      const added = this.options.onUpstreamsGone(runs)
      // In a mesh the box that detected the end has already sent it to all.
      if (!this.isFullMesh) this.announceEndedRuns(added)
    },
    upstreams: (_from, { entries, version, epoch, stamp, age }) => {
      const provedAt = age === undefined ? undefined : stamp - age
      this.options.onUpstreams(entries, { epoch, revision: version }, provedAt)
    },
    'statements-wanted': from => {
      const entries = this.options.currentAdvertisements()
      if (entries.length > 0) this.#reply(from, { type: 'statements', entries })
    },
    statements: (_from, { entries }) => {
      const added = this.options.onAdvertisements(entries)
      if (!this.isFullMesh) this.announceAdvertisements(added)
    },
    'suspects-wanted': from =>
      this.#reply(from, { type: 'suspects', ...this.options.currentSuspects() }),
    suspects: (from, { entries, isComplete = false }) => {
      const newer = this.options.newerSuspects(entries)
      if (newer.length > 0) this.#reply(from, { type: 'suspects', entries: newer })
      const added = this.options.onSuspects(entries, isComplete)
      if (!this.isFullMesh) this.announceSuspects(added)
    },
  }

  constructor(private readonly options: PeerTaskOptions) {
    this.#known = new KnownBoxes(options.self.box)
    this.#startedAt = options.clock.now()
    const { clock } = options
    this.#sums = new SumsForwarding({
      clock,
      self: options.self.box,
      hashes: options.upstreamHashes,
      send: (boxes, message) => this.#sendTo(boxes, message),
      wholeReport: () => options.currentLoad(),
      onNewTargets: () => this.#link(),
    })
    const broadcast = (message: GatewayMessage) =>
      this.#broadcast(this.#topology.neighbours, () => message)
    this.#endedRuns = new DelayedBatch(clock, BATCH_DELAY, runs =>
      broadcast({ type: 'upstreams-gone', runs }),
    )
    this.#suspects = new DelayedBatch(clock, BATCH_DELAY, entries =>
      broadcast({ type: 'suspects', entries }),
    )
    this.#advertisements = new DelayedBatch(clock, BATCH_DELAY, entries =>
      broadcast({ type: 'statements', entries }),
    )
    options.transport.listen({
      onMessage: (from, message) => this.#handlers[message.type]?.(from, message as never),
      onConnected: peer => {
        this.#voters.set(peer.box, voterOf(peer))
        // Either side may have missed updates during a partition, or has just started.
        this.#reply(peer, { type: 'suspects-wanted' })
        this.#reply(peer, { type: 'statements-wanted' })
      },
    })
  }

  /** Replaces the boxes registered in the store, and updates the links. */
  replaceEntries(entries: readonly BoxEntry[]): void {
    this.#known.replaceEntries(entries)
    this.#link()
  }

  /** Other boxes with a recent report. */
  live(): KnownBox[] {
    return this.#known.live(this.options.clock.now())
  }

  /** How many there are. */
  get liveCount(): number {
    return this.#known.liveCount(this.options.clock.now())
  }

  /**
   * How many boxes are registered in the store. Budgets are divided by it: after a simultaneous
   * start `live` is still empty.
   */
  get registeredBoxCount(): number {
    return this.#known.entryCount
  }

  /**
   * Whether the entries have been read from the store. Until then `registeredBoxCount` covers only
   * boxes that sent gossip to this one.
   */
  get hasEntries(): boolean {
    return this.#known.hasEntries
  }

  /** Increases with every change of the entries. */
  get entriesVersion(): number {
    return this.#known.version
  }

  /** All registered boxes including this one; empty until the entries have been read. */
  places(): BoxLocation[] {
    const { entries, hasEntries } = this.#known
    const { self } = this.options
    return hasEntries ? [...entries.filter(({ box }) => box !== self.box), self] : []
  }

  /** Names of registered boxes that have been silent for long. */
  silentEntries(): string[] {
    return this.#known.silentEntries()
  }

  /** Answer counts of other boxes, kept for a while after a box falls silent. */
  answers(): BoxAnswers[] {
    return this.#known.answers()
  }

  /** Sends one round of gossip. Receivers request the content that they lack. */
  tick(): void {
    const now = this.options.clock.now()
    this.#known.removeExpired(now)
    const message = this.#createGossip(now)
    this.#updateSharing(message.own.state)
    this.#link()
    this.#broadcast(this.#topology.neighbours, voter => this.#withEcho(message, voter, now))
    if (this.#sharing.role === 'member') this.#sendWholeLoad()
    this.options.onRound()
  }

  /** Determines which boxes receive the load reports of this one. */
  get sharingRole(): SharingRole {
    return this.#sharing.role
  }

  /** How many boxes receive the load reports of this one. */
  get loadRecipientCount(): number {
    return this.#sharing.recipients.length
  }

  /** How many relays of other data centres there are; 0 unless this box is a relay. */
  get otherRelayCount(): number {
    return this.#sharing.otherRelays.length
  }

  /** How many other data centres there are; 0 in a mesh. */
  get otherDataCentreCount(): number {
    return this.#sharing.otherDataCentreCount
  }

  /** Sends the requests and tokens of this data centre to the relays of the others. */
  sendRoomSums(entries: SumEntry[]): void {
    const boxes = this.#sharing.otherRelays.map(({ box }) => box)
    this.#sums.countBytesElsewhere(boxes.length * (ROOM_SUMS_BYTES + PACKED_BYTES * entries.length))
    const isReader = (box: string) => this.#packedRelays.has(box)
    const plain = boxes.filter(box => !isReader(box))
    if (plain.length > 0)
      this.#sendTo(plain, { type: 'room-sums', entries, packed: new Uint8Array() })
    if (plain.length === boxes.length) return
    const { packed, rest } = packPlainSums(
      { near: entries, remote: [] },
      this.options.upstreamHashes,
    )
    this.#sendTo(boxes.filter(isReader), { type: 'room-sums', entries: rest.near, packed })
  }

  /** How long to batch sums for the members, and how far apart they come. */
  get sumsPacing(): Pick<SumsForwarding, 'delay' | 'interval'> {
    return this.#sums
  }

  /** How many other boxes the relay of this data centre reports to; 0 in a mesh. */
  get memberCount(): number {
    return this.#sharing.memberCount
  }

  /** Sends a load report, unless it is empty. */
  sendLoad(report: LoadReport): void {
    if (isEmpty(report)) return
    if (this.#sharing.role === 'relay') return this.#sums.send(report)
    // One object for all recipients, so that the transport serialises it once.
    const message: WorkMessage = { type: 'work', ...report }
    this.#broadcast(this.#sharing.recipients, () => message)
  }

  /** As a member: repeats the whole load, and confirms which sums came. */
  #sendWholeLoad(): void {
    const load = this.options.currentLoad()
    for (const { box } of this.#sharing.recipients) {
      const receipt = this.#sums.receiptFor(box)
      if (isEmpty(load) && receipt === undefined) continue
      this.#sendTo([box], { type: 'work', ...load, receipt: receipt ?? null })
    }
  }

  #handleWork({ box }: PeerIdentity, { receipt, ...report }: WorkMessage): void {
    if (receipt !== undefined) this.#sums.recordReceipt(box, receipt)
    this.options.onLoad(box, report)
  }

  #handleRoomSums({ box, dataCentre }: PeerIdentity, { entries, packed }: RoomSumsMessage): void {
    if (packed) this.#packedRelays.add(box)
    else this.#packedRelays.delete(box)
    const sums = packed ? unpackPlainSums(packed, this.options.upstreamHashes).near : []
    this.options.onRoomSums(dataCentre, [...entries, ...sums])
  }

  /**
   * Sends the neighbours runs of upstreams that have ended, batched. Each box forwards each run
   * once, so that not every box has to detect the end by a failed request.
   */
  announceEndedRuns(runs: readonly string[]): void {
    this.#endedRuns.add(runs)
  }

  /**
   * Sends crash suspects to the neighbours, batched: requests in flight when an upstream crashed.
   */
  announceSuspects(entries: readonly SuspectUpdate[]): void {
    this.#suspects.add(entries)
  }

  /** Sends rate limits and drain notices of upstreams to the neighbours, batched. */
  announceAdvertisements(entries: readonly Advertisement[]): void {
    this.#advertisements.add(entries)
  }

  #updateSharing(state: GatewayState): void {
    const { neighbours, isFullMesh } = this.#topology
    const { role } = this.#sharing
    const { self, log, onSharingRole } = this.options
    const serving = isFullMesh ? [] : this.live().filter(peer => peer.state === 'serving')
    this.#sharing = isFullMesh
      ? shareDirectly(neighbours)
      : shareByRelay(self, state === 'serving', serving)
    this.#sums.setMembers(this.#sharing.members)
    if (this.#sharing.role === role) return
    log.event('work-role', { role: this.#sharing.role })
    onSharingRole()
  }

  #broadcast(boxes: readonly BoxEntry[], messageFor: (voter: string) => GatewayMessage): void {
    for (const { box } of boxes) {
      const voter = this.#voters.get(box)
      if (voter) this.options.transport.send(voter, messageFor(voter))
    }
  }

  #sendTo(boxes: readonly string[], message: GatewayMessage): void {
    for (const box of boxes) {
      const voter = this.#voters.get(box)
      if (voter) this.options.transport.send(voter, message)
    }
  }

  #createGossip(now: Milliseconds): Gossip {
    const { own, ...content } = this.options.content()
    return {
      type: 'gossip',
      stamp: now,
      own: { ...own, sequence: this.#nextSequence(now) },
      // In a mesh every box receives the reports of all others directly.
      others: packRelayedReports(this.isFullMesh ? [] : this.#relayedReports(now)),
      ...this.#gossipedLoad(),
      ...content,
    }
  }

  /** The load report as a part of gossip, by which a missed change reaches all boxes of a mesh. */
  #gossipedLoad(): Pick<Gossip, 'work' | 'load'> {
    if (this.#sharing.role !== 'direct') return { work: [] }
    const { entries, ...load } = this.options.currentLoad()
    return { work: entries, ...(Object.keys(load).length > 0 && { load }) }
  }

  #nextSequence(now: Milliseconds): Milliseconds {
    this.#sequence = Math.max(this.#sequence + 1, Math.round(now - this.#startedAt))
    return this.#sequence
  }

  #relayedReports(now: Milliseconds): RelayedReport[] {
    if (now - this.#fullRelayAt < FULL_RELAY_INTERVAL - ROUND_JITTER)
      return this.#known.takeChangedReports(now)
    this.#fullRelayAt = now
    return this.#known.takeAllReports(now)
  }

  #withEcho(message: Gossip, voter: string, now: Milliseconds): Gossip {
    const newest = this.#stamps.get(voter)
    return newest
      ? { ...message, echo: { stamp: newest.stamp, heldFor: now - newest.at } }
      : message
  }

  /** Cached until the entries change, since it is read with every prompt. */
  get #topology(): Topology {
    const { version } = this.#known
    if (this.#cachedTopology?.version === version) return this.#cachedTopology
    const { box } = this.options.self
    const { entries } = this.#known
    const neighbours = ringNeighbours(box, entries, entry => entry.box)
    const isFullMesh = neighbours.length === entries.filter(entry => entry.box !== box).length
    this.#cachedTopology = { version, neighbours, isFullMesh }
    return this.#cachedTopology
  }

  /** Whether every box is linked to every other, so that each receives the work of all. */
  get isFullMesh(): boolean {
    return this.#topology.isFullMesh
  }

  /**
   * Boxes that recently sent gossip to this one. With different entries they may count it as a
   * neighbour that is none here, and requests to them need a link.
   */
  #recentSenders(): BoxEntry[] {
    const now = this.options.clock.now()
    const isRecent = ({ box }: BoxEntry) =>
      now - (this.#lastGossipAt.get(box) ?? -Infinity) < SILENT_AFTER
    return this.#known.entries.filter(isRecent)
  }

  #link(): void {
    const targets = new Set(this.#sums.targets())
    const linked = new Set([
      ...this.#topology.neighbours,
      ...this.#sharing.recipients,
      ...this.#sharing.otherRelays,
      ...this.#recentSenders(),
      ...this.#known.entries.filter(({ box }) => targets.has(box)),
    ])
    const peers = [...linked].map(({ box, peerAddress }) => ({ box, address: peerAddress }))
    this.options.transport.link(peers)
  }

  #reply(to: PeerIdentity, message: GatewayMessage): void {
    this.options.transport.send(voterOf(to), message)
  }

  #handleGossip(from: PeerIdentity, message: Gossip): void {
    const { clock, log, onRollouts, onVerdicts, onLoad, onStoreClock } = this.options
    const now = clock.now()
    this.#stamps.set(voterOf(from), { stamp: message.stamp, at: now })
    this.#lastGossipAt.set(from.box, now)
    const { box, dataCentre, entryAddress, peerAddress } = from
    const entry = { box, dataCentre, entryAddress, peerAddress }
    const isChanged = this.#known.recordOwnReport(
      entry,
      hashText(from.incarnation),
      message.own,
      now,
    )
    if (isChanged) log.event('peer', { peer: box, state: message.own.state })
    const others = unpackRelayedReports(message.others)
    const knowsAll = others
      .map(report => this.#known.recordRelayedReport(report, now))
      .every(Boolean)
    if (!knowsAll) this.#request(from, { type: 'boxes-wanted' })
    onRollouts(message.rollouts)
    onVerdicts(message.verdicts)
    onLoad(box, { ...message.load, entries: message.work })
    const { storeNow, storeEpoch = 0 } = message
    if (storeNow !== undefined) onStoreClock(storeNow, now, storeEpoch)
    if (message.echo) this.#applyProofs(from, message, message.echo)
  }

  #applyProofs(from: PeerIdentity, message: Gossip, echo: NonNullable<Gossip['echo']>): void {
    const { operators, upstreams } = message
    const { onOperatorsProved, onUpstreamsProved } = this.options
    const provedAt = ({ age }: FreshnessProof) =>
      earliestProofAt({ echo: echo.stamp, heldFor: echo.heldFor, age })
    if (operators && onOperatorsProved(operators, provedAt(operators)) === 'wanted')
      this.#request(from, { type: 'operators-wanted', stamp: this.options.clock.now() })
    if (upstreams && onUpstreamsProved(upstreams, provedAt(upstreams)) === 'wanted')
      this.#request(from, { type: 'upstreams-wanted', stamp: this.options.clock.now() })
  }

  /** Sends a request, unless one of the same type is still pending at any neighbour. */
  #request(neighbour: PeerIdentity, message: GatewayMessage): void {
    const now = this.options.clock.now()
    const last = this.#requestedAt.get(message.type) ?? -Infinity
    if (now - last < REQUEST_TIMEOUT) return
    this.#requestedAt.set(message.type, now)
    this.#reply(neighbour, message)
  }
}
