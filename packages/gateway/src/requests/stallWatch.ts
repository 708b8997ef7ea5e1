import { every, type TaskFailureHandler } from '@yewkeel/box'
import type { Clock, Milliseconds } from '@yewkeel/decisions'
import type { ReachabilityWatch } from '../tasks/reachabilityWatch.js'
import type { Upstream } from '../types/upstream.js'
import type { RunningExchange } from './exchangeWithUpstream.js'

/** A streamed answer in flight, with its stall thresholds. */
export interface WatchedStream {
  exchange: RunningExchange
  /** How long pending prefill may delay the upstream. */
  expectedDelay(): Milliseconds
  /**
   * The stream has stalled if the upstream sent nothing on any stream for this plus twice the
   * expected delay.
   */
  upstreamStallAfter: Milliseconds
  /** The stream has stalled if it received nothing for this plus the expected delay. */
  streamStallAfter: Milliseconds
  /** Returns true if it ended the exchange; the stream is then no longer watched. */
  onStall(pause: Milliseconds): boolean
}

const CHECK_INTERVAL: Milliseconds = 100

/** Detects stalled streams, with one timer for all. A paused one waits for its caller. */
export class StallWatch {
  readonly #streams = new Set<WatchedStream>()

  constructor(
    private readonly clock: Clock,
    private readonly reachability: ReachabilityWatch,
  ) {}

  start(onFailure: TaskFailureHandler): void {
    const check = () => {
      this.reachability.probeSilent(this.waitingSince())
      this.check()
    }
    every(this.clock, CHECK_INTERVAL, check, onFailure)
  }

  add(stream: WatchedStream): void {
    this.#streams.add(stream)
  }

  remove(stream: WatchedStream): void {
    this.#streams.delete(stream)
  }

  /** Upstreams with streams in flight, and the start of the oldest of these. */
  waitingSince(): Map<Upstream, Milliseconds> {
    const oldest = new Map<Upstream, Milliseconds>()
    for (const { exchange } of this.#streams) {
      if (exchange.isPaused) continue
      const { upstream, startedAt } = exchange
      oldest.set(upstream, Math.min(startedAt, oldest.get(upstream) ?? Infinity))
    }
    return oldest
  }

  /** Treats all streams of an unreachable upstream as stalled. */
  stallStreamsOf(upstream: Upstream): void {
    const now = this.clock.now()
    for (const stream of this.#streams) {
      const { exchange } = stream
      if (exchange.upstream !== upstream || exchange.isPaused) continue
      if (stream.onStall(now - exchange.lastBytesAt)) this.#streams.delete(stream)
    }
  }

  check(): void {
    const now = this.clock.now()
    for (const stream of this.#streams) {
      const { exchange, streamStallAfter, upstreamStallAfter } = stream
      if (exchange.isPaused) continue
      const pause = now - exchange.lastBytesAt
      const upstreamPause = Math.min(pause, now - exchange.upstream.health.lastHeardAt)
      if (pause < streamStallAfter && upstreamPause < upstreamStallAfter) continue
      const expectedDelay = stream.expectedDelay()
      if (
        pause < streamStallAfter + expectedDelay &&
        upstreamPause < upstreamStallAfter + 2 * expectedDelay
      )
        continue
      if (stream.onStall(pause)) this.#streams.delete(stream)
    }
  }
}
