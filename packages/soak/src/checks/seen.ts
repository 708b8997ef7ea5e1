import type { AttemptKind } from '@yewkeel/platform/stand-ins'

/** Milliseconds on the soak's own steady clock. */
export type Instant = number

/** How an attempt ended for its caller. */
export interface AttemptEnd {
  at: Instant
  /** 0 when the connection ended without a head. */
  status: number
  /** The id that the answer names. */
  answersId?: string | undefined
  isSigned: boolean
  /** The answer ended as its framing says. */
  isWhole: boolean
  body: string
}

/** One attempt of a caller. Every attempt has an id of its own. */
export interface Attempt {
  id: string
  kind: AttemptKind
  key: string
  box: string
  sentAt: Instant
  timeLeft: Instant
  end?: AttemptEnd
}

/** An upstream began to work on an attempt. */
export interface Run {
  id: string
  service: string
  instance: string
  organisation: string | undefined
  at: Instant
}

/** A span in which something outside was wrong. */
export interface FaultSpan {
  kind: string
  /** The box that it strikes; undefined when it strikes all. */
  box?: string
  from: Instant
  /** Infinite while it lasts. */
  until: Instant
}

/** A promise that was not kept. */
export interface Violation {
  promise: PromiseName
  detail: string
}

export type PromiseName =
  | 'own-answer'
  | 'once'
  | 'not-run'
  | 'whole-stream'
  | 'revoked-keys'
  | 'configuration'
  | 'draining'
  | 'retry-budget'
  | 'answered'
  | 'planned-stop'
  | 'recovery'
  | 'exposure'
  | 'roll-out'
  | 'crashing-request'
  | 'condemned-nobody'
  | 'limit'
  | 'rest'
  | 'leaving'
  | 'used-again'
