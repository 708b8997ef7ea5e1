import {
  CRASHES_TO_QUARANTINE,
  CRASHES_TO_QUARANTINE_PART,
  MAX_EXCUSED_CRASHES,
  mergeSuspicion,
  recordCrash,
  recordCompletion,
  sleep,
  NO_SUSPICION,
  type Clock,
  type Milliseconds,
  type Random,
  type Suspicion,
  type SuspicionAtSend,
} from '@yewkeel/decisions'
import type { QuarantineEntry, SuspectUpdate } from '../types/suspects.js'
import { isPart } from './partName.js'
import { RecentAnswers } from './recentAnswers.js'
import { RecentCrashes } from './recentCrashes.js'
import { MIN_SURVIVAL } from './runTimes.js'
import { SuspectTable, type Suspect, type Trial } from './suspectTable.js'
import {
  isReserved,
  MIN_CRASHES_FOR_RESERVATION,
  SuspectTrials,
  type TrialsByUpstream,
} from './suspectTrials.js'

/** The crash of an upstream process, and a request that was in flight there or a part of its prompt. */
export interface RequestCrash {
  /** Digest of the request, or name of the part. */
  request: string
  /** What else must be known of a part. */
  part?: {
    /** Digest of the request that was in flight. */
    request: string
    /** It was in flight as the trial of this part. */
    isTrial: boolean
    /** Other parts of that request that were suspected when it was sent. */
    suspectedBeside: readonly SuspectedPart[]
  }
  /** Its suspicion when the request was sent to the process. */
  atSend: SuspicionAtSend
  /** The upstream's process that crashed. */
  upstream: string
  service: string
  organisation?: string | undefined
  route: string
  /** Age of the run at the crash: of a request since its send, of a part since its answer began. */
  after: Milliseconds
  /** The same request was answered completely at this box recently. */
  wasAnsweredRecently: boolean
}

/** A part of prompts under suspicion, which a later epoch clears. */
export interface SuspectedPart {
  name: string
  epoch: number
}

/** Whether a request may be sent to an upstream now. */
export type Admission =
  | { type: 'free' }
  /** It may be sent as this trial, which the caller ends by `endTrial`. */
  | { type: 'trial'; trial: Trial }
  /** It is quarantined. */
  | { type: 'condemned' }
  /** It was still on trial or held back at the deadline. */
  | { type: 'busy' }

export interface CrashSuspectsOptions {
  /** Process of this box, as the holder of its trials. */
  holder: string
  clock: Clock
  random: Random
  /** Writes a log line. */
  log(event: string, fields: object): void
  /** Sends updates to the other boxes. */
  broadcast(news: readonly SuspectUpdate[]): void
  /** Whether the boxes form a full mesh, in which each receives an update once. */
  isFullMesh(): boolean
  /** Called when a crash at this box quarantines a request. */
  onQuarantined(entry: QuarantineEntry): void
  /**
   * Called when a quarantined request is cleared. `isOwnAnswer`: by an answer of this box, not of
   * another.
   */
  onCleared?(request: string, isOwnAnswer: boolean): void
}

/** Maximum random delay of a reserved trial, so that boxes do not all claim it at once. */
const MAX_RESERVED_DELAY: Milliseconds = 100
const POLL_INTERVAL: Milliseconds = 12
/** Other boxes' reports of simultaneous crashes arrive within this time. */
const CORRELATION_DELAY: Milliseconds = 150
/**
 * Maximum random delay of an excused suspect. Without it, several suspects that came at the same
 * moment would be tried together again and excuse each other.
 */
const MAX_EXCUSED_DELAY: Milliseconds = 400
/** Newest crashed processes that are listed in the log and the store. */
const MAX_REPORTED_UPSTREAMS = 5
/**
 * Different requests with a part that must have crashed processes before it is quarantined; otherwise
 * the one request may be the cause.
 */
const MIN_REQUESTS_TO_QUARANTINE_PART = 2
/**
 * A quarantined part is tried again after this, so that one that was condemned beside another, or
 * whose cause was mended, is let in; each failed trial ends an upstream and makes the next wait longer
 * by the factor.
 */
const FIRST_APPEAL_DELAY: Milliseconds = 20_000
const APPEAL_DELAY_FACTOR = 4
/**
 * Finds the requests that crash upstream processes, and the parts of prompts that do so in whatever
 * request, jointly with the other boxes, and quarantines them, so that they do not crash one upstream
 * after another.
 *
 * A part that many requests share is in flight at most crashes, so that the first crash holds none
 * back, and crashes from the second on count in trials alone. A whole answer clears it; a run that goes
 * on for longer than those that crashed lets others be sent, until a crash shows that it takes longer.
 *
 * A crash makes suspects of all requests in flight at the process; a complete answer clears a
 * request. A suspect is on trial at one box at a time and apart from other suspects. From
 * `MIN_CRASHES_FOR_RESERVATION` crashes on, its upstream is reserved for it, so that another crash
 * identifies the cause.
 */
export class CrashSuspects {
  /** Requests that were answered completely at this box recently. */
  readonly answers: RecentAnswers
  readonly #suspects: SuspectTable
  readonly #trials: SuspectTrials
  readonly #crashes: RecentCrashes

  constructor(private readonly options: CrashSuspectsOptions) {
    this.answers = new RecentAnswers(options.clock)
    this.#suspects = new SuspectTable(options.clock)
    this.#trials = new SuspectTrials(options)
    this.#crashes = new RecentCrashes(options.clock)
  }

  /** Whether there are no entries, so that requests need no digest. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0
  }

  /** A copy of a request's suspicion, to pass as `atSend` if a process crashes under it. */
  find(request: string): Suspicion {
    const { epoch, crashes, excused, isCondemned } = this.#suspects.find(request) ?? NO_SUSPICION
    return { epoch, crashes, excused, isCondemned }
  }

  /**
   * Waits until a request may be sent to an upstream, until `until` at most. `ownPart`: a part of its
   * prompt that it is to try, and need not wait for.
   */
  async waitForAdmission(
    request: string,
    until: Milliseconds,
    ownPart?: string,
  ): Promise<Admission> {
    const { clock } = this.options
    for (;;) {
      const suspect = this.#suspects.find(request)
      if (!suspect || suspect.crashes === 0) return { type: 'free' }
      if (suspect.isCondemned) return { type: 'condemned' }
      this.#trials.active(suspect)
      if (suspect.hasPassedTrial) return { type: 'free' }
      const trial = await this.tryTrial(request, ownPart)
      if (trial) return { type: 'trial', trial }
      if (clock.now() >= until) return { type: 'busy' }
      await sleep(clock, POLL_INTERVAL)
    }
  }

  /** Claims the trial of a suspect if it may be tried now, and waits until no other box has. */
  async tryTrial(request: string, ownPart?: string): Promise<Trial | undefined> {
    const { clock } = this.options
    const suspect = this.#suspects.find(request)
    if (!suspect || this.#trials.active(suspect) || this.#trials.mustYield(suspect, ownPart))
      return undefined
    if (clock.now() < suspect.noTrialBefore) return undefined
    const { trial: own, settleDelay } = this.#trials.claim(suspect)
    this.#broadcast(suspect)
    await sleep(clock, settleDelay)
    if (suspect.trial === own && !this.#trials.mustYield(suspect, ownPart)) return own
    this.endTrial(request, own)
    return undefined
  }

  /** Whether a part is not to be sent but for a trial, or until crashes at one moment are known. */
  isHeld(part: string): boolean {
    const suspect = this.#suspects.find(part)
    if (!suspect || suspect.crashes === 0) return false
    const trial = this.#trials.active(suspect)
    return isReserved(suspect) ? !suspect.runs.hasSurvivor : trial?.state === 'claimed'
  }

  /** Whether a quarantined part may be tried again. */
  mayAppeal(part: string): boolean {
    const suspect = this.#suspects.find(part)
    if (!suspect?.isCondemned) return false
    const delay = FIRST_APPEAL_DELAY * APPEAL_DELAY_FACTOR ** suspect.failedAppeals
    return this.options.clock.now() - suspect.changedAt >= delay
  }

  /** Whether a trial of this box is still its suspect's only one. */
  holdsTrial(request: string, trial: Trial): boolean {
    const suspect = this.#suspects.find(request)
    return suspect !== undefined && this.#trials.active(suspect) === trial
  }

  /** Age at which a run speaks for a part. */
  survivalTimeOf(part: string): Milliseconds {
    return this.#suspects.find(part)?.runs.survivalTime ?? MIN_SURVIVAL
  }

  /** Records that a run with a part, which began to answer at `begunAt`, goes on. */
  recordProgress(part: string, begunAt: Milliseconds): void {
    const suspect = this.#suspects.find(part)
    if (!suspect || suspect.crashes === 0 || begunAt < suspect.suspectedSince) return
    const age = this.options.clock.now() - begunAt
    if (!suspect.runs.recordProgress(age)) return
    if (isReserved(suspect))
      this.options.log('suspect-released', {
        request: part,
        crashes: suspect.crashes,
        age: Math.round(age),
      })
    this.#broadcast(suspect)
  }

  /** Clears a part if a run that was answered completely began when crashes counted against it already. */
  recordWholeAnswer(part: string, begunAt: Milliseconds): void {
    const suspect = this.#suspects.find(part)
    if (suspect && begunAt >= suspect.suspectedSince) this.recordCompleteAnswer(part)
  }

  /** Records that a suspect on trial was sent to an upstream process. */
  recordSend(request: string, trial: Trial, upstream: string): void {
    const suspect = this.#suspects.find(request)
    if (suspect?.trial !== trial) return
    this.#trials.recordSend(suspect, trial, upstream)
    this.#broadcast(suspect)
  }

  /** Ends a trial of this box, whatever its result. */
  endTrial(request: string, trial: Trial): void {
    const suspect = this.#suspects.find(request)
    if (suspect?.trial !== trial) return
    trial.state = 'over'
    this.#broadcast(suspect)
    suspect.trial = undefined
  }

  /** Clears a request that was answered completely. */
  recordCompleteAnswer(request: string): void {
    const suspect = this.#suspects.find(request)
    if (!suspect || suspect.crashes === 0) return
    if (suspect.isCondemned) {
      this.options.log(CLEARED_EVENTS[kindOf(request)], { request })
      this.options.onCleared?.(request, true)
    }
    if (isReserved(suspect))
      this.options.log('suspect-cleared', { request, crashes: suspect.crashes })
    this.#suspects.update(suspect, recordCompletion(suspect))
    this.#broadcast(suspect)
  }

  /** Records the crash of an upstream process with a request in flight. */
  recordCrash(crash: RequestCrash): void {
    const { request, upstream, service, atSend, part, after, wasAnsweredRecently } = crash
    const { clock } = this.options
    const wasSuspect = atSend.crashes >= (part ? MIN_CRASHES_FOR_RESERVATION : 1)
    this.#crashes.record(upstream, service, request, wasSuspect)
    // A popular request is in flight at most processes that crash; its recent answer clears it.
    if (wasAnsweredRecently) return
    const suspect = this.#suspects.findOrAdd(request, { ...NO_SUSPICION, ...atSend })
    if (part && suspect.crashes > 0 && suspect.runs.hasSurvivorOf(after)) return
    if (part) addRequests(suspect, [part.request])
    suspect.upstreams = [...suspect.upstreams, upstream].slice(-MAX_REPORTED_UPSTREAMS)
    if (atSend.crashes === 0) {
      this.#countCrash(suspect, crash, false)
      clock.after(CORRELATION_DELAY, () => this.#learnAge(suspect, crash))
      clock.after(CORRELATION_DELAY, () => this.#broadcastFirstCrash(suspect, crash))
      return
    }
    suspect.hasPassedTrial = false
    clock.after(CORRELATION_DELAY, () => this.#learnAge(suspect, crash))
    // Others than its trials run beside requests that may be the cause.
    if (part && isReserved(suspect) && !part.isTrial)
      return this.#broadcast(suspect, { upstream, service, wasSuspect: true })
    // Holds the request back until simultaneous crashes are known.
    this.#trials.hold(suspect, CORRELATION_DELAY)
    this.#broadcast(suspect, { upstream, service, wasSuspect: true })
    clock.after(CORRELATION_DELAY, () =>
      this.#countCrash(suspect, crash, this.#isExcused(suspect, crash)),
    )
  }

  /** Many upstreams that crash at once do so for another cause, whatever the age of the runs there. */
  #learnAge(suspect: Suspect, { upstream, after, atSend }: RequestCrash): void {
    if (atSend.epoch !== suspect.epoch || this.#crashes.isMassCrash(upstream)) return
    if (suspect.runs.recordCrash({ upstream, after })) this.#broadcast(suspect)
  }

  /** Broadcasts a first crash unless many upstreams crashed simultaneously without the request. */
  #broadcastFirstCrash(suspect: Suspect, { request, upstream, service }: RequestCrash): void {
    if (suspect.isShared || suspect.crashes !== 1) return
    if (this.#crashes.isSimultaneousCrash(upstream, request)) return
    suspect.isShared = true
    this.#broadcast(suspect, { upstream, service, wasSuspect: false })
  }

  #isExcused({ excused }: Suspect, { request, upstream }: RequestCrash): boolean {
    return excused < MAX_EXCUSED_CRASHES && this.#crashes.isSimultaneousCrash(upstream, request)
  }

  #countCrash(suspect: Suspect, crash: RequestCrash, isExcused: boolean): void {
    const { request, upstream, service, atSend } = crash
    const next = recordCrash(suspect, atSend, isExcused, this.#limitOf(suspect, crash))
    if (next === suspect) return
    this.#update(suspect, next)
    if (isExcused) {
      this.options.log('suspect-excused', { request, upstream, excused: suspect.excused })
      suspect.noTrialBefore = this.options.clock.now() + this.options.random() * MAX_EXCUSED_DELAY
    }
    this.#broadcast(suspect, { upstream, service, wasSuspect: atSend.crashes > 0 })
    if (suspect.isCondemned) this.#reportQuarantine(suspect, crash)
  }

  /**
   * Crashes that quarantine a suspect. None do for a part if another part of the request, or the
   * request itself, explains them as well.
   */
  #limitOf({ requests }: Suspect, { part }: RequestCrash): number {
    if (!part) return CRASHES_TO_QUARANTINE
    const isSole = !part.suspectedBeside.some(other => this.#mayExplainCrash(other))
    const isKnown = isSole && requests.length >= MIN_REQUESTS_TO_QUARANTINE_PART
    return isKnown ? CRASHES_TO_QUARANTINE_PART : Infinity
  }

  /** Whether another part of a request is suspected as it was when the request was sent. */
  #mayExplainCrash({ name, epoch }: SuspectedPart): boolean {
    const other = this.#suspects.find(name)
    return other !== undefined && other.epoch === epoch && !other.runs.hasSurvivor
  }

  #update(suspect: Suspect, next: Suspicion): void {
    const { clock, random } = this.options
    this.#suspects.update(suspect, next)
    if (isReserved(suspect)) suspect.noTrialBefore = clock.now() + random() * MAX_RESERVED_DELAY
  }

  #reportQuarantine(
    { request, crashes, upstreams }: Suspect,
    { organisation, route }: RequestCrash,
  ): void {
    const { log, onQuarantined } = this.options
    const event = CONDEMNED_EVENTS[kindOf(request)]
    log(event, { request, organisation, route, crashes, upstreams })
    onQuarantined({ request, crashes, ...(organisation && { organisation }), route, upstreams })
  }

  /** Adds stored quarantined requests and sends those that are new here to the other boxes. */
  addQuarantined(entries: readonly QuarantineEntry[]): void {
    const news = entries.map(({ request, crashes }) => ({
      ...NO_SUSPICION,
      request,
      crashes,
      isCondemned: true,
    }))
    this.options.broadcast(this.merge(news))
  }

  /** The requests that are quarantined now. */
  quarantined(): Pick<QuarantineEntry, 'request' | 'crashes' | 'upstreams'>[] {
    const current = this.#suspects
      .all()
      .flatMap(({ request }) => this.#suspects.find(request) ?? [])
    return current
      .filter(({ isCondemned }) => isCondemned)
      .map(({ request, crashes, upstreams }) => ({ request, crashes, upstreams }))
  }

  /** Merges updates of another box. Returns those that changed anything, to be relayed. */
  merge(news: readonly SuspectUpdate[]): SuspectUpdate[] {
    return news.filter(update => this.#mergeUpdate(update))
  }

  #mergeUpdate(update: SuspectUpdate): boolean {
    const { request, epoch, crashes, excused, isCondemned, runs, trial, crashed } = update
    if (crashed)
      this.#crashes.record(crashed.upstream, crashed.service, request, crashed.wasSuspect)
    const suspect = this.#suspects.findOrAdd(request)
    const next = mergeSuspicion(suspect, { epoch, crashes, excused, isCondemned })
    const hasNewRequests = addRequests(suspect, update.requests ?? [])
    const isNews = next !== suspect
    if (isNews) {
      const wasCondemned = suspect.isCondemned
      if (wasCondemned && !next.isCondemned) this.options.onCleared?.(request, false)
      this.#update(suspect, next)
      const event = CONDEMNED_EVENTS[kindOf(request)]
      if (next.isCondemned && !wasCondemned)
        this.options.log(event, { request, crashes, told: true })
    }
    suspect.isShared = true
    const hasNewTimes = suspect.epoch === epoch && runs !== undefined && suspect.runs.merge(runs)
    const isSame = suspect.epoch === epoch && suspect.crashes === crashes
    const isTrialNews = isSame && trial !== undefined && this.#trials.merge(suspect, trial)
    return isTrialNews || isNews || hasNewRequests || hasNewTimes
  }

  /**
   * Newer states of the requests that another box suspects: it has started since they were cleared
   * or quarantined, or missed it.
   */
  newerThan(news: readonly SuspectUpdate[]): SuspectUpdate[] {
    return news.flatMap(update => {
      const known = this.#suspects.find(update.request)
      const isNewer = known?.isShared && mergeSuspicion(update, known) !== update
      return isNewer ? [toUpdate(known)] : []
    })
  }

  /** All shared suspects, for a newly linked box. */
  updates(): SuspectUpdate[] {
    const known = this.#suspects.all().filter(({ crashes, isShared }) => crashes > 0 && isShared)
    return known.map(toUpdate)
  }

  /** Current trials by upstream process. */
  trialsAt(): TrialsByUpstream {
    return this.#trials.byUpstream()
  }

  /** Removes expired entries. Returns the quarantined requests among them. */
  removeExpired(): string[] {
    return this.#suspects.takeExpiredQuarantines()
  }

  /**
   * Sends an update to the other boxes. Without a full mesh each box receives it from several
   * neighbours, so a suspect with one crash is not sent until it is shared: a mass crash would
   * flood the links.
   */
  #broadcast(suspect: Suspect, crashed?: SuspectUpdate['crashed']): void {
    const isShared =
      this.options.isFullMesh() ||
      suspect.isShared ||
      suspect.crashes >= MIN_CRASHES_FOR_RESERVATION
    if (!isShared) return
    suspect.isShared = true
    this.options.broadcast([{ ...toUpdate(suspect), ...(crashed && { crashed }) }])
  }
}

type SuspectKind = 'part' | 'request'

const CONDEMNED_EVENTS = {
  part: 'part-condemned',
  request: 'request-condemned',
} satisfies Record<SuspectKind, string>
const CLEARED_EVENTS = {
  part: 'part-cleared',
  request: 'request-cleared',
} satisfies Record<SuspectKind, string>

function kindOf(suspect: string): SuspectKind {
  return isPart(suspect) ? 'part' : 'request'
}

/** Adds digests of requests to those of a part, as many as tell them apart. Returns whether any was new. */
function addRequests(suspect: Suspect, requests: readonly string[]): boolean {
  const added = requests.filter(request => !suspect.requests.includes(request))
  if (added.length === 0 || suspect.requests.length >= MIN_REQUESTS_TO_QUARANTINE_PART) return false
  suspect.requests = [...suspect.requests, ...added].slice(0, MIN_REQUESTS_TO_QUARANTINE_PART)
  return true
}

function toUpdate(suspect: Suspect): SuspectUpdate {
  const { request, requests, epoch, crashes, excused, isCondemned, runs, trial } = suspect
  const trialUpdate = trial && {
    holder: trial.holder,
    number: trial.number,
    state: trial.state,
    ...(trial.upstream !== undefined && { upstream: trial.upstream }),
  }
  return {
    request,
    epoch,
    crashes,
    excused,
    isCondemned,
    runs: runs.report(),
    ...(requests.length > 0 && { requests }),
    ...(trialUpdate && { trial: trialUpdate }),
  }
}
