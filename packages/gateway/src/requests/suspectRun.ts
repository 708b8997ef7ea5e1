import { UNSUSPECTED, type Milliseconds, type SuspicionAtSend } from '@yewkeel/decisions'
import type { Trial } from '@yewkeel/box'
import type { Upstream } from '../tasks/upstreamDirectory.js'
import type { GatewayServices } from '../types/services.js'
import type { AdmittedRequest } from './admitCaller.js'
import { contentOf, requestDigest } from './requestDigest.js'

/** Nothing is held against it. */
const NOTHING: SuspicionAtSend = UNSUSPECTED
/** An upstream whose process has ended refuses a probe within a few milliseconds; the next try waits no longer for the answer. */
const CRASH_KNOWN_WITHIN: Milliseconds = 40

/** What is held against one request while it is on its way, and what its runs add to that. */
export class SuspectRun {
  #digest: string | undefined
  #atSend = NOTHING
  #sentAt: Milliseconds = 0
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
    this.#sentAt = clock.now()
    this.#atSend = suspects.isEmpty ? NOTHING : suspects.find(this.digest)
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
    const looking = reachability.check(upstream).then(seen => {
      if (seen === 'open') onOpen()
      else if (seen === 'refused') this.#noteCrash(upstream)
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
  #noteCrash(upstream: Upstream): void {
    const { log, metrics, clock, upstreams, pauses, suspects, answers } = this.services
    const { run, listed } = upstream
    const { organisation, route } = this.admitted
    const isLeaving = listed.state !== 'ready' || !upstreams.isListed(upstream)
    if (isLeaving || pauses.hasPausedSince(this.#sentAt)) return
    metrics.count('crashes', 'aboard')
    const after = Math.round(clock.now() - this.#sentAt)
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
      atSend: this.#atSend,
      upstream: run,
      service: listed.service,
      organisation: organisation?.name,
      route: route.name,
      hasAnswered: answers.has(contentOf(this.admitted)),
    })
  }
}
