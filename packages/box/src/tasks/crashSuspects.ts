import {
  MOST_EXCUSED,
  mergeSuspicion,
  noteCrashUnder,
  noteWholeAnswer,
  sleep,
  UNSUSPECTED,
  type Clock,
  type Milliseconds,
  type Random,
  type Suspicion,
  type SuspicionAtSend,
} from '@yewkeel/decisions'
import type { CondemnedEntry, SuspectNews, ToldTrial } from '../types/suspects.js'
import { RecentAnswers } from './recentAnswers.js'
import { RecentCrashes } from './recentCrashes.js'
import { SuspectTable, type Suspect, type Trial } from './suspectTable.js'

/** The run of an upstream that ended, and the request that was aboard. */
export interface CrashUnder {
  request: string
  atSend: SuspicionAtSend
  upstream: string
  service: string
  organisation?: string | undefined
  route: string
  /** It came to a whole answer here a moment ago. */
  hasAnswered: boolean
}

/** Whether a request may be run now. */
export type Turn =
  | { type: 'free' }
  /** It may be run by this request alone, which says how that ends. */
  | { type: 'trial'; trial: Trial }
  | { type: 'condemned' }
  /** It is still run elsewhere, and time is up. */
  | { type: 'busy' }

export interface CrashSuspectsOptions {
  /** The run of this box. */
  holder: string
  clock: Clock
  random: Random
  /** A line of the log. */
  note(event: string, fields: object): void
  /** Tells the other boxes. */
  tell(news: readonly SuspectNews[]): void
  /** Every box is linked to every other, so that news go one way once. */
  isMesh(): boolean
  /** This box has condemned a request. */
  onCondemned(entry: CondemnedEntry): void
}

/**
 * A run that has gone on for this long did not crash its upstream as it began; others need not wait for its end. Crashes seen came 45 to 120 ms after
 * the run began, and up to 0.3 s after it was sent.
 */
const TRIAL_TIME: Milliseconds = 1_000
/** Two boxes that claim a trial at the same moment have heard of each other by then: news take some 10 ms in a mesh. */
const SETTLE_TIME: Milliseconds = 20
/** Whoever waits for another's trial looks again after this. */
const LOOK_AGAIN: Milliseconds = 12
/** By then other boxes have told of what else ended at the same moment. */
const DELIBERATION: Milliseconds = 150
/** After an excuse each suspect waits for a time of its own up to this: five killers that came at the same moment would excuse each other. */
const APART: Milliseconds = 400
/** A suspect under which so many ended is tried at an upstream that gets nothing else meanwhile. */
export const ALONE_FROM = 2
/** In the log and the store. */
const MOST_TOLD_UPSTREAMS = 5
/** In their order. */
const TRIAL_STATES: ToldTrial['state'][] = ['claimed', 'sent', 'over']

/** Suspects on trial by the runs of upstreams, and whether these get nothing else meanwhile. */
export type TrialsAt = ReadonlyMap<string, { count: number; isReserved: boolean }>

/**
 * What the boxes know of requests that were at an upstream when its process ended.
 *
 * A box that takes such an end for the upstream's fault alone sends the request on to the next, and so does each other box: 37 upstreams
 * ended under one stream. So each crash is held against all requests that were aboard, and told; a whole answer clears the request,
 * so that the innocent are cleared by their next run. A suspect is run by one box at a time, away from other suspects,
 * and from the second crash on at an upstream that gets nothing else meanwhile, so that the third crash says whose doing it was.
 */
export class CrashSuspects {
  /** Requests that came to a whole answer here a moment ago. */
  readonly answers: RecentAnswers
  readonly #suspects: SuspectTable
  /** Those that are on trial somewhere; some of their trials may be over. */
  readonly #onTrial = new Set<Suspect>()
  readonly #crashes: RecentCrashes
  #trials = 0

  constructor(private readonly options: CrashSuspectsOptions) {
    this.answers = new RecentAnswers(options.clock)
    this.#suspects = new SuspectTable(options.clock)
    this.#crashes = new RecentCrashes(options.clock)
  }

  /** Nothing is held against any request, so that none need be looked up. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0
  }

  /** What is held against a request now. A copy: a run counts by what was known when it was sent, whatever comes of others meanwhile. */
  find(request: string): Suspicion {
    const { epoch, crashes, excused, isCondemned } = this.#suspects.find(request) ?? UNSUSPECTED
    return { epoch, crashes, excused, isCondemned }
  }

  /** Waits until a request may be run. */
  async takeTurn(request: string, until: Milliseconds): Promise<Turn> {
    const { clock } = this.options
    for (;;) {
      const suspect = this.#suspects.find(request)
      if (!suspect || suspect.crashes === 0) return { type: 'free' }
      if (suspect.isCondemned) return { type: 'condemned' }
      const trial = this.#trialOf(suspect)
      if (suspect.isFree) return { type: 'free' }
      if (!trial && clock.now() >= suspect.heldUntil) {
        const own = this.#claim(suspect, TRIAL_TIME)
        this.#tell(suspect)
        await sleep(clock, SETTLE_TIME)
        if (suspect.trial === own) return { type: 'trial', trial: own }
        continue
      }
      if (clock.now() >= until) return { type: 'busy' }
      await sleep(clock, LOOK_AGAIN)
    }
  }

  /** A trial of this box. `stands` at most. */
  #claim(suspect: Suspect, stands: Milliseconds): Trial {
    const { clock, holder } = this.options
    const until = clock.now() + stands
    const trial: Trial = { holder, number: ++this.#trials, state: 'claimed', until }
    this.#setTrial(suspect, trial)
    return trial
  }

  #setTrial(suspect: Suspect, trial: Trial): void {
    suspect.trial = trial
    this.#onTrial.add(suspect)
  }

  /** A suspect on trial here was sent to an upstream. */
  noteSent(request: string, trial: Trial, upstream: string): void {
    const suspect = this.#suspects.find(request)
    if (suspect?.trial !== trial) return
    trial.state = 'sent'
    trial.upstream = upstream
    trial.until = this.options.clock.now() + TRIAL_TIME
    this.#tell(suspect)
  }

  /** A trial here has ended, whatever came of it. */
  endTrial(request: string, trial: Trial): void {
    const suspect = this.#suspects.find(request)
    if (suspect?.trial !== trial) return
    trial.state = 'over'
    this.#tell(suspect)
    suspect.trial = undefined
  }

  /** The request came to a whole answer. */
  noteWhole(request: string): void {
    const suspect = this.#suspects.find(request)
    if (!suspect || suspect.crashes === 0) return
    if (suspect.isCondemned) this.options.note('request-cleared', { request })
    this.#suspects.change(suspect, noteWholeAnswer(suspect))
    this.#tell(suspect)
  }

  /** An upstream has ended with a request aboard. */
  noteCrash(crash: CrashUnder): void {
    const { request, upstream, service, atSend, hasAnswered } = crash
    const { clock } = this.options
    this.#crashes.note(upstream, service, request, atSend.crashes > 0)
    // A good request that all callers send is aboard of every upstream that ends, before any of its next runs comes to an answer.
    if (hasAnswered) return
    const suspect = this.#suspects.findOrAdd(request, { ...UNSUSPECTED, ...atSend })
    suspect.upstreams = [...suspect.upstreams, upstream].slice(-MOST_TOLD_UPSTREAMS)
    if (atSend.crashes === 0) {
      this.#count(suspect, crash, false)
      clock.after(DELIBERATION, () => this.#tellFirst(suspect, crash))
      return
    }
    // Nobody runs it until it is known what else ended at the same moment.
    this.#claim(suspect, DELIBERATION + SETTLE_TIME)
    this.#tell(suspect, { upstream, service, wasSuspect: true })
    clock.after(DELIBERATION, () => this.#count(suspect, crash, this.#isExcused(suspect, crash)))
  }

  /** In a large fleet the first crash of a request is told only where it can be the cause: see `#tell`. */
  #tellFirst(suspect: Suspect, { request, upstream, service }: CrashUnder): void {
    if (suspect.isKnown || suspect.crashes !== 1) return
    if (this.#crashes.isOneOfMany(upstream, request)) return
    suspect.isKnown = true
    this.#tell(suspect, { upstream, service, wasSuspect: false })
  }

  #isExcused({ excused }: Suspect, { request, upstream }: CrashUnder): boolean {
    return excused < MOST_EXCUSED && this.#crashes.isOneOfMany(upstream, request)
  }

  #count(suspect: Suspect, crash: CrashUnder, isExcused: boolean): void {
    const { request, upstream, service, atSend } = crash
    const next = noteCrashUnder(suspect, atSend, isExcused)
    if (next === suspect) return
    this.#suspects.change(suspect, next)
    if (isExcused) {
      this.options.note('suspect-excused', { request, upstream, excused: suspect.excused })
      suspect.heldUntil = this.options.clock.now() + this.options.random() * APART
    }
    this.#tell(suspect, { upstream, service, wasSuspect: atSend.crashes > 0 })
    if (suspect.isCondemned) this.#condemn(suspect, crash)
  }

  #condemn({ request, crashes, upstreams }: Suspect, { organisation, route }: CrashUnder): void {
    const { note, onCondemned } = this.options
    note('request-condemned', { request, organisation, route, crashes, upstreams })
    onCondemned({ request, crashes, ...(organisation && { organisation }), route, upstreams })
  }

  /** Condemned by runs of boxes before this one. The others are told, too: they start at the same moment. */
  takeCondemned(entries: readonly CondemnedEntry[]): void {
    const news = entries.map(({ request, crashes }) => ({
      ...UNSUSPECTED,
      request,
      crashes,
      isCondemned: true,
    }))
    this.options.tell(this.take(news))
  }

  /** Takes what another box tells. Gives what of it was news. */
  take(news: readonly SuspectNews[]): SuspectNews[] {
    return news.filter(told => this.#take(told))
  }

  #take(told: SuspectNews): boolean {
    const { request, epoch, crashes, excused, isCondemned, trial, crashed } = told
    if (crashed) this.#crashes.note(crashed.upstream, crashed.service, request, crashed.wasSuspect)
    const suspect = this.#suspects.findOrAdd(request)
    const next = mergeSuspicion(suspect, { epoch, crashes, excused, isCondemned })
    const isNews = next !== suspect
    if (isNews) {
      this.#suspects.change(suspect, next)
      if (isCondemned) this.options.note('request-condemned', { request, crashes, told: true })
    }
    suspect.isKnown = true
    const isSame = suspect.epoch === epoch && suspect.crashes === crashes
    return (isSame && trial !== undefined && this.#takeTrial(suspect, trial)) || isNews
  }

  /** True if that is news. */
  #takeTrial(suspect: Suspect, told: ToldTrial): boolean {
    if (told.holder === this.options.holder) return false
    if (!isLater(told, suspect.told.get(told.holder))) return false
    suspect.told.set(told.holder, told)
    const trial = this.#trialOf(suspect)
    if (told.state === 'over') {
      if (trial?.holder === told.holder) suspect.trial = undefined
      return true
    }
    // Of two that claim at the same moment the one goes first whose name does; a run that was sent cannot be taken back.
    const isFirst = !trial || trial.holder === told.holder || told.holder < trial.holder
    if (trial?.state === 'sent' || !isFirst) return true
    this.#setTrial(suspect, { ...told, until: this.options.clock.now() + TRIAL_TIME })
    return true
  }

  /** All that is known, for a box that has just been linked. */
  all(): SuspectNews[] {
    const known = this.#suspects.all().filter(({ crashes, isKnown }) => crashes > 0 && isKnown)
    return known.map(newsOf)
  }

  /** Where suspects are on trial now. */
  trialsAt(): TrialsAt {
    const trials = new Map<string, { count: number; isReserved: boolean }>()
    for (const suspect of this.#onTrial) {
      const trial = this.#trialOf(suspect)
      if (!trial) this.#onTrial.delete(suspect)
      const upstream = trial?.upstream
      if (upstream === undefined) continue
      const at = trials.get(upstream) ?? { count: 0, isReserved: false }
      at.count++
      at.isReserved ||= suspect.crashes >= ALONE_FROM
      trials.set(upstream, at)
    }
    return trials
  }

  /** Forgets what has lapsed. Gives the condemned requests among it. */
  forgetLapsed(): string[] {
    return this.#suspects.takeLapsed()
  }

  /** The trial that stands. One that has outlasted its time leaves the request free to be run until it crashes another. */
  #trialOf(suspect: Suspect): Trial | undefined {
    const { trial } = suspect
    if (!trial || this.options.clock.now() < trial.until) return trial
    suspect.trial = undefined
    if (trial.state === 'sent') suspect.isFree = true
    return undefined
  }

  /**
   * Where news go round a ring, each box hears each of them from some eight neighbours. All that were aboard of some twenty upstreams that end at once would be
   * 0.8 MB for each of 195 boxes (reckoned: 8 requests aboard of each, 4 news of 150 bytes): there only what has a second crash is told of at once.
   */
  #tell(suspect: Suspect, crashed?: SuspectNews['crashed']): void {
    const isTold = this.options.isMesh() || suspect.isKnown || suspect.crashes >= ALONE_FROM
    if (!isTold) return
    suspect.isKnown = true
    this.options.tell([{ ...newsOf(suspect), ...(crashed && { crashed }) }])
  }
}

/** Whether what is told of a holder's trial is of a later one, or of a later state of the same. */
function isLater(told: ToldTrial, known: ToldTrial | undefined): boolean {
  if (!known || told.number !== known.number) return !known || told.number > known.number
  return TRIAL_STATES.indexOf(told.state) > TRIAL_STATES.indexOf(known.state)
}

function newsOf(suspect: Suspect): SuspectNews {
  const { request, epoch, crashes, excused, isCondemned, trial } = suspect
  const told = trial && {
    holder: trial.holder,
    number: trial.number,
    state: trial.state,
    ...(trial.upstream !== undefined && { upstream: trial.upstream }),
  }
  return { request, epoch, crashes, excused, isCondemned, ...(told && { trial: told }) }
}
