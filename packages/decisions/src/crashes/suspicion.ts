/** How often upstreams ended under a request, as far as is known. */
export interface Suspicion {
  /** Rises whenever the request came to a whole answer: what was held against it before counts no more. */
  epoch: number
  /** Crashes in a row that count. */
  crashes: number
  /** Crashes in a row that do not: others ended at the same moment, of which the request was not the cause. */
  excused: number
  isCondemned: boolean
}

/** What was held against a request when it was sent to an upstream. */
export type SuspicionAtSend = Omit<Suspicion, 'isCondemned'>

/** So many crashes in a row condemn a request. The operators' limit. */
export const CRASHES_TO_CONDEMN = 3
/**
 * So many crashes of one request are excused. Without a limit it would be run for as long as other trouble goes on; an innocent one is condemned
 * only if it is at five upstreams that end, each sent after the last end was known, without one answer between.
 */
export const MOST_EXCUSED = 2

export const UNSUSPECTED: Suspicion = { epoch: 0, crashes: 0, excused: 0, isCondemned: false }

/** Of two beliefs the one that rests on more. The same whichever box merges them, in whatever order they come. */
export function mergeSuspicion(known: Suspicion, told: Suspicion): Suspicion {
  if (told.epoch !== known.epoch) return told.epoch > known.epoch ? told : known
  if (told.crashes !== known.crashes) return told.crashes > known.crashes ? told : known
  if (told.excused !== known.excused) return told.excused > known.excused ? told : known
  return told.isCondemned && !known.isCondemned ? told : known
}

/**
 * An upstream ended under a run of the request. Runs count by what was known when they were sent: seven upstreams that end at one moment with
 * the same request aboard are one crash, three that end one after the other are three.
 */
export function noteCrashUnder(
  known: Suspicion,
  { epoch, crashes, excused }: SuspicionAtSend,
  isExcused: boolean,
): Suspicion {
  const next = isExcused
    ? { epoch, crashes, excused: excused + 1, isCondemned: false }
    : { epoch, crashes: crashes + 1, excused, isCondemned: crashes + 1 >= CRASHES_TO_CONDEMN }
  return mergeSuspicion(known, next)
}

/** The request came to a whole answer: it does not crash whoever runs it. */
export function noteWholeAnswer(known: Suspicion): Suspicion {
  return known.crashes === 0 ? known : { ...UNSUSPECTED, epoch: known.epoch + 1 }
}
