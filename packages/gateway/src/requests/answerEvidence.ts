import type { AnswerKey, TimedAspect, VersionEvaluator } from '../tasks/versionEvaluator.js'
import type { Upstream } from '../types/upstream.js'

/** Records what the answers to one request say of the versions of upstreams. */
export class AnswerEvidence {
  constructor(
    private readonly evaluator: VersionEvaluator,
    private readonly route: string,
  ) {}

  /** Counts a success or failure of the upstream's version. */
  recordOutcome(upstream: Upstream, isGood: boolean): void {
    this.evaluator.recordOutcome(this.#keyOf(upstream, ''), isGood)
  }

  /**
   * Records a sample for the upstream's version: for `start` the latency of a call, or the ratio of
   * a stream's time to first event to its estimate; for `pace` the mean time between chunks.
   */
  recordDuration(
    upstream: Upstream,
    model: string | undefined,
    aspect: TimedAspect,
    sample: number,
  ): void {
    this.evaluator.recordDuration(this.#keyOf(upstream, model), aspect, sample)
  }

  /** Records a lower bound of such a sample, of an answer that was cancelled. */
  recordUnfinished(
    upstream: Upstream,
    model: string | undefined,
    aspect: TimedAspect,
    sampleSoFar: number,
  ): void {
    this.evaluator.recordUnfinished(this.#keyOf(upstream, model), aspect, sampleSoFar)
  }

  #keyOf({ listed }: Upstream, model: string | undefined): AnswerKey {
    const { id, service, version } = listed
    return { service, version, route: this.route, model: model ?? '', upstream: id }
  }
}
