import { ALONE_FROM, type TrialsAt } from '@yewkeel/box'
import type { Upstream } from '../types/upstream.js'

/** Upstreams that are kept free for suspects, as a part of those that could take a request. */
const MOST_RESERVED_PART = 0.25

/**
 * Upstreams at which a request may be placed while suspects are tried. A suspect stays away from other suspects, so that a crash speaks against one
 * of them; from the second crash on it goes where it harms the fewest. Other requests stay away from those upstreams, as
 * long as that leaves most of them.
 */
export function placeSuspects(
  candidates: readonly Upstream[],
  crashes: number,
  trials: TrialsAt,
): readonly Upstream[] {
  if (crashes === 0) return trials.size === 0 ? candidates : leaveReserved(candidates, trials)
  const least = Math.min(...candidates.map(({ run }) => trials.get(run)?.count ?? 0))
  const apart = candidates.filter(({ run }) => (trials.get(run)?.count ?? 0) === least)
  if (crashes < ALONE_FROM) return apart
  const fewest = Math.min(...apart.map(({ load }) => load))
  return apart.filter(({ load }) => load === fewest)
}

function leaveReserved(candidates: readonly Upstream[], trials: TrialsAt): readonly Upstream[] {
  const free = candidates.filter(({ run }) => !trials.get(run)?.isReserved)
  const reserved = candidates.length - free.length
  return reserved <= MOST_RESERVED_PART * candidates.length ? free : candidates
}
