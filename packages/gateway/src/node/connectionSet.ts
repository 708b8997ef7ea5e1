/** The connections of this box to one upstream, and the requests that wait for one. */

import {
  acceptTime,
  createConnectionHabits,
  isClean,
  isResting,
  MIN_PART,
  needsHandshake,
  recordCall,
  EXCESS_IDLE_TIME,
  recordIdleClosed,
  recordRejectionTime,
  REST_TIME,
  trustedIdleTime,
  wantedReadyConnections,
  type Milliseconds,
  type RecentCalls,
} from '@yewkeel/decisions'
import { ConnectionCapWatch, type ConnectionCapOptions } from './connectionCapWatch.js'
import { SUITS, type ConnectionNeed, type ConnectionWaiter } from './connectionNeed.js'
import { createTimedConnector } from './connectTimeout.js'
import {
  ConnectionRejectedError,
  UpstreamConnection,
  type ConnectionEnd,
  type ConnectionListener,
} from './upstreamConnection.js'

/** Counted in the metrics. */
export type ConnectionCount = 'opened' | 'ready-used' | 'reused' | ConnectionEnd

export interface ConnectionSetOptions extends ConnectionCapOptions {
  address: string
  /** Whether connections are kept ready for calls that may not be repeated. */
  keepsReady(): boolean
  count(kind: ConnectionCount): void
}

/** Opens, keeps and hands out connections to one upstream. */
export class ConnectionSet {
  readonly #all = new Set<UpstreamConnection>()
  /** Accepted connections that carry no request, the latest used last. */
  readonly #ready: UpstreamConnection[] = []
  readonly #waiting: ConnectionWaiter[] = []
  readonly #calls: RecentCalls = []
  readonly #cap: ConnectionCapWatch
  readonly #habits = createConnectionHabits()
  readonly #connect: ReturnType<typeof createTimedConnector>
  /** Connections that carried nothing and are not yet known to be accepted. */
  readonly #pending = new Set<UpstreamConnection>()
  #isRetired = false
  /** When bytes last came from the upstream, or a handshake. */
  #heardAt: Milliseconds = -Infinity

  constructor(private readonly options: ConnectionSetOptions) {
    this.#connect = createTimedConnector(options.clock)
    this.#cap = new ConnectionCapWatch(options)
  }

  get open(): number {
    return this.#all.size
  }

  get idle(): number {
    return this.#ready.length
  }

  /** Connections that the upstream takes from this box now; infinite where that is not known. */
  get limit(): number {
    // Asked of all upstreams at each pick, and most have rejected none.
    if (!this.#cap.isCapped || !this.options.keepsReady()) return Infinity
    this.#cap.refresh(this.open)
    return this.#cap.limit(this.open, Infinity)
  }

  /** What a request needs; `onNewConnection`: it may not be repeated. */
  needOf(onNewConnection: boolean): ConnectionNeed {
    if (!this.options.keepsReady()) return onNewConnection ? 'unused' : 'open'
    if (onNewConnection) return 'clean'
    return this.#cap.isCapped ? 'proven' : 'open'
  }

  /** Hands out a connection, at once or when there is one. */
  acquire(waiter: ConnectionWaiter): void {
    this.#cap.refresh(this.open)
    if (waiter.need === 'clean') recordCall(this.#calls, this.options.clock.now())
    const ready = this.#mustCheck(waiter.need) ? undefined : this.#take(waiter.need)
    if (ready) this.#assign(ready, waiter)
    else this.#enqueue(waiter)
    if (waiter.need === 'clean') this.#openSpares()
  }

  /** Whether a handshake must show that the upstream is there, and can be tried now. */
  #mustCheck(need: ConnectionNeed): boolean {
    const now = this.options.clock.now()
    if (need !== 'clean' || !needsHandshake(this.#heardAt, now)) return false
    return this.#pending.size > 0 || (!this.#cap.isDelayed && this.#cap.hasRoomToUse(this.open))
  }

  #assign(connection: UpstreamConnection, waiter: ConnectionWaiter): void {
    this.options.count(connection.hasAnswered ? 'reused' : 'ready-used')
    waiter.onAcquired(connection)
  }

  /** Bytes came from the upstream. */
  recordHeard(): void {
    this.#heardAt = this.options.clock.now()
  }

  /** The waiter needs no connection any more. */
  abandon(waiter: ConnectionWaiter): void {
    const index = this.#waiting.indexOf(waiter)
    if (index !== -1) this.#waiting.splice(index, 1)
  }

  /** A connection has carried a whole answer. */
  release(connection: UpstreamConnection): void {
    connection.rest()
    this.#serve(connection)
    if (this.#hasExcess) this.options.clock.after(EXCESS_IDLE_TIME, () => this.#closeExcess())
  }

  /** More connections are open than this box may keep. */
  get #hasExcess(): boolean {
    const { keepsReady, part } = this.options
    return this.open > MIN_PART && keepsReady() && this.open > part()
  }

  #closeExcess(): void {
    const { clock } = this.options
    for (const connection of [...this.#ready]) {
      const isQuiet = clock.now() - connection.quietSince >= EXCESS_IDLE_TIME
      if (isQuiet && this.#hasExcess) this.discard(connection)
    }
  }

  /** Closes a connection. */
  discard(connection: UpstreamConnection): void {
    this.#forget(connection)
    connection.close()
  }

  /** The upstream rejected a connection. */
  recordRejection({ quietFor }: UpstreamConnection): void {
    const { clock, count, keepsReady } = this.options
    recordRejectionTime(this.#habits, quietFor, clock.now())
    count('rejected')
    if (keepsReady()) this.#cap.recordRejected(this.open - this.#pending.size, this.open)
  }

  /** A rejection is told apart, since it says nothing against the health of the upstream. */
  rejectionOf(error: Error): Error {
    return this.options.keepsReady() ? new ConnectionRejectedError(error) : error
  }

  /** Bytes came that belong to no request. */
  recordSurplus(): void {
    this.#habits.surplusAt = this.options.clock.now()
  }

  /** The upstream closes idle connections after this time. */
  recordAnnouncedIdleTime(announced: Milliseconds): void {
    this.#habits.announced = announced
  }

  /** Closes idle connections now and the others after their exchange; requests that wait go elsewhere. */
  retire(): void {
    this.#isRetired = true
    for (const connection of this.#ready.splice(0)) this.discard(connection)
    if (!this.options.keepsReady()) return
    const waiting = this.#waiting.splice(0)
    queueMicrotask(() => {
      for (const { onFailed } of waiting) onFailed(new ConnectionRejectedError())
    })
  }

  /** The latest used connection that fits; connections that never carried a request are spared. */
  #take(need: ConnectionNeed): UpstreamConnection | undefined {
    const fits = (connection: UpstreamConnection) =>
      connection.isUsable && this.#fits(connection, need)
    const used = this.#ready.findLastIndex(connection => connection.hasAnswered && fits(connection))
    const index = used === -1 ? this.#ready.findLastIndex(fits) : used
    return index === -1 ? undefined : this.#ready.splice(index, 1)[0]
  }

  #fits(connection: UpstreamConnection, need: ConnectionNeed): boolean {
    return SUITS[need](connection, this.#habits, this.options.clock.now())
  }

  #enqueue(waiter: ConnectionWaiter): void {
    const coming = waiter.need === 'clean' ? this.#comingCount : this.#pending.size
    const isCovered = this.#pending.size > 0 && coming > this.#waiting.length
    this.#waiting.push(waiter)
    if (isCovered) return
    const hasRoom = this.#cap.hasRoomToUse(this.open)
    if (!this.options.keepsReady() || this.#makeRoom(hasRoom)) return this.#openOne()
    if (this.#awaitRest()) return
    this.abandon(waiter)
    queueMicrotask(() => waiter.onFailed(new ConnectionRejectedError()))
  }

  /** Connections that waiting requests get once a handshake has shown that the upstream is there. */
  get #comingCount(): number {
    const now = this.options.clock.now()
    const clean = this.#ready.filter(each => each.isUsable && isClean(each, this.#habits, now))
    return this.#pending.size + clean.length
  }

  /**
   * Whether one more connection may be opened. At the limit an idle one that did not suit makes room,
   * which is faster than to wait until it does.
   */
  #makeRoom(hasRoom: boolean): boolean {
    if (this.#cap.isDelayed) return false
    if (hasRoom) return true
    const [unsuitable] = this.#ready
    if (!unsuitable) return false
    this.discard(unsuitable)
    return true
  }

  /** Serves the waiting requests once the connections that rest now have done so. */
  #awaitRest(): boolean {
    const { clock } = this.options
    const resting = this.#ready.filter(connection => isResting(connection, clock.now()))
    if (resting.length === 0) return false
    clock.after(REST_TIME, () => {
      for (const connection of resting) {
        if (!this.#ready.includes(connection) || !connection.isUsable) continue
        this.#removeReady(connection)
        this.#serve(connection)
      }
      const unserved = this.#waiting.splice(this.#pending.size)
      for (const waiter of unserved) this.#enqueue(waiter)
    })
    return true
  }

  #openOne(): void {
    const { address, clock, count } = this.options
    count('opened')
    const connection = new UpstreamConnection({
      address,
      clock,
      connect: this.#connect,
      listener: this.#listener,
      acceptTime: () => acceptTime(this.#habits, clock.now()),
      idleTime: () => trustedIdleTime(this.#habits, clock.now()),
    })
    this.#all.add(connection)
    this.#pending.add(connection)
  }

  /** Called after calls only, so that connections that end unused are not replaced in a loop. */
  #openSpares(): void {
    const { part, clock, keepsReady } = this.options
    if (!keepsReady() || this.#isRetired) return
    const now = clock.now()
    const wanted = wantedReadyConnections(this.#calls, part(), now)
    const coming = Math.max(0, this.#pending.size - this.#waiting.length)
    const clean = this.#ready.filter(
      each => isClean(each, this.#habits, now) || isResting(each, now),
    )
    for (let ready = clean.length + coming; ready < wanted; ready++) {
      if (!this.#cap.hasRoomToKeep(this.open)) return
      this.#openOne()
    }
  }

  readonly #listener: ConnectionListener = {
    onOpen: connection => {
      this.#handleSign()
      const isWanted = this.options.keepsReady() && !this.#isRetired
      if (this.#serveFrom(connection)) this.#pending.delete(connection)
      else if (!isWanted && this.#waiting.length === 0) this.discard(connection)
    },
    onAccepted: connection => {
      this.#pending.delete(connection)
      this.#cap.recordAccepted()
      this.#serve(connection)
      this.#serveWaiting()
      this.#openForUncovered()
      this.#dropOldSpare()
    },
    onEnd: (connection, how, error) => this.#handleEnd(connection, how, error),
  }

  #handleEnd(connection: UpstreamConnection, how: ConnectionEnd, error: Error): void {
    const { clock, count } = this.options
    const wasPending = this.#pending.has(connection)
    this.#forget(connection)
    const isSilent = how === 'unreachable' || how === 'failed'
    if (wasPending && !isSilent) this.#handleSign()
    if (how === 'rejected') this.recordRejection(connection)
    else count(how)
    if (how === 'surplus') this.recordSurplus()
    if (how === 'closed') recordIdleClosed(this.#habits, connection.quietFor, clock.now())
    if (!wasPending) return
    const failed = this.#waiting.splice(isSilent ? 0 : this.#pending.size)
    for (const waiter of failed)
      waiter.onFailed(how === 'rejected' ? this.rejectionOf(error) : error)
  }

  /** A handshake or a reset shows that the upstream is there: calls that wait for a sign go on. */
  #handleSign(): void {
    this.recordHeard()
    this.#serveWaiting()
  }

  /** Other requests may have taken the connections that the last ones waited for. */
  #openForUncovered(): void {
    for (const waiter of this.#waiting.splice(this.#pending.size)) this.#enqueue(waiter)
  }

  /** Gives clean connections to the calls that wait for one. */
  #serveWaiting(): void {
    for (const waiter of [...this.#waiting]) {
      const ready = waiter.need === 'clean' ? this.#take('clean') : undefined
      if (!ready) continue
      this.abandon(waiter)
      this.#assign(ready, waiter)
    }
  }

  /** Keeps no more unused connections than recent calls need, the newest. */
  #dropOldSpare(): void {
    const { part, clock } = this.options
    const unused = this.#ready.filter(({ hasAnswered }) => !hasAnswered)
    const wanted = wantedReadyConnections(this.#calls, part(), clock.now())
    if (unused.length > Math.max(1, wanted)) this.discard(unused[0]!)
  }

  #forget(connection: UpstreamConnection): void {
    this.#all.delete(connection)
    this.#pending.delete(connection)
    this.#removeReady(connection)
  }

  #removeReady(connection: UpstreamConnection): void {
    const index = this.#ready.indexOf(connection)
    if (index !== -1) this.#ready.splice(index, 1)
  }

  /** Gives an accepted connection to the first request that it suits, or keeps it. */
  #serve(connection: UpstreamConnection): void {
    if (this.#serveFrom(connection)) return
    if (this.#isRetired) this.discard(connection)
    else this.#ready.push(connection)
  }

  /** Gives a connection to the first waiting request that it suits. Returns whether there is one. */
  #serveFrom(connection: UpstreamConnection): boolean {
    const index = this.#waiting.findIndex(({ need }) => this.#fits(connection, need))
    if (index === -1) return false
    const [waiter] = this.#waiting.splice(index, 1)
    waiter!.onAcquired(connection)
    return true
  }
}
