import { every, type TaskFailureHandler } from '@yewkeel/box'
import {
  allowanceOf,
  chooseEnded,
  chooseGranted,
  createKeptLimits,
  fitsBody,
  GRANT_BYTES,
  isMemoryShort,
  KEPT_KINDS,
  mayReadOn,
  mustGiveUp,
  type Clock,
  type EndReason,
  type KeptConnection,
  type KeptKind,
  type KeptLimits,
  type Milliseconds,
  type Timer,
} from '@yewkeel/decisions'
import type { EventLog, GatewayMetrics } from '../types/ports.js'
import type { GatewaySettings } from '../types/settings.js'

export interface KeptBytesOptions {
  clock: Clock
  log: EventLog
  metrics: GatewayMetrics
  settings: Pick<GatewaySettings, 'machine' | 'parts'>
}

const CHECK_INTERVAL: Milliseconds = 100

const createCounts = (): Record<KeptKind, number> => ({
  unread: 0,
  gathered: 0,
  arriving: 0,
  sending: 0,
})

/**
 * The bytes that this box keeps in memory for callers and upstreams. Ends the callers that are
 * slowest when they keep an upstream waiting or memory is short.
 */
export class KeptBytes {
  readonly limits: KeptLimits
  readonly #counts = createCounts()
  readonly #callers = new Set<KeptAccount>()
  #total = 0
  #isShort = false

  constructor(private readonly options: KeptBytesOptions) {
    this.limits = createKeptLimits(options.settings.machine.memoryBytes)
    options.metrics.watch('kept', () => this.#counts)
  }

  get total(): number {
    return this.#total
  }

  /** What one connection may keep now. */
  get allowance(): number {
    return this.#isOn ? allowanceOf(this.limits, this.#total) : Infinity
  }

  /** Whether a connection that keeps `bytes` of a body may read on. */
  mayReadOn(bytes: number): boolean {
    return !this.#isOn || mayReadOn(this.limits, this.#total, bytes)
  }

  /** Whether bodies that arrive have to be given up. */
  get mustGiveUp(): boolean {
    return this.#isOn && mustGiveUp(this.limits, this.#total)
  }

  /** Whether a body of this length can be kept now. */
  fitsBody(length: number): boolean {
    return !this.#isOn || (!this.isShort() && fitsBody(this.limits, this.#total, length))
  }

  get #isOn(): boolean {
    return this.options.settings.parts.flowControl
  }

  start(onFailure: TaskFailureHandler): Timer {
    return every(this.options.clock, CHECK_INTERVAL, () => this.check(), onFailure)
  }

  /** Opens the account of a request or a connection; `end` ends a caller's connection. */
  open(id: () => string, end?: () => void): KeptAccount {
    return new KeptAccount(this, this.options.clock, id, end)
  }

  /** Whether new requests have to be rejected; a change is logged. */
  isShort(): boolean {
    const isShort = this.#isOn && isMemoryShort(this.limits, this.#total, this.#isShort)
    if (isShort !== this.#isShort) {
      this.#isShort = isShort
      const event = isShort ? 'memory-short' : 'memory-back'
      this.options.log.event(event, { kept: { ...this.#counts } })
    }
    return isShort
  }

  /** Lets slow callers keep more where memory is free, and ends those that are too slow. */
  check(): void {
    this.isShort()
    if (!this.#isOn || this.#callers.size === 0) return
    const now = this.options.clock.now()
    for (const account of chooseGranted(this.limits, this.#callers, this.#total, now))
      account.grant(GRANT_BYTES)
    for (const { connection, reason } of chooseEnded(this.limits, this.#callers, this.#total, now))
      this.#end(connection, reason, now)
  }

  #end(account: KeptAccount, reason: EndReason, now: Milliseconds): void {
    const { log, metrics } = this.options
    const stall = Math.round(now - account.progressAt)
    log.event('caller-unread', { id: account.id(), why: reason, kept: account.bytes, stall })
    metrics.count('unread', reason)
    account.end()
  }

  /** Used by accounts only. */
  change(account: KeptAccount, kind: KeptKind, bytes: number): void {
    this.#counts[kind] += bytes
    this.#total += bytes
    if (!account.isCaller) return
    if (account.bytes > 0) this.#callers.add(account)
    else this.#callers.delete(account)
  }
}

/** What is kept for one request, or for one answer to a caller. */
export class KeptAccount implements KeptConnection {
  bytes = 0
  holdsUpstream = false
  progressAt: Milliseconds
  readonly #counts = createCounts()
  #granted = 0
  #isReleased = false
  /** Called when it may keep more than before. */
  onGrant: (() => void) | undefined
  #isEnded = false

  constructor(
    private readonly kept: KeptBytes,
    private readonly clock: Clock,
    readonly id: () => string,
    private readonly endCaller?: () => void,
  ) {
    this.progressAt = clock.now()
  }

  /** The connection of a caller, which can be ended. */
  get isCaller(): boolean {
    return this.endCaller !== undefined
  }

  /** The box ended it. */
  get isEnded(): boolean {
    return this.#isEnded
  }

  /** What it may keep now. */
  get allowance(): number {
    return this.kept.allowance + this.#granted
  }

  /** Lets it keep more than its share until it keeps nothing. */
  grant(bytes: number): void {
    this.#granted += bytes
    this.onGrant?.()
  }

  /** Whether a body that arrives may be read on. */
  get mayReadOn(): boolean {
    return this.kept.mayReadOn(this.bytes)
  }

  /** Whether a body that arrives has to be given up. */
  get mustGiveUp(): boolean {
    return this.kept.mustGiveUp
  }

  /** Whether a body of this length can be kept now. */
  fitsBody(length: number): boolean {
    return this.kept.fitsBody(length)
  }

  add(kind: KeptKind, bytes: number): void {
    if (this.#isReleased || bytes === 0) return
    if (this.bytes === 0) this.recordProgress()
    this.#change(kind, bytes)
  }

  remove(kind: KeptKind, bytes = this.#counts[kind]): void {
    this.#change(kind, -Math.min(bytes, this.#counts[kind]))
  }

  /** The caller has read or sent bytes. */
  recordProgress(): void {
    this.progressAt = this.clock.now()
  }

  /** Removes all, also for the future. */
  release(): void {
    for (const kind of KEPT_KINDS) this.remove(kind)
    this.#isReleased = true
  }

  end(): void {
    this.#isEnded = true
    this.endCaller?.()
  }

  #change(kind: KeptKind, bytes: number): void {
    if (bytes === 0) return
    this.#counts[kind] += bytes
    this.bytes += bytes
    if (this.bytes === 0) this.#granted = 0
    this.kept.change(this, kind, bytes)
  }
}
