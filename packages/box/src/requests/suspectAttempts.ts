import {
  refuseMayHaveRun,
  refuseNotRun,
  type Milliseconds,
  type Refusal,
  type UpstreamView,
} from '@yewkeel/decisions'
import type { RequestContext } from '../types/context.js'
import { UpstreamFailure } from '../types/ports.js'
import type { AnswerEnd } from './sendToUpstream.js'
import { SuspectRequest, type SuspectSend } from './suspectRequest.js'

/** Path of the probe. A crashed upstream refuses the connection. */
const LOAD_PATH = '/load'
/** Time after which a trial at another box is likely to have ended. */
const BUSY_RETRY_DELAY: Milliseconds = 1_000

/** Attempts of one request. Each waits for `CrashSuspects`, so as not to crash more upstreams. */
export class SuspectAttempts {
  readonly #suspect: SuspectRequest
  #sentAt: Milliseconds = 0
  /** Resolves when the upstream of the last broken answer has been probed for a crash. */
  crashChecked: Promise<void> = Promise.resolve()

  constructor(
    private readonly context: RequestContext,
    served: string,
  ) {
    const { services, organisation, request } = context
    this.#suspect = new SuspectRequest({
      suspects: services.suspects,
      secret: services.settings.peers.secret,
      content: {
        name: JSON.stringify([request.path, organisation]),
        body: Buffer.from(request.body),
      },
      service: served,
      organisation,
      route: served,
    })
  }

  /** Waits until the request may be sent. Returns a refusal if quarantined or at the deadline. */
  async waitForAdmission(deadline: Milliseconds): Promise<Refusal | undefined> {
    const turn = await this.#suspect.waitForAdmission(deadline)
    if (turn === 'condemned')
      return refuseMayHaveRun(
        'ends-upstreams',
        'upstreams ended under this request, one after the other; it is not run again for now',
      )
    if (turn === 'busy')
      return refuseNotRun(
        'no-upstream',
        'an upstream ended under this request, and another box looks whether it is the cause',
        BUSY_RETRY_DELAY,
      )
    return undefined
  }

  recordSend(view: UpstreamView): SuspectSend {
    this.#sentAt = this.context.services.clock.now()
    return this.#suspect.recordSend(view.id)
  }

  recordEnd(view: UpstreamView, send: SuspectSend, ended: AnswerEnd): void {
    if (ended === 'whole') this.#suspect.recordCompleteAnswer()
    if (ended === 'broken')
      this.crashChecked = this.#checkCrash(view, send).finally(() => this.endTrial())
    else this.endTrial()
  }

  endTrial(): void {
    this.#suspect.endTrial()
  }

  /** Probes the upstream of a failed answer and records a crash if it refuses the connection. */
  async #checkCrash(view: UpstreamView, send: SuspectSend): Promise<void> {
    const { client, log } = this.context.services
    try {
      await client.send(view.address, { method: 'GET', path: LOAD_PATH, headers: {} })
    } catch (error) {
      if (!(error instanceof UpstreamFailure)) throw error
      if (error.sent !== 'no') return
      const request = this.#suspect.digest
      log.warn({ upstream: view.id, request }, 'upstream crashed while it ran a request')
      const sentFor = this.context.services.clock.now() - this.#sentAt
      this.#suspect.recordCrash(send, { sentFor, answeredFor: 0 })
    }
  }
}
