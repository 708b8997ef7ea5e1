import { createHmac } from 'node:crypto'
import { UNSUSPECTED, type Milliseconds, type SuspicionAtSend } from '@yewkeel/decisions'
import type { CrashSuspects } from '../tasks/crashSuspects.js'
import type { RequestContent } from '../tasks/recentAnswers.js'
import type { Trial } from '../tasks/suspectTable.js'

/** Bytes of a digest. Two of a thousand million requests have the same by chance once in 10^20 times. */
const DIGEST_BYTES = 16

/** A run of the request, and what was held against it when it was sent. */
export interface SuspectSend {
  /** The run of the upstream. */
  upstream: string
  known: SuspicionAtSend
}

export interface SuspectRequestOptions {
  suspects: CrashSuspects
  /** Shared by all boxes, so that a request has one name at each, and its body cannot be guessed from a log. */
  secret: string
  content: RequestContent
  service: string
  /** Who sent it and where to, for operators. */
  organisation?: string | undefined
  route: string
}

/** One attempt at a request: what the boxes hold against it, and what its runs add to that. */
export class SuspectRequest {
  #digest: string | undefined
  #trial: Trial | undefined

  constructor(private readonly options: SuspectRequestOptions) {}

  /** The same for each attempt at the same request. Worked out only once it is asked for. */
  get digest(): string {
    const { secret, content } = this.options
    this.#digest ??= createHmac('sha256', secret)
      .update(content.name)
      .update(content.body)
      .digest()
      .subarray(0, DIGEST_BYTES)
      .toString('base64url')
    return this.#digest
  }

  /** For the log: undefined where nobody asked for it. */
  get knownDigest(): string | undefined {
    return this.#digest
  }

  /** Upstreams that ended under it in a row. */
  get crashes(): number {
    return this.#known.crashes
  }

  get #known(): SuspicionAtSend {
    const { suspects } = this.options
    return suspects.isEmpty ? UNSUSPECTED : suspects.find(this.digest)
  }

  /** Waits until the request may be sent to an upstream: until it is known what became of its runs elsewhere. */
  async awaitTurn(until: Milliseconds): Promise<'busy' | 'condemned' | 'may-run'> {
    const { suspects } = this.options
    this.endTrial()
    if (suspects.isEmpty) return 'may-run'
    const turn = await suspects.takeTurn(this.digest, until)
    if (turn.type === 'trial') this.#trial = turn.trial
    return turn.type === 'free' || turn.type === 'trial' ? 'may-run' : turn.type
  }

  noteSent(upstream: string): SuspectSend {
    const known = this.#known
    if (this.#trial) this.options.suspects.noteSent(this.digest, this.#trial, upstream)
    return { upstream, known }
  }

  /** The request came to a whole answer whose end could be seen. */
  noteWhole(): void {
    const { suspects, content } = this.options
    suspects.answers.note(content)
    if (!suspects.isEmpty) suspects.noteWhole(this.digest)
  }

  /** The upstream's process ended with the request aboard. */
  noteCrash({ upstream, known }: SuspectSend): void {
    const { suspects, content, service, organisation, route } = this.options
    suspects.noteCrash({
      request: this.digest,
      atSend: known,
      upstream,
      service,
      organisation,
      route,
      hasAnswered: suspects.answers.has(content),
    })
  }

  /** The run has ended, or never began. */
  endTrial(): void {
    if (this.#trial) this.options.suspects.endTrial(this.digest, this.#trial)
    this.#trial = undefined
  }
}
