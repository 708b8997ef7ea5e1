/** Watches whether an upstream rejects connections of this box, and limits them meanwhile. */

import {
  connectionLimitAt,
  connectionsInUse,
  createConnectionCap,
  isCapped,
  raiseConnectionCap,
  recordConnectionAccepted,
  recordConnectionRejected,
  type Clock,
  type Random,
} from '@yewkeel/decisions'

export interface ConnectionCapOptions {
  clock: Clock
  random: Random
  /** Connections that this box may hold to the upstream. */
  part(): number
  /** Logs that the upstream begins or ceases to reject connections. */
  log(event: 'connections-rejected' | 'connections-accepted', fields: object): void
}

/** The cap on connections to one upstream, with a log event when it begins and when it ends. */
export class ConnectionCapWatch {
  readonly #cap = createConnectionCap()
  #hasLogged = false

  constructor(private readonly options: ConnectionCapOptions) {}

  /** The upstream has rejected connections of late. */
  get isCapped(): boolean {
    return isCapped(this.#cap)
  }

  /** No connection may be opened now, since one was rejected just before. */
  get isDelayed(): boolean {
    return this.options.clock.now() < this.#cap.openAfter
  }

  /** Connections that the upstream takes now; `part` as far as it is known by the caller. */
  limit(open: number, part: number): number {
    return connectionLimitAt(this.#cap, part, open, this.options.clock.now())
  }

  /** Whether one more connection may be opened for a request. */
  hasRoomToUse(open: number): boolean {
    return open < this.limit(open, connectionsInUse(this.options.part()))
  }

  /** Whether one more connection may be opened ahead of need. */
  hasRoomToKeep(open: number): boolean {
    return open < this.limit(open, this.options.part())
  }

  recordAccepted(): void {
    recordConnectionAccepted(this.#cap)
  }

  /** `accepted`: connections that the upstream holds; `open`: those and the ones that are opening. */
  recordRejected(accepted: number, open: number): void {
    const { clock, random } = this.options
    recordConnectionRejected(this.#cap, accepted, random(), clock.now())
    if (this.#hasLogged) return
    this.#hasLogged = true
    this.#log('connections-rejected', open)
  }

  /** Raises the cap by what time has passed since the last rejection. */
  refresh(open: number): void {
    if (!this.isCapped) return
    const { clock, part } = this.options
    raiseConnectionCap(this.#cap, part(), clock.now())
    if (!this.#hasLogged || this.isCapped) return
    this.#hasLogged = false
    this.#log('connections-accepted', open)
  }

  #log(event: 'connections-rejected' | 'connections-accepted', open: number): void {
    const { log, part } = this.options
    log(event, { open, limit: Math.min(this.#cap.limit, part()), part: part() })
  }
}
