import { MIN_CRASHES_FOR_RESERVATION, type TrialsByUpstream } from '@yewkeel/box'
import type { Upstream } from '../types/upstream.js'

/** Maximum share of the candidates that is reserved for suspects. */
const MAX_RESERVED_SHARE = 0.25

/**
 * Filters the candidates of a request so that crash suspects, requests under which an upstream
 * crashed, are tried apart. A suspect avoids upstreams that run other suspects, so that a crash
 * implicates one of them; from `MIN_CRASHES_FOR_RESERVATION` crashes on it goes to the least loaded
 * of the rest. Other requests avoid reserved upstreams, unless too many are reserved.
 */
export function isolateSuspects(
  candidates: readonly Upstream[],
  crashes: number,
  trials: TrialsByUpstream,
): readonly Upstream[] {
  if (crashes === 0) return trials.size === 0 ? candidates : withoutReserved(candidates, trials)
  const fewestSuspects = Math.min(...candidates.map(({ run }) => trials.get(run)?.count ?? 0))
  const leastSuspected = candidates.filter(
    ({ run }) => (trials.get(run)?.count ?? 0) === fewestSuspects,
  )
  if (crashes < MIN_CRASHES_FOR_RESERVATION) return leastSuspected
  const lowestLoad = Math.min(...leastSuspected.map(({ load }) => load))
  return leastSuspected.filter(({ load }) => load === lowestLoad)
}

function withoutReserved(
  candidates: readonly Upstream[],
  trials: TrialsByUpstream,
): readonly Upstream[] {
  const free = candidates.filter(({ run }) => !trials.get(run)?.isReserved)
  const reserved = candidates.length - free.length
  return reserved <= MAX_RESERVED_SHARE * candidates.length ? free : candidates
}
