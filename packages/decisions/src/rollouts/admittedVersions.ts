import { hashText } from '../utils/rendezvousHash.js'
import type { Random } from '../types/random.js'

/** Current traffic split between the versions of a service. */
export interface TrafficSplit {
  /** The version being rolled out, or rolled back. */
  target: string
  /** Share of requests that go to the target, 0 to 1. */
  share: number
  /** Whether requests with a session stay away from the target. */
  keepsSessions: boolean
}

export interface VersionRequest {
  /** Requests of one session go to the same version. */
  session?: string
}

const BUCKETS = 10_000

/**
 * Whether a request goes to the target. Sessions are assigned by hash, identically on every box.
 */
export function goesToTarget(
  split: TrafficSplit,
  { session }: VersionRequest,
  random: Random,
): boolean {
  if (split.share <= 0) return false
  if (split.share >= 1) return true
  if (session === undefined) return random() < split.share
  if (split.keepsSessions) return false
  return hashText(session) % BUCKETS < split.share * BUCKETS
}

/**
 * Adds the exclusion of rejected versions to `admits`, unless that would exclude every ready
 * version: serving a rolled-back version is better than serving none.
 */
export function excludeRejected(
  rejected: readonly string[],
  admits: (version: string) => boolean,
  ready: Iterable<string>,
): (version: string) => boolean {
  const isAllowed = (version: string) => admits(version) && !rejected.includes(version)
  return [...ready].some(isAllowed) ? isAllowed : admits
}
