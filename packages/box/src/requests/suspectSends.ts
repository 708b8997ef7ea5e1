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

/** Upstreams are asked here for their load; whoever does not listen refuses the connection. */
const LOAD_PATH = '/load'
/** When others may know whether a request that they run ends its upstream. */
const BUSY_RETRY: Milliseconds = 1_000

/**
 * The sends of one request: three tries of each of many attempts at many boxes would end as many upstreams under it, as in
 * `CrashSuspects`.
 */
export class SuspectSends {
  readonly #suspect: SuspectRequest
  /** Resolves once it is known whether the upstream of the last broken answer has ended. */
  lookedAt: Promise<void> = Promise.resolve()

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

  /** Waits until the request may be sent to an upstream, or says why it may not. */
  async awaitTurn(deadline: Milliseconds): Promise<Refusal | undefined> {
    const turn = await this.#suspect.awaitTurn(deadline)
    if (turn === 'condemned')
      return refuseMayHaveRun(
        'ends-upstreams',
        'upstreams ended under this request, one after the other; it is not run again for now',
      )
    if (turn === 'busy')
      return refuseNotRun(
        'no-upstream',
        'an upstream ended under this request, and another box looks whether it is the cause',
        BUSY_RETRY,
      )
    return undefined
  }

  noteSent(view: UpstreamView): SuspectSend {
    return this.#suspect.noteSent(view.id)
  }

  noteEnd(view: UpstreamView, send: SuspectSend, ended: AnswerEnd): void {
    if (ended === 'whole') this.#suspect.noteWhole()
    if (ended === 'broken') this.lookedAt = this.#lookAt(view, send).finally(() => this.endTrial())
    else this.endTrial()
  }

  endTrial(): void {
    this.#suspect.endTrial()
  }

  /** An answer did not come, or broke off: looks whether the upstream's process has ended. */
  async #lookAt(view: UpstreamView, send: SuspectSend): Promise<void> {
    const { client, log } = this.context.services
    try {
      await client.send(view.address, { method: 'GET', path: LOAD_PATH, headers: {} })
    } catch (error) {
      if (!(error instanceof UpstreamFailure)) throw error
      if (error.sent !== 'no') return
      const request = this.#suspect.digest
      log.warn({ upstream: view.id, request }, 'an upstream ended under a request')
      this.#suspect.noteCrash(send)
    }
  }
}
