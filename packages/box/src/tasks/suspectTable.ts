import { UNSUSPECTED, type Clock, type Milliseconds, type Suspicion } from '@yewkeel/decisions'
import type { ToldTrial } from '../types/suspects.js'

/** One run of a suspect, here or at another box. */
export interface Trial extends ToldTrial {
  /** Whoever holds it may have ended: it stands no longer than this. */
  until: Milliseconds
}

/** A request that was at an upstream when its process ended. */
export interface Suspect extends Suspicion {
  request: string
  /** When something of it was last heard that changed. */
  changedAt: Milliseconds
  trial?: Trial | undefined
  /** A trial has outlasted its time since the last crash. */
  isFree: boolean
  /** Not run before. */
  heldUntil: Milliseconds
  /** Newest trials that were told of, by their holders. */
  told: Map<string, ToldTrial>
  /** Other boxes know of it. */
  isKnown: boolean
  /** The newest runs of upstreams that ended under it. */
  upstreams: string[]
}

/** That a request was cleared is kept while runs of it may be under way that were sent before: the longest go on for 25 s. */
const CLEARED_FOR: Milliseconds = 30_000
/** What is held against a request that comes no more is forgotten after this, and what it was condemned for ... */
const SUSPECTED_FOR: Milliseconds = 5 * 60_000
/** ... after this: it is then tried again, at three upstreams at the most. Upstreams may have been mended meanwhile. */
export const CONDEMNED_FOR: Milliseconds = 10 * 60_000
/**
 * A crash makes suspects of all aboard, 64 on a full engine; beyond this those are forgotten first of which nothing was heard for longest, and
 * condemned ones last. 0.4 MB.
 */
export const MOST_SUSPECTS = 2_000

/** The requests of which something is known, those that changed last at the end. Bounded in number and time. */
export class SuspectTable {
  readonly #suspects = new Map<string, Suspect>()
  /** Condemned requests that have lapsed and were not yet taken. */
  #lapsed: string[] = []

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.#suspects.size
  }

  all(): Suspect[] {
    return [...this.#suspects.values()]
  }

  find(request: string): Suspect | undefined {
    const suspect = this.#suspects.get(request)
    if (!suspect || !this.#isLapsed(suspect)) return suspect
    this.#suspects.delete(request)
    if (suspect.isCondemned) this.#lapsed.push(request)
    return undefined
  }

  /** `suspicion`: what is held against it, if it is not known yet. */
  findOrAdd(request: string, suspicion: Suspicion = UNSUSPECTED): Suspect {
    const known = this.find(request)
    if (known) return known
    if (this.#suspects.size >= MOST_SUSPECTS) this.#forgetOldest()
    const suspect: Suspect = {
      ...suspicion,
      request,
      changedAt: this.clock.now(),
      isFree: false,
      heldUntil: -Infinity,
      told: new Map(),
      isKnown: false,
      upstreams: [],
    }
    this.#suspects.set(request, suspect)
    return suspect
  }

  /** What came of earlier trials counts no more. */
  change(suspect: Suspect, { epoch, crashes, excused, isCondemned }: Suspicion): void {
    Object.assign(suspect, { epoch, crashes, excused, isCondemned })
    suspect.isFree = false
    suspect.trial = undefined
    suspect.changedAt = this.clock.now()
    this.#suspects.delete(suspect.request)
    this.#suspects.set(suspect.request, suspect)
  }

  /** Forgets what has lapsed. Gives the condemned requests among it, each once. */
  takeLapsed(): string[] {
    for (const { request } of this.all()) this.find(request)
    const lapsed = this.#lapsed
    this.#lapsed = []
    return lapsed
  }

  #isLapsed({ changedAt, crashes, isCondemned }: Suspect): boolean {
    const heldFor = isCondemned ? CONDEMNED_FOR : crashes > 0 ? SUSPECTED_FOR : CLEARED_FOR
    return this.clock.now() - changedAt >= heldFor
  }

  #forgetOldest(): void {
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
