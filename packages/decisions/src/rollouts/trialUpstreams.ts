import { hashText, mixHashes } from '../utils/rendezvousHash.js'
import type { UpstreamCandidate } from '../listing/upstreamCandidate.js'
import type { Milliseconds } from '../types/clock.js'

/** A version that gets a part of its service's requests. */
export interface VersionTrial {
  version: string
  /** 0 to 1. */
  share: number
  /** On the store's clock, so that all boxes choose the same upstreams. */
  storeNow: Milliseconds
}

/**
 * Others follow then, so that no few upstreams decide of the version. An engine that has just come into the trial runs less than
 * the others for as long as an answer takes, some seconds: in rounds of 1 s none was ever loaded as they are.
 */
const ROUND: Milliseconds = 3_000

/**
 * Keeps, of a version on trial, as many upstreams as its share of the requests: each then bears what those of the other versions
 * bear. Spread over all of its engines a trial of 6 % never ran two prompts beside each other, and faults that come with load, or
 * that hold up the other answers of an engine, did not show.
 */
export function keepTrialUpstreams<T extends UpstreamCandidate>(
  candidates: readonly T[],
  { version, share, storeNow }: VersionTrial,
): readonly T[] {
  const suspects = candidates.filter(({ listed }) => listed.version === version)
  // As many for its share as the others have for theirs.
  const count = Math.max(1, Math.round((share * suspects.length) / (1 - share)))
  if (count >= suspects.length) return candidates
  const healthy = suspects.filter(({ isEjected }) => !isEjected)
  const turns = healthy.length > 0 ? healthy : suspects
  const key = hashText(version)
  turns.sort((left, right) => mixHashes(key, left.nameHash) - mixHashes(key, right.nameHash))
  const first = Math.floor(storeNow / ROUND) * count
  const kept = new Set(Array.from({ length: count }, (_, at) => turns[(first + at) % turns.length]))
  return candidates.filter(candidate => candidate.listed.version !== version || kept.has(candidate))
}
