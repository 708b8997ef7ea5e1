import type { SuspectRequest, SuspectSend } from '@yewkeel/box'
import { sleep, type Milliseconds } from '@yewkeel/decisions'
import type { GatewayServices } from '../types/services.js'
import type { Upstream } from '../types/upstream.js'
import type { AdmittedRequest } from './admitCaller.js'

/** One attempt of the request at an upstream. */
export interface SentAttempt {
  upstream: Upstream
  send: SuspectSend
  sentAt: Milliseconds
  /** When the first and the last bytes of the answer's body came; undefined if none have. */
  begunAt?: Milliseconds
  lastBytesAt?: Milliseconds
  /** How it ended is known. */
  isOver?: boolean
  /** The crash of its upstream has been recorded. */
  hasCrashed?: boolean
}

/** By what a crash was found: its answers were reset, ended in order, or stay open and silent. */
export type CrashSign = 'end' | 'reset' | 'silence'

/**
 * How long the next attempt waits for the probe; a crashed process refuses it within milliseconds.
 */
const CRASH_PROBE_TIMEOUT: Milliseconds = 40

/** Time to the first further look for an upstream whose answer has ended, doubled for each next. */
const FIRST_LOOK_AFTER: Milliseconds = 100

/** Parts of a prompt that a line tells; most prompts have three. */
const MAX_LOGGED_PARTS = 8

/** Probes upstreams whose answer to one request broke off, to tell a crash from another failure. */
export class CrashProbe {
  /** Resolves when the last probe has finished or timed out. */
  settled: Promise<void> = Promise.resolve()

  constructor(
    private readonly services: GatewayServices,
    private readonly admitted: AdmittedRequest,
    private readonly suspect: SuspectRequest,
  ) {}

  /**
   * Probes an attempt's upstream: calls `onAlive` if it accepts connections, records a crash if it
   * refuses them. The probe may outlast `settled`.
   */
  probe(attempt: SentAttempt, sign: CrashSign, onAlive: () => void): void {
    const { reachability } = this.services
    const probing = reachability.check(attempt.upstream).then(async state => {
      if (state === 'open') onAlive()
      else if (state === 'refused' && (await this.#hasPath(attempt)))
        this.#recordCrash(attempt, sign)
    })
    this.#settleWith(probing)
  }

  /**
   * Records a crash under an attempt of which nothing comes any more, or whose upstream took no
   * connection a moment ago, if it takes none now.
   */
  probeSilent(attempt: SentAttempt): void {
    const probing = this.services.reachability.look(attempt.upstream).then(async found => {
      if (found !== 'open' && (await this.#hasPath(attempt))) this.#recordCrash(attempt, 'silence')
    })
    this.#settleWith(probing)
  }

  /** The outcome of a trial is waited for, since the next attempt would crash another upstream. */
  #settleWith(probing: Promise<void>): void {
    const { clock } = this.services
    if (this.suspect.isOnTrial) {
      this.settled = probing
      return
    }
    this.settled = new Promise(resolve => {
      const timer = clock.after(CRASH_PROBE_TIMEOUT, resolve)
      void probing.then(() => {
        timer.cancel()
        resolve()
      })
    })
  }

  /**
   * Goes on to look for the upstream of an answer that ended without a length, until the run is old
   * enough to speak for its parts: its end may have been that of its upstream.
   */
  async watchAfterEnd(attempt: SentAttempt): Promise<void> {
    const { reachability, clock } = this.services
    const begunAt = attempt.begunAt ?? attempt.sentAt
    const age = () => clock.now() - begunAt
    for (let pause = FIRST_LOOK_AFTER; age() < this.suspect.survivalTime; pause *= 2) {
      await sleep(clock, pause)
      if (await reachability.accepts(attempt.upstream)) continue
      attempt.lastBytesAt = clock.now()
      if (await this.#hasPath(attempt)) this.#recordCrash(attempt, 'end')
      return
    }
    this.suspect.recordProgress(begunAt)
  }

  /** Whether it was the upstream that ended, and not this box's path to all of them. */
  async #hasPath({ upstream }: SentAttempt): Promise<boolean> {
    const hasPath = await this.services.paths.hasPathBeside(upstream)
    if (!hasPath) this.services.log.event('crash-not-counted', { upstream: upstream.run })
    return hasPath
  }

  /** Ignores planned exits, and connections that may have died while this box was paused. */
  #recordCrash(attempt: SentAttempt, sign: CrashSign): void {
    const { upstream, send, sentAt, begunAt, lastBytesAt } = attempt
    const { log, metrics, clock, upstreams, pauses } = this.services
    const { listed, run } = upstream
    const isDraining =
      upstream.advertised.isLeaving || listed.state !== 'ready' || !upstreams.isListed(upstream)
    if (isDraining || attempt.hasCrashed || pauses.hasPausedSince(sentAt)) return
    attempt.hasCrashed = true
    metrics.count('crashes', 'aboard')
    const sentFor = clock.now() - sentAt
    const answeredFor = (lastBytesAt ?? 0) - (begunAt ?? 0)
    log.event('upstream-crashed', {
      upstream: run,
      service: listed.service,
      request: this.suspect.digest,
      organisation: this.admitted.organisation?.name,
      route: this.admitted.route.name,
      parts: this.admitted.fields.promptParts.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id),
      sign,
      after: Math.round(sentFor),
      ...(begunAt !== undefined && { answered: Math.round(answeredFor) }),
    })
    this.suspect.recordCrash(send, { sentFor, answeredFor })
  }
}
