import { hashText, mixHashes } from '../utils/rendezvousHash.js'
import type { PrefillWork, UpstreamCandidate } from './upstreamCandidate.js'

/** Weight of the cache hit expected at a prefix's home. */
const FIRST_HOME_WEIGHT = 1
/**
 * Weight at the second home, which takes the overflow of a popular prefix from the first. A fifth
 * is more than chance and leaves the first home its own.
 */
const SECOND_HOME_WEIGHT = 0.2
/**
 * Engines from which a data centre gets its own home for each prefix, so that its prompts stay
 * local. With fewer, duplicate prefixes would take too much of their cache memory. In a simulated
 * load of 12 engines in each of three data centres 2 % of the prompts cross at a quarter of the
 * prefill capacity, where one home for all let 67 % cross.
 */
const MIN_ENGINES_FOR_OWN_HOMES = 6

/** Below this many shared tokens, a prefill is cheaper than a transfer. */
const MIN_COPIED_TOKENS = 1_000

/** The two candidates with the highest rendezvous scores. */
interface Ranking<T> {
  first: T
  firstScore: number
  second?: T
  secondScore: number
}

/**
 * The upstreams expected to have a prompt's shared prefix cached, with the weight of a cache hit at
 * each, by rendezvous hashing. The first is the home for callers of `dataCentre`. Empty without a
 * prefix.
 */
export function prefixHomes<T extends UpstreamCandidate>(
  { prefixKey }: PrefillWork,
  candidates: readonly T[],
  dataCentre: string,
): Map<T, number> {
  const homes = new Map<T, number>()
  if (prefixKey === undefined) return homes
  const groupOf = createGroups(candidates)
  const rankings = rankInGroups(hashText(prefixKey), candidates, groupOf)
  const own = rankings.get(groupOf(dataCentre))
  if (own) homes.set(own.first, FIRST_HOME_WEIGHT)
  if (own?.second) homes.set(own.second, SECOND_HOME_WEIGHT)
  for (const ranking of rankings.values())
    if (ranking !== own) homes.set(ranking.first, FIRST_HOME_WEIGHT)
  return homes
}

/** Group of all data centres that are too small for homes of their own. */
const SHARED_GROUP = ''

/** Returns a function from a data centre to the group within which its prefix homes are ranked. */
function createGroups(candidates: readonly UpstreamCandidate[]): (dataCentre: string) => string {
  const engines = new Map<string, number>()
  for (const { listed } of candidates)
    engines.set(listed.dataCentre, (engines.get(listed.dataCentre) ?? 0) + 1)
  return dataCentre =>
    (engines.get(dataCentre) ?? 0) >= MIN_ENGINES_FOR_OWN_HOMES ? dataCentre : SHARED_GROUP
}

function rankInGroups<T extends UpstreamCandidate>(
  key: number,
  candidates: readonly T[],
  groupOf: (dataCentre: string) => string,
): Map<string, Ranking<T>> {
  const rankings = new Map<string, Ranking<T>>()
  for (const candidate of candidates) {
    const score = mixHashes(key, candidate.nameHash)
    const group = groupOf(candidate.listed.dataCentre)
    const known = rankings.get(group)
    if (!known || score > known.firstScore) {
      rankings.set(group, {
        first: candidate,
        firstScore: score,
        ...(known && { second: known.first }),
        secondScore: known?.firstScore ?? -1,
      })
    } else if (score > known.secondScore) {
      known.second = candidate
      known.secondScore = score
    }
  }
  return rankings
}

/**
 * The upstream from which `chosen` should copy the KV cache of the shared prefix, if any: the
 * prefix's home of the same version. Larger models only: for the smallest a prefill is cheaper than
 * a transfer.
 */
export function prefixCopySource<T extends UpstreamCandidate>(
  prompt: PrefillWork,
  chosen: T,
  candidates: readonly T[],
): T | undefined {
  if (!prompt.isLargerModel || prompt.sharedTokens < MIN_COPIED_TOKENS) return undefined
  const { version } = chosen.listed
  const sameVersion = candidates.filter(
    ({ listed, isEjected }) => listed.version === version && !isEjected,
  )
  const homes = prefixHomes(prompt, sameVersion, chosen.listed.dataCentre)
  const [home] = homes.keys()
  return home === chosen ? undefined : home
}
