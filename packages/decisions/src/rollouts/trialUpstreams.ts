import { hashText, mixHashes } from '../utils/rendezvousHash.js'
import type { UpstreamCandidate } from '../listing/upstreamCandidate.js'
import type { Milliseconds } from '../types/clock.js'

/** A version on trial, which gets a share of its service's requests. */
export interface VersionTrial {
  version: string
  /** 0 to 1. */
  share: number
  /** Time on the store's clock, so that all boxes choose the same upstreams. */
  storeNow: Milliseconds
}

/**
 * Interval at which the trial moves to other upstreams, so that a few don't decide the result. An
 * engine new to the trial runs less than the others for some seconds; in rounds of 1 s none was
 * ever loaded as they are.
 */
const ROTATION_PERIOD: Milliseconds = 3_000

/**
 * Limits a version on trial to as many upstreams as match its share of the requests, so that each
 * has the load of other versions' upstreams. Spread over more, the trial would miss faults that
 * appear under load.
 */
export function keepTrialUpstreams<T extends UpstreamCandidate>(
  candidates: readonly T[],
  { version, share, storeNow }: VersionTrial,
): readonly T[] {
  const onTrial = candidates.filter(({ listed }) => listed.version === version)
  // Assumes that the other versions have as many upstreams as this one.
  const count = Math.max(1, Math.round((share * onTrial.length) / (1 - share)))
  if (count >= onTrial.length) return candidates
  const healthy = onTrial.filter(({ isEjected }) => !isEjected)
  const rotation = healthy.length > 0 ? healthy : onTrial
  const key = hashText(version)
  rotation.sort((left, right) => mixHashes(key, left.nameHash) - mixHashes(key, right.nameHash))
  const first = Math.floor(storeNow / ROTATION_PERIOD) * count
  const kept = new Set(
    Array.from({ length: count }, (_, offset) => rotation[(first + offset) % rotation.length]),
  )
  return candidates.filter(candidate => candidate.listed.version !== version || kept.has(candidate))
}
