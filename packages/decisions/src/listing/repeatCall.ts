import type { Milliseconds } from '../types/clock.js'

/** What is expected of a call without an answer that could be sent to another upstream. */
export interface RepeatOutlook {
  /** Until the upstream that has it is expected to answer; undefined where it tells no pace. */
  dueIn?: Milliseconds
  /** Expected time of the call at another upstream; undefined where none is known. */
  elsewhere?: Milliseconds
  /** Until the answer is late for its caller. */
  timeLeft: Milliseconds
}

/** An answer that is due is waited for this long, since the time of calls varies. */
const DUE_MARGIN: Milliseconds = 10

/**
 * Time after which a call is to be repeated or looked at again; 0 to repeat it now. A call that is
 * due in time stays where it is, and so does a late one that would be no sooner elsewhere.
 */
export function repeatCallIn({ dueIn, elsewhere, timeLeft }: RepeatOutlook): Milliseconds {
  if (dueIn === undefined || dueIn <= 0) return 0
  const isDueInTime = dueIn <= timeLeft
  const isSoonerElsewhere = elsewhere === undefined || elsewhere < dueIn
  return !isDueInTime && isSoonerElsewhere ? 0 : dueIn + DUE_MARGIN
}
