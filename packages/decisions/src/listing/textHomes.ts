import { rankByRendezvous } from '../utils/rendezvousHash.js'
import type { PromptWork, UpstreamCandidate } from './pickUpstream.js'

/**
 * Part of what a home is worth, for the first and the second one: the second takes what the first has no time for, so that
 * a text that many ask for is kept in two places. A fifth is more than chance and leaves the first its own.
 */
export const HOME_SHARES: readonly number[] = [1, 0.2]

/** Fewer shared tokens are read again sooner than a copy of them is worth its transfer. */
const LEAST_COPIED_TOKENS = 1_000

/** The upstreams that keep a prompt's shared parts, if they were read before; the first one first. */
export function textHomes<T extends UpstreamCandidate>(
  { homeKey }: PromptWork,
  candidates: readonly T[],
): T[] {
  if (homeKey === undefined) return []
  return rankByRendezvous(homeKey, candidates, ({ listed }) => listed.id, HOME_SHARES.length)
}

/**
 * The upstream from which another one copies a prompt's shared parts in place of reading them, if there is one. Copies are
 * asked for with larger models only: a token of the largest takes 44 to 79 us to read and 0.4 us to copy, one of the
 * smallest 5 to 8, and what it costs to move it is more than what reading costs.
 */
export function copySource<T extends UpstreamCandidate>(
  prompt: PromptWork,
  chosen: T,
  candidates: readonly T[],
): T | undefined {
  if (!prompt.isLargerModel || prompt.sharedTokens < LEAST_COPIED_TOKENS) return undefined
  const { version } = chosen.listed
  const alike = candidates.filter(
    ({ listed, isEjected }) => listed.version === version && !isEjected,
  )
  const [home] = textHomes(prompt, alike)
  return home === chosen ? undefined : home
}
