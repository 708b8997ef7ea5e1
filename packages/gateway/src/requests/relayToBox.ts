import type { Milliseconds, Timer } from '@yewkeel/decisions'
import type { Exchange } from '../node/upstreamConnectionPool.js'
import type { CallerResponse, RawHeaders } from '../types/ports.js'
import type { GatewayServices, OpenRequest } from '../types/services.js'
import type { AdmittedRequest } from './admitCaller.js'
import { hasSenderEnded } from './hasSenderEnded.js'
import { NOT_RUN_STATUS } from './logRequest.js'
import { withRelayMark } from './relayMark.js'

/** Boxes that are asked for one request; the second only if the first got none of it. */
const MAX_BOXES = 2
/** Time reserved for the way through the other box. */
const HOP_ALLOWANCE: Milliseconds = 8
/** Retry-After of a request that no box took; boxes hear of a lost path within this. */
const RETRY_AFTER: Milliseconds = 400
const MAY_HAVE_RUN_STATUS = 502
const TIMED_OUT_STATUS = 504

/**
 * Passes a caller's request on to a box that has a path to its service, and the answer back as it
 * comes. That box decides and retries as for callers of its own, and passes it on to none.
 * `earlierSends`: to how many upstreams it may have been sent before; undefined if no box has counted
 * it for the retry budget.
 */
export function relayToBox(
  services: GatewayServices,
  admitted: AdmittedRequest,
  answer: CallerResponse,
  earlierSends: number | undefined,
): void {
  new BoxRelay(services, admitted, answer, earlierSends).start()
}

class BoxRelay implements OpenRequest {
  /** Names of the boxes that were asked. */
  readonly #tried: string[] = []
  #exchange: Exchange | undefined
  #isOver = false
  /** The head of the answer has been passed to the caller. */
  #hasBegun = false
  /** Its framing marks the end of the answer. */
  #isFramed = true
  /** The other box may have run the request. */
  #wasSent = false
  #status: number | undefined
  #deadline: Timer | undefined

  constructor(
    private readonly services: GatewayServices,
    private readonly admitted: AdmittedRequest,
    private readonly answer: CallerResponse,
    private earlierSends: number | undefined,
  ) {}

  start(): void {
    const { services, admitted, answer } = this
    this.#deadline = services.clock.after(this.#timeLeft, () => this.cutOff('out of time'))
    services.openRequests.add(this)
    answer.onDisconnect(() => this.#finish('caller-left', undefined))
    services.metrics.count('relayed', admitted.service)
    this.#tryNext()
  }

  /** Ends the request before its answer is complete. */
  cutOff(reason: string): void {
    this.#fail(reason)
  }

  get #timeLeft(): Milliseconds {
    return this.admitted.deadline - this.services.clock.now()
  }

  #tryNext(): void {
    const { services, admitted } = this
    const box = services.relays.pick(admitted.service, this.#tried)
    if (!box || this.#tried.length >= MAX_BOXES) return this.#fail('no other box took the request')
    this.#tried.push(box.entry.box)
    this.#send(box.entry.entryAddress)
  }

  #send(address: string): void {
    const { services, admitted, answer } = this
    const { request, route } = admitted
    const timeLeft = Math.max(1, Math.floor(this.#timeLeft - HOP_ALLOWANCE))
    const headers = services.dialect.writeRelayed(request.headers, timeLeft)
    this.#exchange = services.relays.connectionsTo(address).send(
      {
        method: request.method,
        target: request.target,
        headers: withRelayMark(headers, services.settings.peerSecret, this.earlierSends),
        body: request.body,
        onNewConnection: route.kind === 'unsafe',
      },
      {
        onHead: (status, head) => this.#begin(status, head),
        onChunk: chunk => answer.write(chunk),
        onEnd: () => void this.#handleEnd(address),
        onFailure: (error, wasSent) => this.#handleFailure(error, wasSent),
      },
    )
    answer.onBacklog?.(isBehind => (isBehind ? this.#exchange?.pause() : this.#exchange?.resume()))
  }

  #begin(status: number, head: RawHeaders): void {
    const { dialect } = this.services
    this.#isFramed = dialect.readResponse(head).isFramed
    this.#hasBegun = true
    this.#status = status
    const headers = [...dialect.writeResponse(head), ...lengthOf(head)]
    this.answer.start(status, headers, this.#isFramed)
  }

  /** Without a length its end may be that of the other box. */
  async #handleEnd(address: string): Promise<void> {
    const { clock, relays } = this.services
    const mayBeCut = !this.#isFramed && (await hasSenderEnded(() => relays.accepts(address), clock))
    if (this.#isOver) return
    if (mayBeCut) return this.#fail('the other box ended')
    this.answer.end()
    this.#finish('relayed', this.#status)
  }

  #handleFailure(error: Error, wasSent: boolean): void {
    this.#wasSent ||= wasSent
    // The other box may have counted it, and sent it to an upstream.
    if (wasSent) this.earlierSends = (this.earlierSends ?? 0) + 1
    const mayRepeat = !this.#wasSent || (this.admitted.route.kind === 'safe' && !this.#hasBegun)
    if (mayRepeat && this.#timeLeft > HOP_ALLOWANCE) return this.#tryNext()
    this.#fail(error.message)
  }

  /** 503 only if no box got any of the request. */
  #fail(reason: string): void {
    if (this.#isOver) return
    if (this.#hasBegun) {
      this.answer.abort()
      return this.#finish(reason, undefined)
    }
    const mayHaveRun = this.#wasSent || this.#exchange?.wasSent === true
    const lateStatus = this.#timeLeft <= 0 ? TIMED_OUT_STATUS : MAY_HAVE_RUN_STATUS
    const status = mayHaveRun ? lateStatus : NOT_RUN_STATUS
    const retryAfter = mayHaveRun ? undefined : RETRY_AFTER
    const { id } = this.admitted.fields
    this.answer.start(status, this.services.dialect.writeRejection(id, retryAfter), true)
    this.answer.end(reason)
    this.#finish(reason, status)
  }

  #finish(outcome: string, status: number | undefined): void {
    if (this.#isOver) return
    this.#isOver = true
    this.#deadline?.cancel()
    this.#exchange?.cancel()
    const { services, admitted } = this
    const { clock, metrics, log, openRequests } = services
    openRequests.delete(this)
    const duration = clock.now() - admitted.request.receivedAt
    metrics.observe(admitted.route.name, outcome, duration)
    const fields = {
      id: admitted.fields.id,
      route: admitted.route.name,
      service: admitted.service,
      organisation: admitted.organisation?.name,
      outcome,
      status,
      duration: Math.round(duration),
      boxes: this.#tried,
    }
    log.request(fields, outcome !== 'relayed')
  }
}

const CONTENT_LENGTH = 'content-length'

/** The length of the answer, which is no header of the upstream's own to pass on. */
function lengthOf(head: RawHeaders): string[] {
  const index = head.findIndex(
    (text, position) => position % 2 === 0 && text.toLowerCase() === CONTENT_LENGTH,
  )
  return index === -1 ? [] : [CONTENT_LENGTH, head[index + 1]!]
}
