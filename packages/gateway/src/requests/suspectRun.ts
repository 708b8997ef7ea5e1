import type { Trial } from '@yewkeel/box'
import { UNSUSPECTED, type Milliseconds, type SuspicionAtSend } from '@yewkeel/decisions'
import type { Upstream } from '../tasks/upstreamDirectory.js'
import type { GatewayServices } from '../types/services.js'
import type { AdmittedRequest } from './admitCaller.js'
import { contentOf, requestDigest } from './requestDigest.js'

/** An upstream whose process has ended refuses a probe within a few milliseconds; the next try waits no longer for the answer. */
const CRASH_KNOWN_WITHIN: Milliseconds = 40

/** A run at an upstream, and what was held against the request when it was sent. */
interface SentRun {
  at: Milliseconds
  known: SuspicionAtSend
}

/** What is held against one request while it is on its way, and what its runs add to that. */
export class SuspectRun {
  #digest: string | undefined
  #sent: SentRun = { at: 0, known: UNSUSPECTED }
  #trial: Trial | undefined
  #looking: Promise<void> | undefined

  constructor(
    private readonly services: GatewayServices,
    private readonly admitted: AdmittedRequest,
  ) {}

  /** The same for each attempt at the same request. Worked out only once it is asked for. */
  get digest(): string {
    this.#digest ??= requestDigest(this.services.settings.peerSecret, this.admitted)
    return this.#digest
  }

  /** For the log: undefined where nobody asked for it. */
  get knownDigest(): string | undefined {
    return this.#digest
  }

  /** Upstreams that ended under it in a row. */
  get crashes(): number {
    const { suspects } = this.services
    return suspects.isEmpty ? 0 : suspects.find(this.digest).crashes
  }

  /** Waits until the request may be sent to an upstream: until what became of its last run is known, and of those elsewhere. */
  async awaitTurn(until: Milliseconds): Promise<'condemned' | 'busy' | 'may-run'> {
    const { suspects } = this.services
    if (this.#looking) await this.#looking
    this.endTrial()
    if (suspects.isEmpty) return 'may-run'
    const turn = await suspects.takeTurn(this.digest, until)
    if (turn.type === 'trial') this.#trial = turn.trial
    return turn.type === 'free' || turn.type === 'trial' ? 'may-run' : turn.type
  }

  lookedAt(): Promise<void> {
    return this.#looking ?? Promise.resolve()
  }

  noteSent({ run }: Upstream): void {
    const { suspects, clock } = this.services
    const known = suspects.isEmpty ? UNSUSPECTED : suspects.find(this.digest)
    this.#sent = { at: clock.now(), known }
    if (this.#trial) suspects.noteSent(this.digest, this.#trial, run)
  }

  /** The request came to a whole answer whose end could be seen. */
  noteWhole(): void {
    const { suspects, answers } = this.services
    answers.note(contentOf(this.admitted))
    if (!suspects.isEmpty) suspects.noteWhole(this.digest)
  }

  /** The run has ended, or never began. */
  endTrial(): void {
    if (this.#trial) this.services.suspects.endTrial(this.digest, this.#trial)
    this.#trial = undefined
  }

  /** An answer broke off: looks whether its upstream's process has ended. `onOpen` is called if it goes on. */
  lookAt(upstream: Upstream, onOpen: () => void): void {
    const { reachability, clock } = this.services
    // The next run may be sent before this is known.
    const sent = this.#sent
    const looking = reachability.check(upstream).then(seen => {
      if (seen === 'open') onOpen()
      else if (seen === 'refused') this.#noteCrash(upstream, sent)
    })
    this.#looking = new Promise(resolve => {
      const timer = clock.after(CRASH_KNOWN_WITHIN, resolve)
      void looking.then(() => {
        timer.cancel()
        resolve()
      })
    })
  }

  /** Upstreams that leave as planned end, too, and a box that stood still finds all of its connections dead. */
  #noteCrash(upstream: Upstream, sent: SentRun): void {
    const { log, metrics, clock, upstreams, pauses, suspects, answers } = this.services
    const { run, listed } = upstream
    const { organisation, route } = this.admitted
    const isLeaving = listed.state !== 'ready' || !upstreams.isListed(upstream)
    if (isLeaving || pauses.hasPausedSince(sent.at)) return
    metrics.count('crashes', 'aboard')
    const after = Math.round(clock.now() - sent.at)
    log.note('upstream-crashed', {
      upstream: run,
      service: listed.service,
      request: this.digest,
      organisation: organisation?.name,
      route: route.name,
      after,
    })
    suspects.noteCrash({
      request: this.digest,
      atSend: sent.known,
      upstream: run,
      service: listed.service,
      organisation: organisation?.name,
      route: route.name,
      hasAnswered: answers.has(contentOf(this.admitted)),
    })
  }
}
