import { every } from '@yewkeel/box'
import type { Clock, Milliseconds } from '@yewkeel/decisions'
import type { ReachabilityWatch } from '../tasks/reachabilityWatch.js'
import type { Upstream } from '../types/upstream.js'
import type { RunningExchange } from './exchangeWithUpstream.js'

/** A streamed answer under way, and how long its upstream may say nothing. */
export interface WatchedStream {
  exchange: RunningExchange
  /** How long the prompts that are before the upstream may hold it up. */
  expected(): Milliseconds
  /** Beyond twice what is expected, a pause after which a silent upstream is taken to have stalled. */
  silentUpstream: Milliseconds
  /** Beyond what is expected, a pause after which it has stalled whatever the upstream says to others. */
  silentStream: Milliseconds
  /** True if something came of it; the stream is then watched no more. */
  onStall(pause: Milliseconds): boolean
}

const LOOK_EVERY: Milliseconds = 100

/** Finds streams whose upstream has fallen silent. One timer serves all of them. */
export class StallWatch {
  readonly #streams = new Set<WatchedStream>()

  constructor(
    private readonly clock: Clock,
    private readonly reachability: ReachabilityWatch,
  ) {}

  start(): void {
    every(this.clock, LOOK_EVERY, () => {
      this.reachability.look(this.waitingSince())
      this.look()
    })
  }

  add(stream: WatchedStream): void {
    this.#streams.add(stream)
  }

  remove(stream: WatchedStream): void {
    this.#streams.delete(stream)
  }

  /** Upstreams with streams under way, and when the oldest of these was sent. */
  waitingSince(): Map<Upstream, Milliseconds> {
    const oldest = new Map<Upstream, Milliseconds>()
    for (const { exchange } of this.#streams) {
      const { upstream, startedAt } = exchange
      oldest.set(upstream, Math.min(startedAt, oldest.get(upstream) ?? Infinity))
    }
    return oldest
  }

  /** All streams of an upstream that cannot be reached have stalled. */
  giveUpOn(upstream: Upstream): void {
    const now = this.clock.now()
    for (const stream of this.#streams) {
      const { exchange } = stream
      if (exchange.upstream !== upstream) continue
      if (stream.onStall(now - exchange.lastBytesAt)) this.#streams.delete(stream)
    }
  }

  look(): void {
    const now = this.clock.now()
    for (const stream of this.#streams) {
      const { exchange, silentStream, silentUpstream } = stream
      const pause = now - exchange.lastBytesAt
      const upstreamPause = Math.min(pause, now - exchange.upstream.health.lastHeardAt)
      if (pause < silentStream && upstreamPause < silentUpstream) continue
      const expected = stream.expected()
      if (pause < silentStream + expected && upstreamPause < silentUpstream + 2 * expected) continue
      if (stream.onStall(pause)) this.#streams.delete(stream)
    }
  }
}
