import type { UpstreamWords } from '@yewkeel/platform/stand-ins'
import type { Attempt, FaultSpan, Instant, Run } from './seen.js'

/** A change that the operators made, and when the store took it. */
export interface KeyChange {
  key: string
  takenAwayAt: Instant
}

/** From `at` on, calls go to this service. */
export interface RouteMove {
  service: string
  before: string
  at: Instant
}

/** An upstream said that it leaves, or its entry went. */
export interface Leaving {
  instance: string
  at: Instant
}

/** A request reached a service. */
export interface Arrival {
  id: string
  service: string
  version: string
  instance: string
  at: Instant
}

/** An upstream says something of itself in all its answers. */
export interface StatementSpan {
  instance: string
  words: UpstreamWords
  from: Instant
  until: Instant
}

/** An answer of an upstream that says something of itself. */
export interface SaidAnswer {
  instance: string
  /** Of the attempt that it answers. */
  id: string
  words: UpstreamWords
  at: Instant
}

/** An order to move a service to another version, and what came of it. */
export interface SeenRollout {
  service: string
  target: string
  isBad: boolean
  orderedAt: Instant
  endsAt: Instant
  /** When the target began flawed answers. */
  flawedAt: Instant[]
  /** As the boxes wrote it: `completed` or `rolled_back`. */
  endState?: string
}

/** All that a run of the soak saw. */
export class Evidence {
  readonly attempts = new Map<string, Attempt>()
  readonly runs = new Map<string, Run[]>()
  /** Requests that reached a service, whether they ran or not. */
  readonly arrivals: Arrival[] = []
  /** The roll-out that the run had, if any. */
  rollout: SeenRollout | undefined
  readonly keyChanges: KeyChange[] = []
  readonly routeMoves: RouteMove[] = []
  readonly leavings: Leaving[] = []
  readonly faults: FaultSpan[] = []
  readonly statements: StatementSpan[] = []
  readonly said: SaidAnswer[] = []
  /** Of the request that ends each upstream that runs it. */
  readonly killers = {
    /** Where each of its attempts went. */
    boxes: new Map<string, string>(),
    crashes: [] as { id: string; at: Instant }[],
  }
  /** Upstreams that live when the run ends. */
  lastListed: ReadonlySet<string> = new Set()
  /** All faults were over. */
  calmFrom: Instant = Infinity

  /** The box to which the caller of an attempt sent it. */
  boxOf(id: string): string | undefined {
    return this.attempts.get(id)?.box ?? this.killers.boxes.get(id)
  }

  noteRun(run: Run): void {
    const runs = this.runs.get(run.id)
    if (runs) runs.push(run)
    else this.runs.set(run.id, [run])
  }

  /**
   * Whether nothing was wrong with a box, or with what all share, in a span.
   * `excuses`: the kinds of fault that count; all where it is left out.
   */
  isCalm(
    box: string | undefined,
    from: Instant,
    until: Instant,
    excuses: (kind: string) => boolean = () => true,
  ): boolean {
    return !this.faults.some(
      fault =>
        excuses(fault.kind) &&
        (fault.box === undefined || box === undefined || fault.box === box) &&
        fault.from < until &&
        fault.until > from,
    )
  }
}
