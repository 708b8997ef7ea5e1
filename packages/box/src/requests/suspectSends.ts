import { createHmac } from 'node:crypto'
import { refuseMayHaveRun, refuseNotRun, type Refusal, type UpstreamView } from '@yewkeel/decisions'
import type { RequestContent } from '../tasks/recentAnswers.js'
import type { Trial } from '../tasks/suspectTable.js'
import type { RequestContext } from '../types/context.js'
import type { AnswerEnd } from './sendToUpstream.js'
import { UpstreamFailure } from '../types/ports.js'

/** Upstreams are asked here for their load; whoever does not listen refuses the connection. */
const LOAD_PATH = '/load'
/** When others may know whether a request that they run ends its upstream. */
const BUSY_RETRY = 1_000

/**
 * What is held against a request of this box's callers, and what its tries at upstreams add to that: three tries of each of many attempts at many
 * boxes would end as many upstreams under one request, as in `CrashSuspects`.
 */
export class SuspectSends {
  readonly #content: RequestContent
  readonly #digest: string
  #atSend
  #trial: Trial | undefined
  /** Resolves once it is known whether the upstream of the last broken answer has ended. */
  lookedAt: Promise<void> = Promise.resolve()

  constructor(
    private readonly context: RequestContext,
    private readonly served: string,
  ) {
    const { services, organisation, request } = context
    const name = JSON.stringify([request.path, organisation])
    this.#content = { name, body: Buffer.from(request.body) }
    this.#digest = createHmac('sha256', services.settings.peers.secret)
      .update(name)
      .update(this.#content.body)
      .digest('base64url')
    this.#atSend = services.suspects.find(this.#digest)
  }

  /** Waits until the request may be sent to an upstream, or says why it may not. */
  async awaitTurn(deadline: number): Promise<Refusal | undefined> {
    this.endTrial()
    const turn = await this.context.services.suspects.takeTurn(this.#digest, deadline)
    if (turn.type === 'trial') this.#trial = turn.trial
    if (turn.type === 'condemned')
      return refuseMayHaveRun(
        'ends-upstreams',
        'upstreams ended under this request, one after the other; it is not run again for now',
      )
    if (turn.type === 'busy')
      return refuseNotRun(
        'no-upstream',
        'an upstream ended under this request, and another box looks whether it is the cause',
        BUSY_RETRY,
      )
    return undefined
  }

  noteSent(view: UpstreamView): void {
    const { suspects } = this.context.services
    this.#atSend = suspects.find(this.#digest)
    if (this.#trial) suspects.noteSent(this.#digest, this.#trial, view.id)
  }

  noteEnd(view: UpstreamView, ended: AnswerEnd): void {
    const { answers, suspects } = this.context.services
    if (ended === 'whole') {
      answers.note(this.#content)
      suspects.noteWhole(this.#digest)
    }
    if (ended === 'broken') this.lookedAt = this.#lookAt(view).finally(() => this.endTrial())
    else this.endTrial()
  }

  endTrial(): void {
    if (this.#trial) this.context.services.suspects.endTrial(this.#digest, this.#trial)
    this.#trial = undefined
  }

  /** An answer did not come, or broke off: looks whether the upstream's process has ended. */
  async #lookAt(view: UpstreamView): Promise<void> {
    const { answers, client, suspects, log } = this.context.services
    try {
      await client.send(view.address, { method: 'GET', path: LOAD_PATH, headers: {} })
    } catch (error) {
      if (!(error instanceof UpstreamFailure)) throw error
      if (error.sent !== 'no') return
      log.warn({ upstream: view.id, request: this.#digest }, 'an upstream ended under a request')
      suspects.noteCrash({
        request: this.#digest,
        atSend: this.#atSend,
        upstream: view.id,
        service: this.served,
        organisation: this.context.organisation,
        route: this.served,
        hasAnswered: answers.has(this.#content),
      })
    }
  }
}
