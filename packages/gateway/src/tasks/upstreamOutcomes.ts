import {
  recordExchange,
  type Clock,
  type ExchangeOutcome,
  type Milliseconds,
} from '@yewkeel/decisions'
import type { EventLog, GatewayMetrics } from '../types/ports.js'
import type { Upstream } from '../types/upstream.js'

export interface UpstreamOutcomesOptions {
  clock: Clock
  log: EventLog
  metrics: GatewayMetrics
  /** All listed upstreams. */
  all(): Iterable<Upstream>
  /** Called when an upstream is ejected because it accepts no connections. */
  onUnreachable(upstream: Upstream): void
  /** Called when an upstream took no connection, or one broke. */
  onLost(upstream: Upstream): void
  /** Called when an upstream is ejected because another process answers at its address. */
  onGone(upstream: Upstream): void
}

/** If no other upstream responded within this time, the box itself may be partitioned. */
const OTHERS_HEARD_WITHIN: Milliseconds = 1_000

/** Outlier ejection: ejects upstreams whose exchanges fail more often than those of the others. */
export class UpstreamOutcomes {
  constructor(private readonly options: UpstreamOutcomesOptions) {}

  record(upstream: Upstream, reported: ExchangeOutcome): void {
    const { clock, log, metrics, onUnreachable, onGone } = this.options
    const outcome =
      reported === 'unreachable' && !this.#hasHeardOthers(upstream) ? 'lost' : reported
    metrics.count('exchanges', outcome)
    if (outcome === 'unreachable' || outcome === 'lost') this.options.onLost(upstream)
    const others = this.#othersBadShare(upstream)
    if (!recordExchange(upstream.health, outcome, others, clock.now())) return
    if (outcome === 'unreachable') onUnreachable(upstream)
    if (outcome === 'gone') onGone(upstream)
    metrics.count('ejections', upstream.listed.service)
    const { id, service, address } = upstream.listed
    const { badShare, samples, ejections } = upstream.health
    log.event('upstream-ejected', {
      upstream: id,
      service,
      address,
      outcome,
      badShare,
      samples,
      ejections,
      others,
    })
  }

  #hasHeardOthers(upstream: Upstream): boolean {
    const since = this.options.clock.now() - OTHERS_HEARD_WITHIN
    return [...this.options.all()].some(
      other => other !== upstream && other.health.lastHeardAt > since,
    )
  }

  #othersBadShare(upstream: Upstream): number {
    let sum = 0
    let count = 0
    for (const other of this.options.all()) {
      if (other === upstream || other.listed.service !== upstream.listed.service) continue
      sum += other.health.badShare
      count++
    }
    return count === 0 ? 0 : sum / count
  }
}
