import type { Clock, Milliseconds } from '@yewkeel/decisions'

/** Crashes this close together without a common request are taken not to be due to a request. */
const SIMULTANEOUS_WINDOW: Milliseconds = 200
/**
 * Other simultaneous crashes needed to excuse a suspect. Suspects are tried apart, so that where
 * one or two were in flight one of them may be the cause.
 */
const MIN_OTHER_CRASHES = 2
/**
 * A crash with at most this many suspects in flight is put down to one of them, since suspects are
 * tried separately. More of them stem from an earlier simultaneous crash.
 */
const MAX_EXPLAINING_SUSPECTS = 2
const CRASH_TTL: Milliseconds = 2_000

interface Crash {
  service: string
  at: Milliseconds
  requests: Set<string>
  /** Those of `requests` that had been in flight during earlier crashes. */
  suspects: Set<string>
}

/** Recently crashed upstream processes, with the requests that were in flight at each. */
export class RecentCrashes {
  readonly #crashes = new Map<string, Crash>()

  constructor(private readonly clock: Clock) {}

  /** `upstream`: the crashed process. `wasSuspect`: `request` was in flight at an earlier crash. */
  record(upstream: string, service: string, request: string, wasSuspect: boolean): void {
    const now = this.clock.now()
    for (const [id, { at }] of this.#crashes) if (now - at > CRASH_TTL) this.#crashes.delete(id)
    const crash = this.#crashes.get(upstream) ?? {
      service,
      at: now,
      requests: new Set<string>(),
      suspects: new Set<string>(),
    }
    crash.requests.add(request)
    if (wasSuspect) crash.suspects.add(request)
    this.#crashes.set(upstream, crash)
  }

  /** Whether several upstreams of the service crashed simultaneously without the request. */
  isSimultaneousCrash(upstream: string, request: string): boolean {
    const others = this.#simultaneousWith(upstream)
    const unexplained = others.filter(other => !other.requests.has(request) && !isExplained(other))
    return unexplained.length >= MIN_OTHER_CRASHES
  }

  /** Whether several upstreams of the service crashed simultaneously, under whatever requests. */
  isMassCrash(upstream: string): boolean {
    return this.#simultaneousWith(upstream).length >= MIN_OTHER_CRASHES
  }

  #simultaneousWith(upstream: string): Crash[] {
    const own = this.#crashes.get(upstream)
    if (!own) return []
    return [...this.#crashes.values()].filter(
      other =>
        other !== own &&
        other.service === own.service &&
        Math.abs(other.at - own.at) < SIMULTANEOUS_WINDOW,
    )
  }
}

/** Whether a suspect request is the likely cause. */
function isExplained({ suspects }: Crash): boolean {
  return suspects.size > 0 && suspects.size <= MAX_EXPLAINING_SUSPECTS
}
