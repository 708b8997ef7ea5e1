import type { Clock, Milliseconds } from '@yewkeel/decisions'

/** Upstreams that end within this of each other, with nothing aboard in common, have a cause in common that is no request. */
const AT_ONCE: Milliseconds = 200
/** So many others at once: two may be the doing of two requests. */
const MANY = 2
/** Suspects are tried apart: where one or two were aboard, one of them may be the cause; where many were, they are those of an earlier such moment. */
const FEW = 2
/** Crashes are kept for as long as they may be asked for. */
const KEPT_FOR: Milliseconds = 2_000

interface Crash {
  service: string
  at: Milliseconds
  requests: Set<string>
  /** Those of them under which others had ended before. */
  suspects: Set<string>
}

/** Upstreams that ended a moment ago, by their runs, and the requests that were aboard. */
export class RecentCrashes {
  readonly #crashes = new Map<string, Crash>()

  constructor(private readonly clock: Clock) {}

  note(upstream: string, service: string, request: string, wasSuspect: boolean): void {
    const now = this.clock.now()
    for (const [run, { at }] of this.#crashes) if (now - at > KEPT_FOR) this.#crashes.delete(run)
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

  /** Whether many upstreams of the service ended at the same moment without the request aboard. */
  isOneOfMany(upstream: string, request: string): boolean {
    const own = this.#crashes.get(upstream)
    if (!own) return false
    const others = [...this.#crashes.values()].filter(
      other =>
        other !== own &&
        other.service === own.service &&
        Math.abs(other.at - own.at) < AT_ONCE &&
        !other.requests.has(request) &&
        !isExplained(other),
    )
    return others.length >= MANY
  }
}

function isExplained({ suspects }: Crash): boolean {
  return suspects.size > 0 && suspects.size <= FEW
}
