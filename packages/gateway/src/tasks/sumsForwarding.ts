import {
  forwarderByMember,
  NO_FORWARDING,
  planForwarding,
  type Clock,
  type ForwardingMember,
  type Milliseconds,
} from '@yewkeel/decisions'
import type {
  ForwardingBranch,
  LoadReport,
  SumsDelivery,
  SumsMessage,
  SumsReceipt,
} from '../types/gossip.js'
import { batchDelay } from './loadSharing.js'
import { packPlainSums, unpackPlainSums, type UpstreamHashes } from './packedSums.js'

export interface SumsForwardingOptions {
  clock: Clock
  self: string
  hashes: UpstreamHashes
  /** Sends sums to boxes, as one object. */
  send(boxes: readonly string[], message: SumsMessage): void
  /** The whole report of this box as a relay. */
  wholeReport(): LoadReport
  /** Boxes to which this one forwards for the first time, so that links are needed. */
  onNewTargets(): void
}

/** A receipt, or null from a member that reads packed sums and has got none. */
interface ReceivedReceipt {
  receipt: SumsReceipt | null
  at: Milliseconds
  /** No sums sent long before had failed to come. */
  isUpToDate: boolean
}

/**
 * Bytes of load that a relay or a forwarder sends in a second; 29 KB/s are what a box may spend on
 * control. Reports come less often if they are long.
 */
const MAX_BYTES_PER_SECOND = 27_500
const SECOND: Milliseconds = 1_000
/**
 * Forwarded sums are batched for no longer, unless their bytes ask for it: a box then gets about as
 * many messages as it did when the relay alone sent them all.
 */
const FORWARDED_BATCH_DELAY: Milliseconds = 80
/** Longer intervals would let what is told lapse. */
const MAX_INTERVAL: Milliseconds = 500
/** Members that have just changed forwarders are told twice for less than this, which counts nothing. */
const CHANGE_TIME: Milliseconds = 2_000
/** Bytes of a report beyond its packed sums, and of each entry that is not packed, on average. */
const REPORT_BYTES = 120
const ENTRY_BYTES = 30
/** Bytes of the name of a box that a report is to be forwarded to. */
const NAME_BYTES = 9
/** A member tells a receipt in each round of gossip; after three rounds it is taken for lost. */
const RECEIPT_LIFETIME: Milliseconds = 1_200
/** After this without a receipt a member is taken for an older box. */
const READER_LIFETIME: Milliseconds = 2_500
/** Sums that are not confirmed after this were lost, or come by too slow a forwarder. */
const MAX_LATENESS: Milliseconds = 600
/** So long are stamps of sent sums kept, for receipts that come late. */
const STAMPS_KEPT_FOR: Milliseconds = 3_000
/** A box keeps links to those it forwards to for this long after it last did. */
const TARGET_LIFETIME: Milliseconds = 5_000

/**
 * Carries the sums of a relay to the members of its data centre: through some of them, which forward
 * them to the rest. A member is told directly as well until it has confirmed that it gets the sums
 * through its forwarder, and again when it confirms that no more.
 */
export class SumsForwarding {
  #members: readonly ForwardingMember[] = []
  #plan = NO_FORWARDING
  readonly #receipts = new Map<string, ReceivedReceipt>()
  /** Members that are told directly, and since when. */
  readonly #directSince = new Map<string, Milliseconds>()
  /** Stamps of the sums sent of late, the oldest first. */
  #sentStamps: Milliseconds[] = []
  #nextAt: Milliseconds = -Infinity
  #interval: Milliseconds | undefined
  /** Most members got the last report through others. */
  #isForwarding = false
  /** Bytes sent to other relays since the last report to the members. */
  #bytesElsewhere = 0
  /** The newest sums received, and the newest that came through a forwarder. */
  #newest: SumsReceipt | undefined
  #forwarded: SumsReceipt | undefined
  #receivedAt: Milliseconds = -Infinity
  readonly #targets = new Map<string, Milliseconds>()

  constructor(private readonly options: SumsForwardingOptions) {}

  /** As a relay: time to batch the next report for. */
  get delay(): Milliseconds {
    return Math.max(this.#batchDelay(), this.#nextAt - this.options.clock.now())
  }

  /** Interval between the relay's reports; undefined if it has told none. */
  get interval(): Milliseconds | undefined {
    return this.#interval
  }

  /** Boxes that this one forwards to. */
  targets(): string[] {
    const oldest = this.options.clock.now() - TARGET_LIFETIME
    for (const [box, at] of this.#targets) if (at < oldest) this.#targets.delete(box)
    return [...this.#targets.keys()]
  }

  /** As a relay: sets the members of the data centre. */
  setMembers(members: readonly ForwardingMember[]): void {
    this.#members = members
    const readers = members.filter(({ box }) => this.#readsPacked(box))
    this.#plan = planForwarding(readers, this.#plan)
    const names = new Set(members.map(({ box }) => box))
    for (const box of this.#receipts.keys()) if (!names.has(box)) this.#receipts.delete(box)
  }

  /** As a relay: records that a member reads packed sums, and which it got last. */
  recordReceipt(box: string, receipt: SumsReceipt | null): void {
    const at = this.options.clock.now()
    const forwarder = forwarderByMember(this.#plan).get(box)
    const wasReached = this.#isReached(box, forwarder)
    const missed = this.#sentStamps.find(stamp => stamp > (receipt?.stamp ?? -Infinity))
    const isUpToDate = at - (missed ?? at) <= MAX_LATENESS
    this.#receipts.set(box, { receipt, at, isUpToDate })
    if (wasReached && !isUpToDate) this.#sendWhole(box)
  }

  /** Sends a member at once what it may have missed. */
  #sendWhole(box: string): void {
    const { clock, self, send, wholeReport } = this.options
    const stamp = Math.round(clock.now())
    const delivery = { relay: self, stamp, interval: Math.round(this.delay) }
    send([box], { ...this.#pack(wholeReport()), delivery })
  }

  /** As a relay: counts bytes that were sent to the relays of other data centres. */
  countBytesElsewhere(bytes: number): void {
    this.#bytesElsewhere += bytes
  }

  /** As a relay: sends a report to all members. */
  send(report: LoadReport): void {
    const { clock, self, send } = this.options
    const stamp = Math.round(clock.now())
    const { plain, direct, heads } = this.#recipients()
    if (plain.length > 0) send(plain, { type: 'work-sums', ...report })
    const messages = plain.length + direct.length + heads.length
    this.#isForwarding = 2 * messages < this.#members.length
    const ownDelay = Math.max(this.#batchDelay(), batchDelay(messages))
    this.#setInterval(ownDelay)
    if (direct.length + heads.length === 0) return
    const packed = this.#pack(report)
    const copies = this.#countLasting(direct) + heads.length
    this.#setInterval(Math.max(ownDelay, this.#intervalFor(bytesOf(packed), copies)))
    this.#bytesElsewhere = 0
    this.#sentStamps = [...this.#sentStamps.filter(at => stamp - at <= STAMPS_KEPT_FOR), stamp]
    const delivery: SumsDelivery = { relay: self, stamp, interval: Math.round(this.delay) }
    if (direct.length > 0) send(direct, { ...packed, delivery })
    for (const box of heads)
      send([box], { ...packed, delivery: { ...delivery, forwardTo: this.#branchesBelow(box) } })
  }

  /** As a member: forwards sums if asked to. Returns the report in them, unless it is known. */
  receive(from: string, message: SumsMessage): LoadReport | undefined {
    const { type: _type, delivery, packed, ...report } = message
    this.#receivedAt = this.options.clock.now()
    if (!delivery) return report
    const { forwardTo, ...passedOn } = delivery
    if (forwardTo) this.#forward(forwardTo, { ...message, delivery: passedOn }, passedOn)
    const { relay, stamp, interval } = delivery
    const isForwarded = from !== relay
    const receipt: SumsReceipt = { relay, stamp, ...(isForwarded && { by: from }) }
    if (isForwarded) this.#forwarded = receipt
    if (this.#isKnown(delivery)) return undefined
    this.#newest = receipt
    this.#interval = interval
    return packed ? this.#unpack(report, packed) : report
  }

  /** Whether these sums or newer ones have come. The stamps of a relay that restarts begin anew. */
  #isKnown({ relay, stamp }: SumsDelivery): boolean {
    const newest = this.#newest
    if (newest?.relay !== relay) return false
    return stamp <= newest.stamp && newest.stamp - stamp <= STAMPS_KEPT_FOR
  }

  /**
   * As a member: what to tell the relay; null if it has not sent any that are to be confirmed.
   * Undefined if no sums have come of late, so that there is nothing to tell.
   */
  receiptFor(relay: string): SumsReceipt | null | undefined {
    if (this.options.clock.now() - this.#receivedAt > READER_LIFETIME) return undefined
    const newest = this.#newest
    const forwarded = this.#forwarded
    if (newest?.relay !== relay) return null
    const isCurrent = forwarded?.relay === relay && newest.stamp - forwarded.stamp <= MAX_LATENESS
    return isCurrent ? forwarded : { relay, stamp: newest.stamp }
  }

  #forward(
    branches: readonly ForwardingBranch[],
    message: SumsMessage,
    delivery: SumsDelivery,
  ): void {
    const { send } = this.options
    const leaves = branches.filter(branch => typeof branch === 'string')
    const forwarders = branches.filter(branch => typeof branch !== 'string')
    this.#addTargets([...leaves, ...forwarders.map(({ box }) => box)])
    if (leaves.length > 0) send(leaves, message)
    for (const { box, forwardTo } of forwarders)
      send([box], { ...message, delivery: { ...delivery, forwardTo } })
  }

  #addTargets(boxes: readonly string[]): void {
    const { clock, onNewTargets } = this.options
    const hasNew = boxes.some(box => !this.#targets.has(box))
    for (const box of boxes) this.#targets.set(box, clock.now())
    if (hasNew) onNewTargets()
  }

  /** Those that a member is to forward to, and those that these are to. */
  #branchesBelow(box: string): ForwardingBranch[] {
    const boxes = this.#plan.children.get(box) ?? []
    return boxes.map((child): ForwardingBranch => {
      const forwardTo = this.#branchesBelow(child)
      return forwardTo.length > 0 ? { box: child, forwardTo } : child
    })
  }

  /** Who is told how: as older boxes read it, directly, or with boxes to forward to. */
  #recipients() {
    const { heads } = this.#plan
    const forwarderOf = forwarderByMember(this.#plan)
    const isHead = new Set(heads)
    const plain: string[] = []
    const direct: string[] = []
    for (const { box } of this.#members) {
      if (!this.#readsPacked(box)) plain.push(box)
      else if (!isHead.has(box) && !this.#isReached(box, forwarderOf.get(box))) direct.push(box)
    }
    return { plain, direct, heads: heads.filter(box => this.#readsPacked(box)) }
  }

  #readsPacked(box: string): boolean {
    const at = this.#receipts.get(box)?.at ?? -Infinity
    return this.options.clock.now() - at <= READER_LIFETIME
  }

  /** Whether a member confirms that it gets the sums through its forwarder. */
  #isReached(box: string, forwarder: string | undefined): boolean {
    const received = this.#receipts.get(box)
    const receipt = received?.receipt
    if (!received || !receipt || forwarder === undefined) return false
    const { clock, self } = this.options
    return (
      receipt.relay === self &&
      receipt.by === forwarder &&
      received.isUpToDate &&
      clock.now() - received.at <= RECEIPT_LIFETIME
    )
  }

  /** Without forwarders, that of a box that tells all members. */
  #batchDelay(): Milliseconds {
    const delay = batchDelay(this.#members.length)
    return this.#isForwarding ? Math.min(delay, FORWARDED_BATCH_DELAY) : delay
  }

  #setInterval(interval: Milliseconds): void {
    this.#interval = interval
    this.#nextAt = this.options.clock.now() + interval
  }

  /** How many of the members that are told directly have been for longer than a change takes. */
  #countLasting(direct: readonly string[]): number {
    const now = this.options.clock.now()
    const names = new Set(direct)
    for (const box of this.#directSince.keys()) if (!names.has(box)) this.#directSince.delete(box)
    for (const box of direct) if (!this.#directSince.has(box)) this.#directSince.set(box, now)
    return direct.filter(box => now - this.#directSince.get(box)! >= CHANGE_TIME).length
  }

  /** Interval in which neither this box nor a forwarder sends more than it may. */
  #intervalFor(bytes: number, copies: number): Milliseconds {
    const { children } = this.#plan
    const most = Math.max(0, ...[...children.values()].map(({ length }) => length))
    const names = children.size > 0 ? NAME_BYTES * this.#members.length : 0
    const busiest = Math.max(bytes * copies + names + this.#bytesElsewhere, bytes * most)
    return Math.min(MAX_INTERVAL, (SECOND * busiest) / MAX_BYTES_PER_SECOND)
  }

  #pack({ entries, remote = [], ...report }: LoadReport): SumsMessage & { packed: Uint8Array } {
    const { packed, rest } = packPlainSums({ near: entries, remote }, this.options.hashes)
    return {
      type: 'work-sums',
      ...report,
      entries: rest.near,
      ...(rest.remote.length > 0 && { remote: rest.remote }),
      packed,
    }
  }

  #unpack({ entries, remote = [], ...report }: LoadReport, packed: Uint8Array): LoadReport {
    const sums = unpackPlainSums(packed, this.options.hashes)
    return {
      ...report,
      entries: [...entries, ...sums.near],
      remote: [...remote, ...sums.remote],
    }
  }
}

function bytesOf({
  packed,
  entries,
  told = [],
  demand = [],
  remote = [],
}: SumsMessage & { packed: Uint8Array }): number {
  const unpacked = entries.length + told.length + demand.length + remote.length
  return REPORT_BYTES + packed.length + ENTRY_BYTES * unpacked
}
