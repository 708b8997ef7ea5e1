import { createHmac } from 'node:crypto'
import {
  NO_SUSPICION,
  type Clock,
  type Milliseconds,
  type SuspicionAtSend,
} from '@yewkeel/decisions'
import type { CrashSuspects } from '../tasks/crashSuspects.js'
import type { RequestContent } from '../tasks/recentAnswers.js'
import { MIN_SURVIVAL } from '../tasks/runTimes.js'
import type { Trial } from '../tasks/suspectTable.js'
import { SuspectParts, type PartsSend } from './suspectParts.js'

/** Long enough that digests of different requests do not collide in practice. */
const DIGEST_BYTES = 16

/** One send of a request, and the suspicion against the request at that time. */
export interface SuspectSend {
  /** Id of the upstream process. */
  upstream: string
  known: SuspicionAtSend
  /** Undefined if nothing was suspected. */
  parts: PartsSend | undefined
}

/** How long a run had gone on when its upstream's process crashed. */
export interface RunAges {
  /** Since it was sent. */
  sentFor: Milliseconds
  /** From the first to the last bytes of its answer; 0 if none came. */
  answeredFor: Milliseconds
}

export interface SuspectRequestOptions {
  suspects: CrashSuspects
  /** HMAC key shared by all boxes: digests agree, and do not reveal bodies in logs. */
  secret: string
  content: RequestContent
  service: string
  /** Sender, for operators. */
  organisation?: string | undefined
  /** Route of the request, for operators. */
  route: string
  /** Parts of the prompt that other requests share, by name. */
  parts?: { clock: Clock; names: readonly string[] }
}

/** One request at this box, with the suspicion that it crashes the upstreams that run it. */
export class SuspectRequest {
  #digest: string | undefined
  #trial: Trial | undefined
  readonly #parts: SuspectParts | undefined

  constructor(private readonly options: SuspectRequestOptions) {
    const { suspects, parts } = options
    this.#parts = parts && new SuspectParts({ suspects, ...parts })
  }

  /** Keyed hash that identifies the request across attempts and boxes. Computed on first use. */
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

  /** The digest if it was computed before, else undefined. For log lines. */
  get computedDigest(): string | undefined {
    return this.#digest
  }

  /**
   * Number of consecutive upstream crashes while the request was in flight, or others with a part that
   * is held back.
   */
  get crashes(): number {
    return Math.max(this.#known.crashes, this.#parts?.crashes ?? 0)
  }

  /**
   * Whether the request must wait for admission again, since it was admitted some time ago: a part of
   * its prompt came under suspicion while it waited for an upstream.
   */
  get mustWait(): boolean {
    return this.#parts?.mustWait ?? false
  }

  /** Whether it is the trial of itself or of a part of its prompt. */
  get isOnTrial(): boolean {
    return this.#trial !== undefined || this.#parts?.tried !== undefined
  }

  /** The quarantined part of the prompt, if there is one. */
  get condemnedPart(): string | undefined {
    return this.#parts?.condemned
  }

  get #known(): SuspicionAtSend {
    const { suspects } = this.options
    return suspects.isEmpty ? NO_SUSPICION : suspects.find(this.digest)
  }

  /**
   * Waits until the request may be sent, at most until `until`. A suspect request waits for its
   * trials at other boxes to end. Resolves with `condemned` if the request is quarantined and with
   * `busy` if another trial is still running at `until`.
   */
  async waitForAdmission(until: Milliseconds): Promise<'busy' | 'condemned' | 'may-run'> {
    const { suspects } = this.options
    this.endTrial()
    if (suspects.isEmpty) return 'may-run'
    this.#clearIfAnswered()
    const parts = (await this.#parts?.waitForAdmission(until)) ?? 'may-run'
    if (parts !== 'may-run') return parts
    const turn = await suspects.waitForAdmission(this.digest, until, this.#parts?.tried)
    if (turn.type === 'trial') this.#trial = turn.trial
    return turn.type === 'free' || turn.type === 'trial' ? 'may-run' : turn.type
  }

  /**
   * Clears the request if other boxes suspect it and this one has answered it recently. They may
   * have started since, and a quarantined request gets no answers that would clear it.
   */
  #clearIfAnswered(): void {
    const { suspects, content } = this.options
    if (this.#known.crashes === 0 || !suspects.answers.takeClearance(content)) return
    suspects.recordCompleteAnswer(this.digest)
  }

  /** Records a send to an upstream process. Pass the result to `recordCrash` if it crashes. */
  recordSend(upstream: string): SuspectSend {
    const known = this.#known
    if (this.#trial) this.options.suspects.recordSend(this.digest, this.#trial, upstream)
    return { upstream, known, parts: this.#parts?.recordSend(upstream) }
  }

  /**
   * Records an answer that was received to its end, which clears the request of suspicion, and its
   * parts if it began at `begunAt` or later than they were suspected.
   */
  recordCompleteAnswer(begunAt?: Milliseconds): void {
    const { suspects, content } = this.options
    suspects.answers.record(content)
    if (!suspects.isEmpty) suspects.recordCompleteAnswer(this.digest)
    if (begunAt !== undefined) this.#parts?.recordWholeAnswer(begunAt)
  }

  /** Records that the upstream process crashed while the request was in flight. */
  recordCrash({ upstream, known, parts }: SuspectSend, { sentFor, answeredFor }: RunAges): void {
    const { suspects, content, service, organisation, route } = this.options
    const crash = {
      request: this.digest,
      atSend: known,
      upstream,
      service,
      organisation,
      route,
      after: sentFor,
      wasAnsweredRecently: suspects.answers.has(content),
    }
    suspects.recordCrash(crash)
    this.#parts?.recordCrash(crash, parts, answeredFor)
  }

  /** Age at which a run speaks for the request's parts. */
  get survivalTime(): Milliseconds {
    return this.#parts?.survivalTime ?? MIN_SURVIVAL
  }

  /** Records that a run which began to answer at `begunAt` goes on. */
  recordProgress(begunAt: Milliseconds): void {
    this.#parts?.recordProgress(begunAt)
  }

  /** Ends the trial of the request, if it has one, so that other attempts may be sent. */
  endTrial(): void {
    this.#parts?.endTrial()
    if (this.#trial) this.options.suspects.endTrial(this.digest, this.#trial)
    this.#trial = undefined
  }
}
