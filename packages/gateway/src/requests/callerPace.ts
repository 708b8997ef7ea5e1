import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'
import type { CallerResponse } from '../types/ports.js'
import type { RunningExchange } from './exchangeWithUpstream.js'

export interface CallerPaceOptions {
  clock: Clock
  answer: CallerResponse
  deadline: Milliseconds
  onDeadline(): void
}

/** Shortest extension, so that a caller that stays behind does not start a timer each time. */
const MIN_EXTENSION: Milliseconds = 100

/**
 * Makes an upstream wait while the caller does not read its answer. The deadline of a request, which
 * is meant for upstreams, is extended by this time.
 */
export class CallerPace {
  #exchange: RunningExchange | undefined
  #isBehind = false
  #extendedBy: Milliseconds = 0
  #timer: Timer

  constructor(private readonly options: CallerPaceOptions) {
    const { clock, answer, deadline } = options
    this.#timer = this.#startTimer(deadline - clock.now())
    answer.onBacklog?.(isBehind => this.#handleBacklog(isBehind))
  }

  /** The exchange whose answer the caller is to read from now on. */
  follow(exchange: RunningExchange): void {
    this.#exchange = exchange
    this.#extendedBy = 0
    if (this.#isBehind) exchange.pause()
  }

  stop(): void {
    this.#timer.cancel()
  }

  #handleBacklog(isBehind: boolean): void {
    this.#isBehind = isBehind
    if (isBehind) this.#exchange?.pause()
    else this.#exchange?.resume()
  }

  #startTimer(delay: Milliseconds): Timer {
    return this.options.clock.after(delay, () => this.#handleTimer())
  }

  #handleTimer(): void {
    const extension = (this.#exchange?.pausedFor ?? 0) - this.#extendedBy
    if (extension <= 0) return this.options.onDeadline()
    this.#extendedBy += extension
    this.#timer = this.#startTimer(Math.max(extension, MIN_EXTENSION))
  }
}
