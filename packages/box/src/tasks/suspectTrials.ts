import type { Clock, Milliseconds } from '@yewkeel/decisions'
import type { ReportedTrial } from '../types/suspects.js'
import { isPart } from './partName.js'
import type { Suspect, Trial } from './suspectTable.js'

/**
 * Others need not wait for the end of a request's trial that has gone on for this long, and for
 * longer than runs that crashed.
 */
const TRIAL_TIMEOUT: Milliseconds = 1_000
/**
 * The trial of a part is followed by the next one if it has gone on for this long: its upstream may
 * be slow, or its box gone.
 */
const PART_TRIAL_TIMEOUT: Milliseconds = 2_000
/** Others wait for no trial longer than this. */
const MAX_TRIAL_TIMEOUT: Milliseconds = 10_000
/**
 * Two boxes that claim a trial at the same moment have heard of each other by then: news take some
 * 10 ms in a mesh.
 */
const CLAIM_SETTLE_DELAY: Milliseconds = 20
/**
 * The same for reserved trials, whose next crash may quarantine a request: news of a busy machine
 * take some 50 ms.
 */
const RESERVED_CLAIM_SETTLE_DELAY: Milliseconds = 60
/** From this number of crashes on, a suspect's trial reserves its upstream. */
export const MIN_CRASHES_FOR_RESERVATION = 2
/**
 * With fewer suspects on trial, a reserved trial runs apart from all others in time: where few
 * upstreams are left, or two boxes place a suspect at the same moment, they would share one.
 */
const MAX_SUSPECTS_TRIED_IN_TURN = 4
/** States of a trial in chronological order. */
const TRIAL_STATE_ORDER: ReportedTrial['state'][] = ['claimed', 'sent', 'over']

/** Number of trials by upstream process, and whether the process is reserved for them. */
export type TrialsByUpstream = ReadonlyMap<string, { count: number; isReserved: boolean }>

export interface SuspectTrialsOptions {
  /** Process of this box, as the holder of its trials. */
  holder: string
  clock: Clock
}

/**
 * The trials of suspects: one at a time over all boxes for each suspect, and apart from those of other
 * suspects, so that a crash implicates one of them.
 */
export class SuspectTrials {
  /** Suspects with a trial at any box, possibly over or timed out. */
  readonly #suspectsOnTrial = new Set<Suspect>()
  #trialCount = 0

  constructor(private readonly options: SuspectTrialsOptions) {}

  /** Starts a trial of this box, and returns it with the delay after which it is known to be the only one. */
  claim(suspect: Suspect): { trial: Trial; settleDelay: Milliseconds } {
    return { trial: this.#start(suspect, TRIAL_TIMEOUT), settleDelay: settleDelayOf(suspect) }
  }

  /** Holds a suspect back for a while, as if it were on trial. */
  hold(suspect: Suspect, duration: Milliseconds): void {
    this.#start(suspect, duration + CLAIM_SETTLE_DELAY)
  }

  /** A trial of this box was sent to an upstream process. */
  recordSend(suspect: Suspect, trial: Trial, upstream: string): void {
    trial.state = 'sent'
    trial.upstream = upstream
    trial.expiresAt = this.options.clock.now() + trialTimeoutOf(suspect)
  }

  /**
   * The current trial. After a sent one times out, a request needs none until its next crash; a part
   * needs one until a run has outlasted those that crashed.
   */
  active(suspect: Suspect): Trial | undefined {
    const { trial } = suspect
    if (!trial || this.options.clock.now() < trial.expiresAt) return trial
    suspect.trial = undefined
    if (trial.state === 'sent') suspect.hasPassedTrial = true
    return undefined
  }

  /**
   * Whether the trial of another suspect comes first: one of both is reserved, and the other was
   * sent, is about to be, or precedes this one among concurrent claims. `ownPart`: the part that a
   * request tries itself.
   */
  mustYield(suspect: Suspect, ownPart: string | undefined): boolean {
    const others = [...this.#suspectsOnTrial].filter(
      other => other !== suspect && other.request !== ownPart && this.active(other) !== undefined,
    )
    if (others.length >= MAX_SUSPECTS_TRIED_IN_TURN) return false
    return others.some(
      other =>
        (isReserved(other) || isReserved(suspect)) &&
        (this.#isSettled(other) || precedes(other, suspect)),
    )
  }

  /** Whether a suspect on trial was sent, or will be as its claim was not contested. */
  #isSettled(suspect: Suspect): boolean {
    const { state, expiresAt } = suspect.trial!
    const claimedAt = expiresAt - TRIAL_TIMEOUT
    return state === 'sent' || this.options.clock.now() - claimedAt >= settleDelayOf(suspect)
  }

  /** Merges a trial of another box. Returns whether it is newer than the known state. */
  merge(suspect: Suspect, update: ReportedTrial): boolean {
    if (update.holder === this.options.holder) return false
    if (!isLater(update, suspect.reportedTrials.get(update.holder))) return false
    suspect.reportedTrials.set(update.holder, update)
    const trial = this.active(suspect)
    if (update.state === 'over') {
      if (trial?.holder === update.holder) suspect.trial = undefined
      return true
    }
    // Of concurrent claims the lower holder id wins; a trial that was already sent continues.
    const isFirst = !trial || trial.holder === update.holder || update.holder < trial.holder
    if (trial?.state === 'sent' || !isFirst) return true
    const timeout = update.state === 'sent' ? trialTimeoutOf(suspect) : TRIAL_TIMEOUT
    this.#set(suspect, { ...update, expiresAt: this.options.clock.now() + timeout })
    return true
  }

  /** Current trials by upstream process. */
  byUpstream(): TrialsByUpstream {
    const trials = new Map<string, { count: number; isReserved: boolean }>()
    for (const suspect of this.#suspectsOnTrial) {
      const trial = this.active(suspect)
      if (!trial) this.#suspectsOnTrial.delete(suspect)
      const upstream = trial?.upstream
      if (upstream === undefined) continue
      const at = trials.get(upstream) ?? { count: 0, isReserved: false }
      at.count++
      at.isReserved ||= isReserved(suspect)
      trials.set(upstream, at)
    }
    return trials
  }

  /** Starts a trial of this box that expires after `timeout`. */
  #start(suspect: Suspect, timeout: Milliseconds): Trial {
    const { clock, holder } = this.options
    const until = clock.now() + timeout
    const trial: Trial = { holder, number: ++this.#trialCount, state: 'claimed', expiresAt: until }
    this.#set(suspect, trial)
    return trial
  }

  #set(suspect: Suspect, trial: Trial): void {
    suspect.trial = trial
    this.#suspectsOnTrial.add(suspect)
  }
}

/** Whether the trials of a suspect reserve their upstream. */
export function isReserved({ crashes }: Suspect): boolean {
  return crashes >= MIN_CRASHES_FOR_RESERVATION
}

/** For how long a sent trial makes others wait. */
function trialTimeoutOf({ request, runs }: Suspect): Milliseconds {
  const timeout = isPart(request) ? PART_TRIAL_TIMEOUT : TRIAL_TIMEOUT
  return Math.min(MAX_TRIAL_TIMEOUT, Math.max(timeout, runs.survivalTime))
}

function settleDelayOf(suspect: Suspect): Milliseconds {
  return isReserved(suspect) ? RESERVED_CLAIM_SETTLE_DELAY : CLAIM_SETTLE_DELAY
}

/** Which of two concurrent claims comes first: a reserved trial, else that of the lower digest. */
function precedes(suspect: Suspect, other: Suspect): boolean {
  if (isReserved(suspect) !== isReserved(other)) return isReserved(suspect)
  return suspect.request < other.request
}

/** Whether an update is about a later trial of the holder, or a later state of the same trial. */
function isLater(update: ReportedTrial, known: ReportedTrial | undefined): boolean {
  if (!known || update.number !== known.number) return !known || update.number > known.number
  return TRIAL_STATE_ORDER.indexOf(update.state) > TRIAL_STATE_ORDER.indexOf(known.state)
}
