import type { Suspicion } from '@yewkeel/decisions'

/** A suspect is run by one box at a time; the others wait for what comes of it. */
export interface ToldTrial {
  /** The run of a box, and which of its trials it is: what is told late of an earlier one is no news. */
  holder: string
  number: number
  state: 'claimed' | 'over' | 'sent'
  /** The run of an upstream that it was sent to. */
  upstream?: string
}

/** What boxes tell each other of a request that was at an upstream when its process ended. */
export interface SuspectNews extends Suspicion {
  /** The request's digest. */
  request: string
  trial?: ToldTrial
  /** The run of an upstream that has just ended under it. */
  crashed?: { upstream: string; service: string; wasSuspect: boolean }
}

/** A condemned request as it lies in the store. */
export interface CondemnedEntry {
  request: string
  crashes: number
  /** Who sent it and where to, for operators. */
  organisation?: string
  route: string
  /** Runs of upstreams that ended under it, as far as the box that condemned it knows. */
  upstreams: string[]
}
