import { voterOf, type PeerIdentity, type PeerTransport } from '@yewkeel/box'
import {
  hashText,
  relaysOf,
  ringNeighbours,
  vouchedAt,
  type BoxPlace,
  type Clock,
  type ListedUpstream,
  type Milliseconds,
  type RolloutStatus,
  type WorkEntry,
  type WorkRole,
} from '@yewkeel/decisions'
import type {
  GatewayMessage,
  GatewayState,
  Gossip,
  OwnReport,
  ProofAge,
  Statement,
  UpstreamsMessage,
} from '../types/gossip.js'
import type { BoxEntry, EventLog, OperatorState } from '../types/ports.js'
import type { SuspectNews } from '@yewkeel/box'
import { packHearsay, unpackHearsay, type Hearsay } from './hearsay.js'
import { KnownBoxes, SILENT_AFTER, type KnownBox } from './knownBoxes.js'
import { NewsBatch } from './newsBatch.js'
import type { Verdict } from './rolloutTask.js'
import type { BoxAnswers } from './versionJudge.js'

/** What a box tells of itself and of the store in one round. */
export interface GossipContent extends Pick<
  Gossip,
  'operators' | 'upstreams' | 'rollouts' | 'verdicts' | 'storeNow'
> {
  own: Omit<OwnReport, 'sequence'>
}

/** Whether this box has what a neighbour vouches for. */
export type ProofAnswer = 'known' | 'wanted'

export interface PeerTaskOptions {
  self: PeerIdentity
  clock: Clock
  log: EventLog
  transport: PeerTransport<GatewayMessage>
  content(): GossipContent
  /** A neighbour vouches that the store's newest was this at `provedAt`, on this box's clock. */
  onOperatorsProved(proof: ProofAge, provedAt: Milliseconds): ProofAnswer
  onUpstreamsProved(proof: ProofAge, provedAt: Milliseconds): ProofAnswer
  onOperators(state: OperatorState): void
  /** Undefined `provedAt`: whoever sent the list does not know how old it is. */
  onUpstreams(entries: ListedUpstream[], version: number, provedAt: Milliseconds | undefined): void
  /** Neighbours know that these runs of upstreams are gone. Gives those of which this box did not. */
  onUpstreamsGone(runs: readonly string[]): string[]
  onRollouts(statuses: RolloutStatus[]): void
  onVerdicts(verdicts: readonly Verdict[]): void
  onWork(box: string, entries: WorkEntry[]): void
  onWorkSums(entries: WorkEntry[]): void
  /** Work is told to others than before. */
  onWorkRole(): void
  /** All that this box tells of work, in its present role. */
  currentWork(): WorkEntry[]
  onStoreClock(storeNow: Milliseconds, at: Milliseconds): void
  currentOperators(): OperatorState
  currentUpstreams(): Omit<UpstreamsMessage, 'stamp' | 'type'>
  /** Gives what of it was news. `isComplete`: nothing that was condemned before is missing. */
  onSuspects(entries: readonly SuspectNews[], isComplete: boolean): SuspectNews[]
  /** Gives what of it was news. */
  onStatements(entries: readonly Statement[]): Statement[]
  currentStatements(): Statement[]
  currentSuspects(): { entries: SuspectNews[]; isComplete: boolean }
}

/**
 * An answer that did not come within this is asked for again, of whoever speaks next. A configuration of 1,400 routes
 * takes up to 300 ms on a link of 10 Mbit/s, and asking twice fills them.
 */
const ASK_AGAIN_AFTER: Milliseconds = 600

/**
 * News of others are told in the next round: 60 boxes that start at once know of each other within 2.5 s. All that was heard
 * of them is told this often, twice in the time after which a box counts as silent. It is three quarters of
 * a message among 91 boxes; told at every round, gossip was by its size a third of what they send between data centres.
 */
const HEARSAY_EVERY: Milliseconds = 800
/** Upstreams mostly crash together, and requests are aboard in numbers: what is found out within this goes into one message. */
const TELL_NEWS_AFTER: Milliseconds = 5
/** Rounds come a little early or late. */
const ROUND_SLACK: Milliseconds = 50

type MessageHandlers = {
  [Type in GatewayMessage['type']]: (
    from: PeerIdentity,
    message: Extract<GatewayMessage, { type: Type }>,
  ) => void
}

/** The boxes that one speaks to, as long as the entries do not change. */
interface Circle {
  /** Of the entries. */
  version: number
  /** Gossip goes to them. */
  neighbours: BoxEntry[]
  isMesh: boolean
}

/** Boxes tell their neighbours what they and others know; everything is useless when it is late, and small. */
export class PeerTask {
  readonly #known: KnownBoxes
  /** Newest stamp of each neighbour by voter, and when it came. */
  readonly #stamps = new Map<string, { stamp: Milliseconds; at: Milliseconds }>()
  /** When each box last sent gossip to this one. */
  readonly #spokeAt = new Map<string, Milliseconds>()
  /** The present run of each neighbour that there is a link to. */
  readonly #voters = new Map<string, string>()
  readonly #asked = new Map<string, Milliseconds>()
  readonly #startedAt: Milliseconds
  #sequence = 0
  #role: WorkRole = 'direct'
  #listeners: BoxEntry[] = []
  /** Runs of upstreams that are gone. */
  readonly #gone: NewsBatch<string>
  readonly #suspects: NewsBatch<SuspectNews>
  readonly #statements: NewsBatch<Statement>
  #toldHearsayAt = -Infinity
  #drawn: Circle | undefined

  readonly #handlers: MessageHandlers = {
    gossip: (from, message) => this.#hearGossip(from, message),
    work: (from, message) => this.options.onWork(from.box, message.entries),
    'work-sums': (_from, message) => this.options.onWorkSums(message.entries),
    'boxes-wanted': from =>
      this.#reply(from, { type: 'boxes', entries: this.live().map(({ entry }) => entry) }),
    boxes: (_from, message) => {
      for (const entry of message.entries) this.#known.addEntry(entry)
    },
    'operators-wanted': from =>
      this.#reply(from, { type: 'operators', state: this.options.currentOperators() }),
    operators: (_from, message) => this.options.onOperators(message.state),
    'upstreams-wanted': (from, { stamp }) =>
      this.#reply(from, { type: 'upstreams', stamp, ...this.options.currentUpstreams() }),
    'upstreams-gone': (_from, { runs }) => {
      const news = this.options.onUpstreamsGone(runs)
      // In a mesh whoever found out tells all.
      if (!this.isMesh) this.tellGone(news)
    },
    upstreams: (_from, { entries, version, stamp, age }) =>
      this.options.onUpstreams(entries, version, age === undefined ? undefined : stamp - age),
    'statements-wanted': from => {
      const entries = this.options.currentStatements()
      if (entries.length > 0) this.#reply(from, { type: 'statements', entries })
    },
    statements: (_from, { entries }) => {
      const news = this.options.onStatements(entries)
      if (!this.isMesh) this.tellStatements(news)
    },
    'suspects-wanted': from =>
      this.#reply(from, { type: 'suspects', ...this.options.currentSuspects() }),
    suspects: (_from, { entries, isComplete = false }) => {
      const news = this.options.onSuspects(entries, isComplete)
      if (!this.isMesh) this.tellSuspects(news)
    },
  }

  constructor(private readonly options: PeerTaskOptions) {
    this.#known = new KnownBoxes(options.self.box)
    this.#startedAt = options.clock.now()
    const { clock } = options
    const tell = (message: GatewayMessage) => this.#tell(this.#circle.neighbours, () => message)
    this.#gone = new NewsBatch(clock, TELL_NEWS_AFTER, runs =>
      tell({ type: 'upstreams-gone', runs }),
    )
    this.#suspects = new NewsBatch(clock, TELL_NEWS_AFTER, entries =>
      tell({ type: 'suspects', entries }),
    )
    this.#statements = new NewsBatch(clock, TELL_NEWS_AFTER, entries =>
      tell({ type: 'statements', entries }),
    )
    options.transport.listen({
      onMessage: (from, message) => this.#handlers[message.type]?.(from, message as never),
      onConnected: peer => {
        this.#voters.set(peer.box, voterOf(peer))
        // One of the two may have been cut off, or has just started.
        this.#reply(peer, { type: 'suspects-wanted' })
        this.#reply(peer, { type: 'statements-wanted' })
      },
    })
  }

  /** Boxes entered in the store: where links may be made to. */
  takeEntries(entries: readonly BoxEntry[]): void {
    this.#known.takeEntries(entries)
    this.#link()
  }

  /** Other boxes that were heard of a moment ago. */
  live(): KnownBox[] {
    return this.#known.live(this.options.clock.now())
  }

  /**
   * How many boxes are entered in the store. When 91 start at once each has heard of no other yet, and would take the whole
   * fixed part of a budget for its own.
   */
  get entered(): number {
    return this.#known.entryCount
  }

  /** The entries have been read, so that `entered` counts all boxes and not only those that spoke to this one. */
  get hasEntries(): boolean {
    return this.#known.hasEntries
  }

  /** Rises with every change of the entries. */
  get entriesVersion(): number {
    return this.#known.version
  }

  /** The boxes that are entered, this one among them; none until the entries were read. */
  places(): BoxPlace[] {
    const { entries, hasEntries } = this.#known
    const { self } = this.options
    return hasEntries ? [...entries.filter(({ box }) => box !== self.box), self] : []
  }

  /** Boxes among the entries that have been silent for long. */
  silentEntries(): string[] {
    return this.#known.silentEntries()
  }

  /** What neighbours counted; the counts of those that fell silent still stand. */
  answers(): BoxAnswers[] {
    return this.#known.answers()
  }

  /** One round of gossip. Whoever lacks what it tells of asks for it. */
  tick(): void {
    const now = this.options.clock.now()
    this.#known.forgetSilent(now)
    const message = this.#compose(now)
    this.#chooseListeners(message.own.state)
    this.#link()
    this.#tell(this.#circle.neighbours, voter => this.#withEcho(message, voter, now))
    if (this.#role !== 'direct') this.tellWork(this.options.currentWork())
  }

  /** Whom this box tells of the work of engines. */
  get role(): WorkRole {
    return this.#role
  }

  /** How many boxes are told of the work of engines. */
  get listeners(): number {
    return this.#listeners.length
  }

  /** Tells of the work of engines. */
  tellWork(entries: WorkEntry[]): void {
    if (entries.length === 0) return
    const type = this.#role === 'relay' ? 'work-sums' : 'work'
    // One message for all: the transport packs it once.
    const message: GatewayMessage = { type, entries }
    this.#tell(this.#listeners, () => message)
  }

  /**
   * Tells the neighbours that runs of upstreams are gone, with what else is found out in the next moments. Each box passes each name on
   * once: 60 boxes know of 40 upstreams within 100 ms (played on a moved clock), where each would have to be turned away once.
   */
  tellGone(runs: readonly string[]): void {
    this.#gone.add(runs)
  }

  /** Tells of requests under which upstreams ended, in the same way. */
  tellSuspects(entries: readonly SuspectNews[]): void {
    this.#suspects.add(entries)
  }

  /** Tells of what upstreams say of themselves, in the same way. */
  tellStatements(entries: readonly Statement[]): void {
    this.#statements.add(entries)
  }

  /**
   * Where not all boxes are linked, the relay of a data centre hears of the work of all of its boxes. It is drawn from the
   * boxes that serve; while two boxes disagree on it, for some rounds of gossip, work goes untold.
   */
  #chooseListeners(state: GatewayState): void {
    const { neighbours, isMesh } = this.#circle
    const role = this.#role
    if (isMesh) {
      this.#role = 'direct'
      this.#listeners = neighbours
    } else {
      const { self } = this.options
      const others = this.live().filter(
        peer => peer.state === 'serving' && peer.entry.dataCentre === self.dataCentre,
      )
      const near = others.map(({ entry }) => entry)
      const [relay] = relaysOf(state === 'serving' ? [...near, self] : near, self.dataCentre)
      this.#role = relay?.box === self.box ? 'relay' : 'member'
      this.#listeners = this.#role === 'relay' ? near : near.filter(({ box }) => box === relay?.box)
    }
    if (this.#role === role) return
    this.options.log.note('work-role', { role: this.#role })
    this.options.onWorkRole()
  }

  #tell(boxes: readonly BoxEntry[], messageFor: (voter: string) => GatewayMessage): void {
    for (const { box } of boxes) {
      const voter = this.#voters.get(box)
      if (voter) this.options.transport.send(voter, messageFor(voter))
    }
  }

  #compose(now: Milliseconds): Gossip {
    const { own, ...content } = this.options.content()
    return {
      type: 'gossip',
      stamp: now,
      own: { ...own, sequence: this.#nextSequence(now) },
      // Where every box is linked to every other, each speaks for itself alone.
      others: packHearsay(this.isMesh ? [] : this.#hearsay(now)),
      work: this.#role === 'direct' ? this.options.currentWork() : [],
      ...content,
    }
  }

  #nextSequence(now: Milliseconds): Milliseconds {
    this.#sequence = Math.max(this.#sequence + 1, Math.round(now - this.#startedAt))
    return this.#sequence
  }

  #hearsay(now: Milliseconds): Hearsay[] {
    if (now - this.#toldHearsayAt < HEARSAY_EVERY - ROUND_SLACK) return this.#known.news(now)
    this.#toldHearsayAt = now
    return this.#known.hearsay(now)
  }

  #withEcho(message: Gossip, voter: string, now: Milliseconds): Gossip {
    const heard = this.#stamps.get(voter)
    return heard ? { ...message, echo: { stamp: heard.stamp, heldFor: now - heard.at } } : message
  }

  /** Whom this box speaks to. It is asked for with each prompt, and draws the circle only when an entry has changed. */
  get #circle(): Circle {
    const { version } = this.#known
    if (this.#drawn?.version === version) return this.#drawn
    const { box } = this.options.self
    const { entries } = this.#known
    const neighbours = ringNeighbours(box, entries, entry => entry.box)
    const isMesh = neighbours.length === entries.filter(entry => entry.box !== box).length
    this.#drawn = { version, neighbours, isMesh }
    return this.#drawn
  }

  /** Every box is linked to every other, so that each knows the work of all. */
  get isMesh(): boolean {
    return this.#circle.isMesh
  }

  /** Boxes that know of others than this one does may take it for a neighbour: it can ask them only over a link. */
  #speakers(): BoxEntry[] {
    const now = this.options.clock.now()
    const isRecent = ({ box }: BoxEntry) =>
      now - (this.#spokeAt.get(box) ?? -Infinity) < SILENT_AFTER
    return this.#known.entries.filter(isRecent)
  }

  #link(): void {
    const linked = new Set([...this.#circle.neighbours, ...this.#listeners, ...this.#speakers()])
    const peers = [...linked].map(({ box, peerAddress }) => ({ box, address: peerAddress }))
    this.options.transport.link(peers)
  }

  #reply(to: PeerIdentity, message: GatewayMessage): void {
    this.options.transport.send(voterOf(to), message)
  }

  #hearGossip(from: PeerIdentity, message: Gossip): void {
    const { clock, log, onRollouts, onVerdicts, onWork, onStoreClock } = this.options
    const now = clock.now()
    this.#stamps.set(voterOf(from), { stamp: message.stamp, at: now })
    this.#spokeAt.set(from.box, now)
    const { box, dataCentre, entryAddress, peerAddress } = from
    const entry = { box, dataCentre, entryAddress, peerAddress }
    const isChanged = this.#known.hearBox(entry, hashText(from.incarnation), message.own, now)
    if (isChanged) log.note('peer', { peer: box, state: message.own.state })
    const others = unpackHearsay(message.others)
    const knowsAll = others.map(hearsay => this.#known.hearOf(hearsay, now)).every(Boolean)
    if (!knowsAll) this.#ask(from, { type: 'boxes-wanted' })
    onRollouts(message.rollouts)
    onVerdicts(message.verdicts)
    onWork(box, message.work)
    if (message.storeNow !== undefined) onStoreClock(message.storeNow, now)
    if (message.echo) this.#takeProofs(from, message, message.echo)
  }

  #takeProofs(from: PeerIdentity, message: Gossip, echo: NonNullable<Gossip['echo']>): void {
    const { operators, upstreams } = message
    const { onOperatorsProved, onUpstreamsProved } = this.options
    const provedAt = ({ age }: ProofAge) =>
      vouchedAt({ echo: echo.stamp, heldFor: echo.heldFor, age })
    if (operators && onOperatorsProved(operators, provedAt(operators)) === 'wanted')
      this.#ask(from, { type: 'operators-wanted' })
    if (upstreams && onUpstreamsProved(upstreams, provedAt(upstreams)) === 'wanted')
      this.#ask(from, { type: 'upstreams-wanted', stamp: this.options.clock.now() })
  }

  /** Asks one neighbour at a time for what it has. */
  #ask(neighbour: PeerIdentity, message: GatewayMessage): void {
    const now = this.options.clock.now()
    const last = this.#asked.get(message.type) ?? -Infinity
    if (now - last < ASK_AGAIN_AFTER) return
    this.#asked.set(message.type, now)
    this.#reply(neighbour, message)
  }
}
