import { hashText, mixHashes } from '../utils/rendezvousHash.js'
import type { PromptWork, UpstreamCandidate } from './upstreamCandidate.js'

/** Part of a text that its home keeps, and what it is worth. */
const HOME_SHARE = 1
/**
 * The second home takes what the first has no time for, so that a text that many ask for is kept in two places. A fifth is
 * more than chance and leaves the first its own.
 */
const SECOND_HOME_SHARE = 0.2
/**
 * A data centre with this many engines has homes of its own: its prompts need not cross, and what its engines have no time
 * for goes to the text's home in another. Fewer engines would give too much of their memory to copies of each text.
 * With 12 engines in each of three data centres 2 % of the prompts cross at a quarter of the load that can be read and 15 %
 * at 0.7 of it, where one home for all let 67 and 61 % cross; at 0.83 of it 99 % begin in time in place of 18 %
 * (played load, `placingLoad.test.ts`).
 */
const OWN_HOMES_FROM = 6

/** Fewer shared tokens are read again sooner than a copy of them is worth its transfer. */
const LEAST_COPIED_TOKENS = 1_000

/** The two that rank highest of some candidates. */
interface Ranking<T> {
  first: T
  firstScore: number
  second?: T
  secondScore: number
}

/**
 * The upstreams that keep a prompt's shared parts, if they were read before, with the part that each is worth. The first is
 * the home for callers of `dataCentre`. By rendezvous, over the hashes of names that candidates carry: among 98 engines it
 * takes 18 us where hashing each name and sorting them took 42 us (means of 20,000 prompts on a busy machine).
 */
export function textHomes<T extends UpstreamCandidate>(
  { homeKey }: PromptWork,
  candidates: readonly T[],
  dataCentre: string,
): Map<T, number> {
  const homes = new Map<T, number>()
  if (homeKey === undefined) return homes
  const groupOf = createGroups(candidates)
  const rankings = rankInGroups(hashText(homeKey), candidates, groupOf)
  const own = rankings.get(groupOf(dataCentre))
  if (own) homes.set(own.first, HOME_SHARE)
  if (own?.second) homes.set(own.second, SECOND_HOME_SHARE)
  for (const ranking of rankings.values()) if (ranking !== own) homes.set(ranking.first, HOME_SHARE)
  return homes
}

/** Data centres with few engines share their homes. */
const SHARED_GROUP = ''

/** Gives for a data centre the group within which its texts have their homes. */
function createGroups(candidates: readonly UpstreamCandidate[]): (dataCentre: string) => string {
  const engines = new Map<string, number>()
  for (const { listed } of candidates)
    engines.set(listed.dataCentre, (engines.get(listed.dataCentre) ?? 0) + 1)
  return dataCentre =>
    (engines.get(dataCentre) ?? 0) >= OWN_HOMES_FROM ? dataCentre : SHARED_GROUP
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
  const homes = textHomes(prompt, alike, chosen.listed.dataCentre)
  const [home] = homes.keys()
  return home === chosen ? undefined : home
}
