import type { Clock, Milliseconds } from '@yewkeel/decisions'
import { CONNECT_TIMEOUT } from '../node/connectTimeout.js'
import type { Upstream } from '../types/upstream.js'

export interface ReachabilityWatchOptions {
  clock: Clock
  /** Whether an upstream accepts a connection. */
  probe(upstream: Upstream): Promise<boolean>
  isListed(upstream: Upstream): boolean
  /** Whether this box has lost its path to the upstream's service, which is probed as a whole. */
  isPathLost(upstream: Upstream): boolean
  /** Called when a probe failed and the upstream sent nothing meanwhile. */
  onUnreachable(upstream: Upstream): void
  /** Called when an unreachable upstream accepts connections again. */
  onReachable(upstream: Upstream): void
}

/**
 * Silence before the first probe, doubled after each probe: an upstream in prefill is silent too,
 * and each probe costs a connection.
 */
const FIRST_PROBE_AFTER: Milliseconds = 400
/**
 * Unreachable upstreams are probed, so that no request is spent on finding out that one is back.
 */
const REPROBE_INTERVAL: Milliseconds = 500

/**
 * Result of a probe. `refused`: failed before the time limit, so the host is up but the process is
 * not.
 */
export type Reachability = 'open' | 'refused' | 'silent'

interface ProbeSchedule {
  /** Start of the silence that is probed. */
  silentSince: Milliseconds
  probeAfter: Milliseconds
}

/**
 * Detects upstreams that vanished without closing connections by probing silent ones: sooner than
 * waiting for the expected time to the first token, which a long prefill stretches.
 */
export class ReachabilityWatch {
  readonly #schedules = new Map<Upstream, ProbeSchedule>()
  readonly #running = new Map<Upstream, Promise<Reachability>>()

  constructor(private readonly options: ReachabilityWatchOptions) {}

  /**
   * Probes silent upstreams that have running requests. `waitingSince`: send time of the oldest
   * running request of each upstream; those left out are no longer watched.
   */
  probeSilent(waitingSince: ReadonlyMap<Upstream, Milliseconds>): void {
    for (const upstream of this.#schedules.keys())
      if (!waitingSince.has(upstream)) this.#schedules.delete(upstream)
    for (const [upstream, since] of waitingSince) this.#probeIfSilent(upstream, since)
  }

  #probeIfSilent(upstream: Upstream, waitingSince: Milliseconds): void {
    const now = this.options.clock.now()
    const silentSince = Math.max(waitingSince, upstream.health.lastHeardAt)
    const known = this.#schedules.get(upstream)
    const schedule =
      known?.silentSince === silentSince ? known : { silentSince, probeAfter: FIRST_PROBE_AFTER }
    this.#schedules.set(upstream, schedule)
    if (now - silentSince < schedule.probeAfter || this.#running.has(upstream)) return
    schedule.probeAfter *= 2
    void this.check(upstream)
  }

  /**
   * Probes an upstream now and reports it if it is unreachable. Concurrent calls share one probe.
   */
  check(upstream: Upstream): Promise<Reachability> {
    const running = this.#running.get(upstream)
    if (running) return running
    const checking = this.#probeOnce(upstream)
    this.#running.set(upstream, checking)
    return checking
  }

  /**
   * Whether an upstream accepts a connection now, whatever arrived from it meanwhile: answers that were
   * under way may arrive after its end.
   */
  accepts(upstream: Upstream): Promise<boolean> {
    return this.options.probe(upstream)
  }

  async #probeOnce(upstream: Upstream): Promise<Reachability> {
    const found = await this.look(upstream)
    this.#running.delete(upstream)
    if (found !== 'open') this.options.onUnreachable(upstream)
    return found
  }

  /** Probes an upstream now without consequences. */
  async look(upstream: Upstream): Promise<Reachability> {
    const { clock, probe } = this.options
    const probedAt = clock.now()
    const isReachable = await probe(upstream)
    if (isReachable || upstream.health.lastHeardAt > probedAt) return 'open'
    return clock.now() - probedAt < CONNECT_TIMEOUT ? 'refused' : 'silent'
  }

  /** Probes an upstream until it is reachable or no longer listed. */
  probeUntilReachable(upstream: Upstream): void {
    const { clock, probe, isListed, isPathLost, onReachable } = this.options
    clock.after(REPROBE_INTERVAL, () => {
      if (!isListed(upstream)) return
      if (isPathLost(upstream)) return this.probeUntilReachable(upstream)
      void probe(upstream).then(isReachable => {
        if (isReachable) onReachable(upstream)
        else this.probeUntilReachable(upstream)
      })
    })
  }
}
