import {
  noteExchange,
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
  /** All upstreams that are listed. */
  all(): Iterable<Upstream>
  /** An upstream takes no connections. */
  onUnreachable(upstream: Upstream): void
  /** Another process answers at an upstream's address. */
  onGone(upstream: Upstream): void
}

/** A box that heard no other upstream for this long may itself be cut off: it blames none for that. */
const HEARS_OTHERS_WITHIN: Milliseconds = 1_000

/** Takes upstreams out of use by how exchanges with them went, against how they went with the others. */
export class UpstreamOutcomes {
  constructor(private readonly options: UpstreamOutcomesOptions) {}

  note(upstream: Upstream, seen: ExchangeOutcome): void {
    const { clock, log, metrics, onUnreachable, onGone } = this.options
    const outcome = seen === 'unreachable' && !this.#hearsOthers(upstream) ? 'lost' : seen
    metrics.count('exchanges', outcome)
    const others = this.#othersBadShare(upstream)
    if (!noteExchange(upstream.health, outcome, others, clock.now())) return
    if (outcome === 'unreachable') onUnreachable(upstream)
    if (outcome === 'gone') onGone(upstream)
    metrics.count('ejections', upstream.listed.service)
    const { id, service, address } = upstream.listed
    const { badShare, samples, ejections } = upstream.health
    log.note('upstream-ejected', {
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

  #hearsOthers(upstream: Upstream): boolean {
    const since = this.options.clock.now() - HEARS_OTHERS_WITHIN
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
