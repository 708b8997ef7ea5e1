import { voterOf, type PeerIdentity, type PeerTransport } from '@yewkeel/box'
import {
  ringNeighbours,
  vouchedAt,
  type AnswerCount,
  type Clock,
  type ListedUpstream,
  type Milliseconds,
  type RolloutStatus,
} from '@yewkeel/decisions'
import type {
  BoxReport,
  GatewayMessage,
  GatewayState,
  Gossip,
  ListProofAge,
  ProofAge,
} from '../types/gossip.js'
import type { BoxEntry, EventLog, OperatorState } from '../types/ports.js'
import type { WorkEntry } from './engineWork.js'

/** What a box says of itself and of the store. */
export interface OwnReport {
  state: GatewayState
  answers: AnswerCount[]
  inFlight: [string, number][]
  operators?: ProofAge
  upstreams?: ListProofAge
  rollouts: RolloutStatus[]
  work: WorkEntry[]
  storeNow?: Milliseconds
}

export interface PeerTaskOptions {
  self: PeerIdentity
  clock: Clock
  log: EventLog
  transport: PeerTransport<GatewayMessage>
  own(): OwnReport
  /** A neighbour vouches that the store's newest was this at `provedAt`, on this box's clock. */
  onOperatorsProved(revision: number, provedAt: Milliseconds): 'known' | 'wanted'
  onUpstreamsProved(list: ListProofAge, provedAt: Milliseconds): 'known' | 'wanted'
  onOperators(state: OperatorState): void
  onUpstreams(entries: ListedUpstream[], version: number): void
  onRollouts(statuses: RolloutStatus[]): void
  onWork(box: string, entries: WorkEntry[]): void
  onStoreClock(storeNow: Milliseconds, at: Milliseconds): void
  currentOperators(): OperatorState
  currentUpstreams(): { version: number; entries: ListedUpstream[] }
}

interface KnownBox {
  report: BoxReport
  heardAt: Milliseconds
}

/** A box that was not heard of for this long is not told to callers. Four rounds of gossip. */
const SILENT_AFTER: Milliseconds = 1_600
/** Then it is forgotten. */
const FORGOTTEN_AFTER: Milliseconds = 30_000

/** Boxes tell their neighbours what they and others know; everything is useless when it is late, and small. */
export class PeerTask {
  readonly #boxes = new Map<string, KnownBox>()
  /** Newest stamp of each neighbour by voter, and when it came. */
  readonly #stamps = new Map<string, { stamp: Milliseconds; at: Milliseconds }>()
  /** The present run of each neighbour that there is a link to. */
  readonly #voters = new Map<string, string>()
  readonly #asked = new Map<string, Milliseconds>()
  #entries = new Map<string, BoxEntry>()
  #sequence = 0

  constructor(private readonly options: PeerTaskOptions) {
    options.transport.listen({
      onMessage: (from, message) => this.#hear(from, message),
      onConnected: peer => void this.#voters.set(peer.box, voterOf(peer)),
    })
  }

  /** Boxes entered in the store: where links may be made to. */
  takeEntries(entries: readonly BoxEntry[]): void {
    this.#entries = new Map(entries.map(entry => [entry.box, entry]))
    this.#link()
  }

  get entries(): BoxEntry[] {
    return [...this.#entries.values()]
  }

  /** Other boxes that were heard of a moment ago. */
  live(): BoxReport[] {
    const now = this.options.clock.now()
    return [...this.#boxes.values()]
      .filter(({ heardAt }) => now - heardAt < SILENT_AFTER)
      .map(({ report }) => report)
  }

  /** Boxes among the entries that have been silent for long. */
  forgotten(): string[] {
    return [...this.#entries.keys()].filter(
      box => box !== this.options.self.box && !this.#boxes.has(box),
    )
  }

  /** All that other boxes counted since they began; silent boxes' counts still stand. */
  answers(): AnswerCount[] {
    return [...this.#boxes.values()].flatMap(({ report }) => report.answers)
  }

  othersInFlight(): Map<string, number> {
    const counts = new Map<string, number>()
    for (const report of this.live())
      for (const [key, count] of report.inFlight) counts.set(key, (counts.get(key) ?? 0) + count)
    return counts
  }

  /** One round of gossip. */
  tick(): void {
    const now = this.options.clock.now()
    for (const [box, { heardAt }] of this.#boxes)
      if (now - heardAt > FORGOTTEN_AFTER) this.#boxes.delete(box)
    this.#link()
    const message = this.#compose(now)
    for (const { box } of this.#neighbours()) {
      const voter = this.#voters.get(box)
      if (voter) this.options.transport.send(voter, this.#withEcho(message, voter, now))
    }
  }

  /** Sends what is newest to all neighbours at once. */
  push(message: GatewayMessage): void {
    for (const { box } of this.#neighbours()) {
      const voter = this.#voters.get(box)
      if (voter) this.options.transport.send(voter, message)
    }
  }

  #compose(now: Milliseconds): Gossip {
    const { self, own } = this.options
    const report = own()
    const { box, incarnation, dataCentre, entryAddress, peerAddress } = self
    const { state, answers, inFlight } = report
    const sequence = ++this.#sequence
    const mine = {
      box,
      incarnation,
      dataCentre,
      entryAddress,
      peerAddress,
      state,
      sequence,
      answers,
      inFlight,
    }
    return {
      type: 'gossip',
      stamp: now,
      // Where every box is linked to every other, each speaks for itself alone.
      reports: this.#isMesh() ? [mine] : [mine, ...this.live()],
      rollouts: report.rollouts,
      work: report.work,
      ...(report.operators && { operators: report.operators }),
      ...(report.upstreams && { upstreams: report.upstreams }),
      ...(report.storeNow !== undefined && { storeNow: report.storeNow }),
    }
  }

  #withEcho(message: Gossip, voter: string, now: Milliseconds): Gossip {
    const heard = this.#stamps.get(voter)
    return heard ? { ...message, echo: { stamp: heard.stamp, heldFor: now - heard.at } } : message
  }

  #neighbours(): BoxEntry[] {
    const entries = [...this.#entries.values()]
    return ringNeighbours(this.options.self.box, entries, entry => entry.box)
  }

  #isMesh(): boolean {
    return (
      this.#neighbours().length ===
      this.#entries.size - (this.#entries.has(this.options.self.box) ? 1 : 0)
    )
  }

  #link(): void {
    const peers = this.#neighbours().map(({ box, peerAddress }) => ({ box, address: peerAddress }))
    this.options.transport.link(peers)
  }

  #hear(from: PeerIdentity, message: GatewayMessage): void {
    const voter = voterOf(from)
    switch (message.type) {
      case 'gossip':
        return this.#hearGossip(from, voter, message)
      case 'work':
        return this.options.onWork(from.box, message.entries)
      case 'operators-wanted':
        this.options.transport.send(voter, {
          type: 'operators',
          state: this.options.currentOperators(),
        })
        return
      case 'operators':
        return this.options.onOperators(message.state)
      case 'upstreams-wanted':
        this.options.transport.send(voter, {
          type: 'upstreams',
          ...this.options.currentUpstreams(),
        })
        return
      case 'upstreams':
        return this.options.onUpstreams(message.entries, message.version)
    }
  }

  #hearGossip(from: PeerIdentity, voter: string, message: Gossip): void {
    const now = this.options.clock.now()
    this.#stamps.set(voter, { stamp: message.stamp, at: now })
    if (!this.#entries.has(from.box)) {
      const { box, dataCentre, peerAddress } = from
      this.#entries.set(box, { box, dataCentre, peerAddress })
    }
    for (const report of message.reports) this.#takeReport(report, report.box === from.box, now)
    this.options.onRollouts(message.rollouts)
    this.options.onWork(from.box, message.work)
    if (message.storeNow !== undefined) this.options.onStoreClock(message.storeNow, now)
    if (message.echo) this.#takeProofs(voter, message, message.echo)
  }

  #takeReport(report: BoxReport, isFirstHand: boolean, now: Milliseconds): void {
    if (report.box === this.options.self.box) return
    const entry = this.#boxes.get(report.box)
    const known = entry?.report
    if (known?.incarnation === report.incarnation && known.sequence >= report.sequence) return
    // Sequences of two incarnations cannot be compared: hearsay of another one counts once this one is silent.
    const isOther = known !== undefined && known.incarnation !== report.incarnation
    const isSilent = entry !== undefined && now - entry.heardAt >= SILENT_AFTER
    if (isOther && !isFirstHand && !isSilent) return
    if (known?.state !== report.state)
      this.options.log.note('peer', { peer: report.box, state: report.state, before: known?.state })
    this.#boxes.set(report.box, { report, heardAt: now })
  }

  #takeProofs(voter: string, message: Gossip, echo: NonNullable<Gossip['echo']>): void {
    const { operators, upstreams } = message
    const provedAt = ({ age }: ProofAge) =>
      vouchedAt({ echo: echo.stamp, heldFor: echo.heldFor, age })
    if (operators) {
      const answer = this.options.onOperatorsProved(operators.revision, provedAt(operators))
      if (answer === 'wanted') this.#ask(voter, { type: 'operators-wanted' })
    }
    if (upstreams) {
      const answer = this.options.onUpstreamsProved(upstreams, provedAt(upstreams))
      if (answer === 'wanted') this.#ask(voter, { type: 'upstreams-wanted' })
    }
  }

  /** Asks one neighbour at a time for what it has. */
  #ask(voter: string, message: GatewayMessage): void {
    const now = this.options.clock.now()
    const last = this.#asked.get(message.type) ?? -Infinity
    if (now - last < ASK_AGAIN_AFTER) return
    this.#asked.set(message.type, now)
    this.options.transport.send(voter, message)
  }
}

/** An answer that did not come within this is asked for again, of whoever speaks next. */
const ASK_AGAIN_AFTER: Milliseconds = 150
