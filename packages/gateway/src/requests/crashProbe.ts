import type { SuspectRequest, SuspectSend } from '@yewkeel/box'
import type { Milliseconds } from '@yewkeel/decisions'
import type { GatewayServices } from '../types/services.js'
import type { Upstream } from '../types/upstream.js'
import type { AdmittedRequest } from './admitCaller.js'

/** A run of the request at an upstream. */
export interface ProbedRun {
  upstream: Upstream
  send: SuspectSend
  sentAt: Milliseconds
}

/** An upstream whose process has ended refuses a probe within a few milliseconds; the next try waits no longer for the answer. */
const CRASH_KNOWN_WITHIN: Milliseconds = 40

/** Finds out whether an answer of one request broke off because its upstream's process has ended. */
export class CrashProbe {
  /** Resolves once that is known of the last answer that broke off, or has taken too long. */
  lookedAt: Promise<void> = Promise.resolve()

  constructor(
    private readonly services: GatewayServices,
    private readonly admitted: AdmittedRequest,
    private readonly suspect: SuspectRequest,
  ) {}

  /** `onOpen` is called if the upstream goes on. The next run may be sent before this is known. */
  look(run: ProbedRun, onOpen: () => void): void {
    const { reachability, clock } = this.services
    const looking = reachability.check(run.upstream).then(seen => {
      if (seen === 'open') onOpen()
      else if (seen === 'refused') this.#noteCrash(run)
    })
    this.lookedAt = new Promise(resolve => {
      const timer = clock.after(CRASH_KNOWN_WITHIN, resolve)
      void looking.then(() => {
        timer.cancel()
        resolve()
      })
    })
  }

  /** Upstreams that leave as planned end, too, and a box that stood still finds all of its connections dead. */
  #noteCrash({ upstream, send, sentAt }: ProbedRun): void {
    const { log, metrics, clock, upstreams, pauses } = this.services
    const { listed, run } = upstream
    const isLeaving =
      upstream.said.isLeaving || listed.state !== 'ready' || !upstreams.isListed(upstream)
    if (isLeaving || pauses.hasPausedSince(sentAt)) return
    metrics.count('crashes', 'aboard')
    log.note('upstream-crashed', {
      upstream: run,
      service: listed.service,
      request: this.suspect.digest,
      organisation: this.admitted.organisation?.name,
      route: this.admitted.route.name,
      after: Math.round(clock.now() - sentAt),
    })
    this.suspect.noteCrash(send)
  }
}
