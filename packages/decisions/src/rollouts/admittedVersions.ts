import { hashText } from '../utils/rendezvousHash.js'
import type { Random } from '../types/random.js'

/** How a service's versions share its requests now. */
export interface VersionShares {
  /** The version that is rolled out, or that was rolled back. */
  target: string
  /** Share of requests that go to it, 0 to 1. */
  share: number
  keepsSessions: boolean
}

export interface VersionRequest {
  /** Requests of one session stay together. */
  session?: string
}

const BUCKETS = 10_000

/** Whether a request goes to the target. Sessions are dealt by their name, alike on every box. */
export function goesToTarget(
  shares: VersionShares,
  { session }: VersionRequest,
  random: Random,
): boolean {
  if (shares.share <= 0) return false
  if (shares.share >= 1) return true
  if (session === undefined) return random() < shares.share
  if (shares.keepsSessions) return false
  return hashText(session) % BUCKETS < shares.share * BUCKETS
}

/** Where nothing else is left a version that was rolled back serves rather than none. */
export function withoutRejected(
  rejected: readonly string[],
  admits: (version: string) => boolean,
  ready: Iterable<string>,
): (version: string) => boolean {
  const isSound = (version: string) => admits(version) && !rejected.includes(version)
  return [...ready].some(isSound) ? isSound : admits
}
