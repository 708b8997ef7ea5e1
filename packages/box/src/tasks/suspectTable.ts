import { NO_SUSPICION, type Clock, type Milliseconds, type Suspicion } from '@yewkeel/decisions'
import type { ReportedTrial } from '../types/suspects.js'
import { RunTimes } from './runTimes.js'

/** One trial of a suspect request, at this box or another. */
export interface Trial extends ReportedTrial {
  /** When it expires, since its holder may have crashed. */
  expiresAt: Milliseconds
}

/** A request that was in flight at an upstream when its process crashed, or a part of its prompt. */
export interface Suspect extends Suspicion {
  /** Digest of the request, or name of the part. */
  request: string
  /** Of a part: digests of requests with it under which processes crashed. */
  requests: readonly string[]
  /** Crashes since it was quarantined, each in a trial of whether it still crashes upstreams. */
  failedAppeals: number
  /** Since when crashes count against it, without an answer that clears it. */
  suspectedSince: Milliseconds
  /** When its `Suspicion` last changed. */
  changedAt: Milliseconds
  trial?: Trial | undefined
  /** Ages of its runs since `suspectedSince`. */
  runs: RunTimes
  /** Of a request: a sent trial expired without another crash, so that no more are needed. */
  hasPassedTrial: boolean
  /** Earliest time of its next trial. */
  noTrialBefore: Milliseconds
  /** Newest trial reported by each holder. */
  reportedTrials: Map<string, ReportedTrial>
  /** Shared with other boxes. */
  isShared: boolean
  /** The latest upstream processes that crashed with it in flight. */
  upstreams: string[]
}

/**
 * Cleared requests are kept while attempts sent before may still be in flight; the longest run for
 * 25 s.
 */
const CLEARED_TTL: Milliseconds = 30_000
const SUSPECT_TTL: Milliseconds = 5 * 60_000
/**
 * Quarantine ends after this, and the request is tried again at three upstreams at most: upstreams
 * may have been fixed.
 */
export const QUARANTINE_TTL: Milliseconds = 10 * 60_000
/**
 * A crash makes suspects of all requests in flight, 64 on a full engine. Beyond this the least
 * recently changed are evicted, quarantined ones last; it takes 0.4 MB.
 */
export const MAX_SUSPECTS = 2_000

/** Suspect, cleared and quarantined requests, by time of last change. Bounded in size and age. */
export class SuspectTable {
  readonly #suspects = new Map<string, Suspect>()
  /** Requests whose quarantine has expired, until `takeExpiredQuarantines` returns them. */
  #expiredQuarantines: string[] = []

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.#suspects.size
  }

  all(): Suspect[] {
    return [...this.#suspects.values()]
  }

  /** Removes the entry if it has expired. */
  find(request: string): Suspect | undefined {
    const suspect = this.#suspects.get(request)
    if (!suspect || !this.#isExpired(suspect)) return suspect
    this.#suspects.delete(request)
    if (suspect.isCondemned) this.#expiredQuarantines.push(request)
    return undefined
  }

  /** `suspicion`: state of a new entry. */
  findOrAdd(request: string, suspicion: Suspicion = NO_SUSPICION): Suspect {
    const known = this.find(request)
    if (known) return known
    if (this.#suspects.size >= MAX_SUSPECTS) this.#evictOldest()
    const suspect: Suspect = {
      ...suspicion,
      request,
      requests: [],
      failedAppeals: 0,
      suspectedSince: this.clock.now(),
      changedAt: this.clock.now(),
      runs: new RunTimes(),
      hasPassedTrial: false,
      noTrialBefore: -Infinity,
      reportedTrials: new Map(),
      isShared: false,
      upstreams: [],
    }
    this.#suspects.set(request, suspect)
    return suspect
  }

  /** Updates the suspicion and discards the outcome of earlier trials. */
  update(suspect: Suspect, { epoch, crashes, excused, isCondemned }: Suspicion): void {
    const isNewlySuspected = suspect.crashes === 0 || epoch !== suspect.epoch
    if (isNewlySuspected) {
      suspect.suspectedSince = this.clock.now()
      suspect.runs = new RunTimes()
    }
    const isFailedAppeal = suspect.isCondemned && isCondemned && crashes > suspect.crashes
    suspect.failedAppeals = isFailedAppeal ? suspect.failedAppeals + 1 : 0
    Object.assign(suspect, { epoch, crashes, excused, isCondemned })
    suspect.hasPassedTrial = false
    suspect.trial = undefined
    suspect.changedAt = this.clock.now()
    this.#suspects.delete(suspect.request)
    this.#suspects.set(suspect.request, suspect)
  }

  /** Removes expired entries. Returns the requests whose quarantine has expired, each once. */
  takeExpiredQuarantines(): string[] {
    for (const { request } of this.all()) this.find(request)
    const expired = this.#expiredQuarantines
    this.#expiredQuarantines = []
    return expired
  }

  #isExpired({ changedAt, crashes, isCondemned }: Suspect): boolean {
    const ttl = isCondemned ? QUARANTINE_TTL : crashes > 0 ? SUSPECT_TTL : CLEARED_TTL
    return this.clock.now() - changedAt >= ttl
  }

  #evictOldest(): void {
    let oldest: string | undefined
    for (const { request, isCondemned } of this.#suspects.values()) {
      oldest ??= request
      if (isCondemned) continue
      oldest = request
      break
    }
    if (oldest !== undefined) this.#suspects.delete(oldest)
  }
}
