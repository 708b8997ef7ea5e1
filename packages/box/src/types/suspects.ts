import type { Suspicion } from '@yewkeel/decisions'
import type { ReportedRunTimes } from '../tasks/runTimes.js'

/**
 * State of a trial as another box reports it. One box at a time runs a suspect request; the others
 * wait for the outcome.
 */
export interface ReportedTrial {
  /** Box incarnation that runs the trial. */
  holder: string
  /** Sequence number among the holder's trials; reports with a lower number are stale. */
  number: number
  state: 'claimed' | 'over' | 'sent'
  /** Upstream process that it was sent to. */
  upstream?: string
}

/**
 * Update between boxes about a request that was in flight when an upstream process crashed, or about
 * a part of its prompt.
 */
export interface SuspectUpdate extends Suspicion {
  /** Digest of the request, or name of the part. */
  request: string
  /** Digests of requests with the part under which processes crashed. */
  requests?: readonly string[]
  /** Ages of its runs in this epoch. Older builds do not tell them. */
  runs?: ReportedRunTimes
  trial?: ReportedTrial
  /** Upstream process that has just crashed with the request in flight. */
  crashed?: { upstream: string; service: string; wasSuspect: boolean }
}

/** A quarantined request or part of prompts, as stored. */
export interface QuarantineEntry {
  /** Digest of the request, or name of the part. */
  request: string
  crashes: number
  /** Sender, for operators. */
  organisation?: string
  /** Where it was sent to, for operators; empty if the box that wrote the entry does not know. */
  route: string
  /** Upstream processes that crashed with it in flight, as known to the box that quarantined it. */
  upstreams: string[]
}
