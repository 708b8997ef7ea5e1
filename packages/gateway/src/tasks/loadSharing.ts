import type { Clock, Milliseconds, SharingRole, SumEntry } from '@yewkeel/decisions'
import type { LoadReport, ToldEntry } from '../types/gossip.js'
import type { RemoteRooms } from './remoteRooms.js'

/** One kind of load that boxes share, with the state that is kept of it. */
export interface SharedLoad<Entry> {
  /** Entries that changed since the last report; marks them as reported. */
  takeChanges(role: SharingRole): Entry[]
  /** All entries, for receivers that may have missed a change. */
  all(role: SharingRole): Entry[]
  /** Records entries that another box reported for itself. */
  recordFromBox(box: string, entries: readonly Entry[]): void
  /** Records the relay's entries for the whole data centre. */
  recordFromRelay(entries: readonly Entry[]): void
  /** Clears what was sent and received, since a change of role changes both ends. */
  clearReported(): void
}

export interface LoadSharingOptions {
  clock: Clock
  /** Prefill work by upstream. */
  work: SharedLoad<SumEntry>
  /** Loads told by upstreams. */
  told: SharedLoad<ToldEntry>
  /** Requests that want room, by service, urgency and organisation. */
  demand: SharedLoad<SumEntry>
  /** Requests and tokens of other data centres. */
  remote: RemoteRooms
  /** Sends a report to the boxes that receive those of this one. */
  send(report: LoadReport): void
  /** Determines which boxes receive the reports of this one. */
  role(): SharingRole
  /** How many boxes receive them. */
  recipientCount(): number
  /** How many boxes the relay of this data centre reports to; 0 where boxes report directly. */
  memberCount(): number
  /**
   * As a relay, the time to batch the next report for; how far apart a relay's reports come, if that
   * is known.
   */
  sumsPacing?(): { readonly delay: Milliseconds; readonly interval: Milliseconds | undefined }
  /** Sends the sums of this data centre to the relays of the others. */
  sendToRelays(entries: SumEntry[]): void
  /** How many other data centres there are. */
  otherDataCentreCount?(): number
  /** How many other relays there are; 0 unless this box is a relay. */
  relayCount(): number
}

/** Changes are batched for at least this long. */
const BATCH_DELAY: Milliseconds = 15
/**
 * What relays tell each other is batched for this long by relay: with 15 ms and five relays, half of
 * the bytes were around it.
 */
const BATCH_DELAY_PER_RELAY: Milliseconds = 8
/**
 * The batch delay grows with the number of recipients to stay below this rate: a message costs its
 * sender and its receiver some 0.1 ms of processor time together.
 */
const MAX_MESSAGES_PER_SECOND = 200
const SECOND: Milliseconds = 1_000
/** A message between boxes, with the time until it is handled. */
const HOP_TIME: Milliseconds = 5
/** From a box to its relay, to another data centre's, and through a forwarder to a member there. */
const RELAYED_HOPS = 4

/** Exchanges load with other boxes: decides when to report, and which reports to record. */
export class LoadSharing {
  #isSendScheduled = false
  #isRelaySendScheduled = false

  constructor(private readonly options: LoadSharingOptions) {}

  /** Determines which boxes receive the reports of this one. */
  get role(): SharingRole {
    return this.options.role()
  }

  /** Time until what another box sends is known here; 0 without other boxes. */
  get sharingLag(): Milliseconds {
    const { role, recipientCount, memberCount } = this.options
    if (role() === 'direct')
      return recipientCount() === 0 ? 0 : batchDelay(recipientCount()) + HOP_TIME
    const interval = this.options.sumsPacing?.().interval ?? batchDelay(memberCount())
    const amongRelays = relayBatchDelay(this.options.otherDataCentreCount?.() ?? 0)
    return BATCH_DELAY + amongRelays + interval + RELAYED_HOPS * HOP_TIME
  }

  /** Schedules a report of what has changed. */
  scheduleReport(): void {
    this.#scheduleRelaySums()
    this.#scheduleChanges()
  }

  #scheduleChanges(): void {
    if (this.#isSendScheduled) return
    this.#isSendScheduled = true
    const { clock, recipientCount, role, sumsPacing } = this.options
    const ownDelay = role() === 'relay' ? sumsPacing?.().delay : undefined
    clock.after(ownDelay ?? batchDelay(recipientCount()), () => this.#sendChanges())
  }

  /** Schedules what this data centre's relay tells the others, which are fewer than its members. */
  #scheduleRelaySums(): void {
    const { clock, relayCount } = this.options
    const count = relayCount()
    if (count === 0 || this.#isRelaySendScheduled) return
    this.#isRelaySendScheduled = true
    clock.after(relayBatchDelay(count), () => {
      this.#isRelaySendScheduled = false
      const entries = this.options.remote.takeExported()
      if (entries.length > 0) this.options.sendToRelays(entries)
    })
  }

  /** As a relay: schedules what is to be repeated, since receivers may have missed changes. */
  scheduleRepeats(): void {
    if (this.options.role() === 'relay') this.scheduleReport()
  }

  /** Records the sums of another data centre, as its relay tells them. */
  recordFromDataCentre(dataCentre: string, entries: readonly SumEntry[]): void {
    if (this.options.role() !== 'relay') return
    this.options.remote.recordFromDataCentre(dataCentre, entries)
    this.#scheduleChanges()
  }

  /** The whole report of this box in its current role. */
  currentReport(): LoadReport {
    const { work, told, demand, remote } = this.options
    const role = this.options.role()
    return createReport({
      entries: work.all(role),
      told: told.all(role),
      demand: demand.all(role),
      remote: role === 'relay' ? remote.all() : [],
    })
  }

  /** Records another box's report. A member ignores it, since the relay's sums include it. */
  recordFromBox(box: string, { entries, told = [], demand = [] }: LoadReport): void {
    const role = this.options.role()
    if (role === 'member') return
    this.options.work.recordFromBox(box, entries)
    this.options.told.recordFromBox(box, told)
    this.options.demand.recordFromBox(box, demand)
    if (role === 'relay') this.scheduleReport()
  }

  /** Records the relay's report for the data centre. */
  recordFromRelay({ entries, told = [], demand = [], remote }: LoadReport): void {
    if (this.options.role() !== 'member') return
    this.options.work.recordFromRelay(entries)
    this.options.told.recordFromRelay(told)
    this.options.demand.recordFromRelay(demand)
    if (remote) this.options.remote.recordFromRelay(remote)
  }

  /** Clears what is known of other boxes, and what they were sent, after a change of role. */
  changeRole(): void {
    const { work, told, demand, remote } = this.options
    for (const kind of [work, told, demand, remote]) kind.clearReported()
  }

  #sendChanges(): void {
    this.#isSendScheduled = false
    const { work, told, demand, remote } = this.options
    const role = this.options.role()
    const report = createReport({
      entries: work.takeChanges(role),
      told: told.takeChanges(role),
      demand: demand.takeChanges(role),
      remote: role === 'relay' ? remote.takeChanges() : [],
    })
    if (!isEmpty(report)) this.options.send(report)
  }
}

/** Whether a report says nothing, so that it need not be sent. */
export function isEmpty({ entries, told = [], demand = [], remote = [] }: LoadReport): boolean {
  return entries.length + told.length + demand.length + remote.length === 0
}

/** Leaves out kinds of load that say nothing, as most do in most reports. */
function createReport({ entries, told, demand, remote }: Required<LoadReport>): LoadReport {
  return {
    entries,
    ...(told.length > 0 && { told }),
    ...(demand.length > 0 && { demand }),
    ...(remote.length > 0 && { remote }),
  }
}

/** The delay that keeps a box below its rate of messages. */
export function batchDelay(recipients: number): Milliseconds {
  return Math.max(BATCH_DELAY, (SECOND * recipients) / MAX_MESSAGES_PER_SECOND)
}

function relayBatchDelay(relays: number): Milliseconds {
  return Math.max(batchDelay(relays), BATCH_DELAY_PER_RELAY * relays)
}
