/**
 * Whether a box still has a path to the upstreams of a service. Answers cuts that hit one box and not
 * its upstreams: these fail for it one by one, while other boxes hear from them.
 */
import type { Milliseconds } from '../types/clock.js'

/** `doubted`: several upstreams failed together, which is being checked. `lost`: no connection opens. */
export type PathState = 'open' | 'doubted' | 'lost'

/** What a box knows of its path to the upstreams of one service. */
export interface ServicePath {
  state: PathState
  /** When each upstream last failed, since one last answered. */
  failedAt: Map<string, Milliseconds>
  /** When a check last found the path to be open. */
  checkedAt: Milliseconds
  /** Since the path was found to be lost or open. */
  since: Milliseconds
  /** Probes in a row that opened a connection since the loss. */
  opened: number
  /** Probes in a row that have to open one until the path counts as open. */
  neededProbes: number
}

/** Failures of an upstream count together with those of others for this long. */
const FAILURE_WINDOW: Milliseconds = 600
/** One upstream that fails is its own matter; two that fail together may share a path. */
const MIN_FAILED_UPSTREAMS = 2
/** Each check costs connections, and upstreams that break some of their answers fail all the time. */
const MIN_CHECK_INTERVAL: Milliseconds = 1_000
/** A path that is lost again this soon after its return is flapping. */
const FLAP_WINDOW: Milliseconds = 5_000
/** Bounds how long a path that has become stable is still avoided. */
const MAX_NEEDED_PROBES = 4

export function createServicePath(now: Milliseconds): ServicePath {
  return {
    state: 'open',
    failedAt: new Map(),
    checkedAt: -Infinity,
    since: now,
    opened: 0,
    neededProbes: 1,
  }
}

/**
 * Records that an upstream took no connection or lost one. Returns whether the path is to be checked:
 * as many upstreams as exist, or several of them, failed together.
 */
export function recordPathFailure(
  path: ServicePath,
  upstream: string,
  upstreamCount: number,
  now: Milliseconds,
): boolean {
  path.failedAt.set(upstream, now)
  for (const [id, at] of path.failedAt) if (now - at > FAILURE_WINDOW) path.failedAt.delete(id)
  const isSuspect = path.failedAt.size >= Math.min(MIN_FAILED_UPSTREAMS, upstreamCount)
  if (path.state !== 'open' || !isSuspect) return false
  if (now - path.checkedAt < MIN_CHECK_INTERVAL) return false
  path.state = 'doubted'
  return true
}

/** Ends the check of a doubted path: `isLost` if no connection opened though others hear the service. */
export function resolveDoubt(path: ServicePath, isLost: boolean, now: Milliseconds): void {
  path.failedAt.clear()
  path.state = isLost ? 'lost' : 'open'
  if (!isLost) {
    path.checkedAt = now
    return
  }
  const isFlapping = now - path.since < FLAP_WINDOW
  path.neededProbes = isFlapping ? Math.min(MAX_NEEDED_PROBES, 2 * path.neededProbes) : 1
  path.opened = 0
  path.since = now
}

/** Records a probe of a lost path. Returns whether the path is open again. */
export function recordPathProbe(path: ServicePath, isOpen: boolean, now: Milliseconds): boolean {
  if (path.state !== 'lost') return false
  path.opened = isOpen ? path.opened + 1 : 0
  if (path.opened < path.neededProbes) return false
  path.state = 'open'
  path.failedAt.clear()
  path.since = now
  return true
}
