import type { AttemptKind } from '@yewkeel/platform/stand-ins'

/** A duration, or a time on the soak's monotonic clock. */
export type Milliseconds = number

/** How an attempt ended, as its caller saw it. */
export interface AttemptEnd {
  at: Milliseconds
  /** 0 when the connection ended before the response head. */
  status: number
  /** The attempt id in the answer's headers. */
  answersId?: string | undefined
  isSigned: boolean
  /** The answer is complete according to its HTTP framing. */
  isWhole: boolean
  body: string
}

/** One attempt of a caller. Its id is unique within the run. */
export interface Attempt {
  id: string
  kind: AttemptKind
  key: string
  box: string
  sentAt: Milliseconds
  timeLeft: Milliseconds
  /** The last event that the caller has of an earlier answer. */
  lastEventId?: number
  /** Undefined for the usual callers. Priority 0 is the most urgent. */
  load?: { service: string; organisation: string; priority: number }
  end?: AttemptEnd
}

/** An upstream began to execute an attempt. */
export interface Execution {
  id: string
  service: string
  instance: string
  organisation: string | undefined
  at: Milliseconds
}

/** The time between the injection of a fault and its end. */
export interface FaultSpan {
  kind: string
  /** The affected box; undefined if all are affected. */
  box?: string
  from: Milliseconds
  /** Infinity while the fault lasts. */
  until: Milliseconds
  /** When the process of a box that was stopped had exited. */
  exitedAt?: Milliseconds
}

/** A violated guarantee. */
export interface Violation {
  guarantee: GuaranteeName
  detail: string
}

/** What the soak checks. The names appear in its output. */
export type GuaranteeName =
  /** An attempt is answered with the signed answer to itself. */
  | 'own-answer'
  /** A call on the `unsafe` route is executed at most once. */
  | 'once'
  /** A call refused with a status that means "not executed" was not executed. */
  | 'not-run'
  /** A stream has no gap, and is complete if it ends as complete. */
  | 'whole-stream'
  /** A revoked API key is rejected within the bound. */
  | 'revoked-keys'
  /** A changed route is applied within the bound. */
  | 'configuration'
  /** An upstream whose row says that it drains gets no new requests. */
  | 'draining'
  /** Retries stay within the retry budget. */
  | 'retry-budget'
  /** An attempt ends by its deadline. */
  | 'answered'
  /** A planned stop of a box cuts no attempt off. */
  | 'planned-stop'
  /** Requests are served again once all faults have ended. */
  | 'recovery'
  /** A bad version gets few requests and is rolled back in time. */
  | 'exposure'
  /** A good version is not rolled back. */
  | 'roll-out'
  /** A request that crashes upstreams is quarantined. */
  | 'crashing-request'
  /** A part of prompts that crashes upstreams is quarantined. */
  | 'deadly-part'
  /** No caller's ordinary request is quarantined. */
  | 'condemned-nobody'
  /** An upstream gets no more requests than the limit that it states. */
  | 'limit'
  /** An upstream that asks for a back-off gets no requests until it ends. */
  | 'rest'
  /** An upstream whose answers say that it drains gets no new requests. */
  | 'leaving'
  /** An upstream gets requests again after its advertisement has ended. */
  | 'used-again'
  /** No request is rejected while half of the room is free and nothing waits. */
  | 'rejected-with-room'
  /** The less urgent are not served better than the more urgent. */
  | 'urgent-first'
  /** An upstream that tells a bad pace gets about what its equals get. */
  | 'told-pace'
  /** A box keeps within its memory. */
  | 'memory'
  /** Usual requests are served beside hard load. */
  | 'undisturbed'
  /** An organisation that floods doesn't take the others' part of the room. */
  | 'beside-flood'
  /** A box ends only if it is stopped. */
  | 'box-ended'
