/**
 * Crashes of upstreams while they ran a request, or requests with one part in their prompts, as far
 * as a box knows.
 */
export interface Suspicion {
  /** Increases when a completed run clears the other counts; the higher epoch wins a merge. */
  epoch: number
  /** Consecutive crashes that count against the request. */
  crashes: number
  /**
   * Consecutive crashes that do not count, because unrelated upstreams crashed at the same time.
   */
  excused: number
  /** The request is quarantined as the cause of the crashes. */
  isCondemned: boolean
}

/** A request's suspicion at the time it was sent to an upstream. */
export type SuspicionAtSend = Omit<Suspicion, 'isCondemned'>

/** Consecutive crashes that quarantine a request; the limit that operators require. */
export const CRASHES_TO_QUARANTINE = 3
/**
 * Consecutive crashes that quarantine a part of prompts: one more, since the request that is tried
 * may hold another part that crashes upstreams and is not suspected yet.
 */
export const CRASHES_TO_QUARANTINE_PART = 4
/**
 * Crashes of one request that may be excused; without a limit it would be retried throughout an
 * unrelated outage. With it, an innocent request is quarantined only after five crashes in
 * successive runs, without a completed one between.
 */
export const MAX_EXCUSED_CRASHES = 2

export const NO_SUSPICION: Suspicion = { epoch: 0, crashes: 0, excused: 0, isCondemned: false }

/**
 * Returns the suspicion with more evidence. The merge is commutative and idempotent, so all boxes
 * converge.
 */
export function mergeSuspicion(known: Suspicion, received: Suspicion): Suspicion {
  if (received.epoch !== known.epoch) return received.epoch > known.epoch ? received : known
  const more = hasMoreCrashes(received, known) ? received : known
  // Of a part, a crash that condemns and a later one that does not may be reported by two boxes.
  const isCondemned = known.isCondemned || received.isCondemned
  return isCondemned === more.isCondemned ? more : { ...more, isCondemned }
}

function hasMoreCrashes(received: Suspicion, known: Suspicion): boolean {
  if (received.crashes !== known.crashes) return received.crashes > known.crashes
  return received.excused > known.excused
}

/**
 * Records that an upstream crashed while it ran the request. Counts on from the suspicion at send,
 * so that upstreams that crash under concurrent runs count as one crash, and consecutive runs count
 * separately. `limit`: consecutive crashes that quarantine it.
 */
export function recordCrash(
  known: Suspicion,
  { epoch, crashes, excused }: SuspicionAtSend,
  isExcused: boolean,
  limit = CRASHES_TO_QUARANTINE,
): Suspicion {
  const isCondemned = crashes + 1 >= limit
  const next = isExcused
    ? { epoch, crashes, excused: excused + 1, isCondemned: false }
    : { epoch, crashes: crashes + 1, excused, isCondemned }
  return mergeSuspicion(known, next)
}

/**
 * Records that a run of the request completed: clears its suspicion if any crash counted against
 * it.
 */
export function recordCompletion(known: Suspicion): Suspicion {
  return known.crashes === 0 ? known : { ...NO_SUSPICION, epoch: known.epoch + 1 }
}
