/**
 * Claims give non-idempotent calls at-most-once execution. A claim is a store row that is created,
 * if absent, before the call is sent. Only the attempt that created it may send the call, and only
 * once. A claim is not passed on while its call may have run, so a box that resumes after a pause
 * needs no fencing at the upstream.
 */
import { refuseMayHaveRun, refuseNotRun, type Refusal } from '../types/verdict.js'

/** A stored answer, replayed to a caller that retries. */
export interface KeptAnswer {
  status: number
  contentType: string
  /** Base64 of the body. */
  body: string
}

export type ClaimStep = 'claimed' | 'not-run' | 'ran'

/** Value of a claim row. */
export interface Claim {
  /** Unique id of one attempt by one box. */
  attempt: string
  /** Digest of method, path and body, to detect a key that is reused for another call. */
  digest: string
  step: ClaimStep
  answer?: KeptAnswer
}

export function claimKey(organisation: string, idempotencyKey: string): string {
  return `claim/${organisation}/${idempotencyKey}`
}

/** What a box does with a call, given the claim row. */
export type ClaimDecision =
  | { decision: 'send' }
  /** The earlier attempt did not run: replace its row by compare-and-swap at this version. */
  | { decision: 'take-over'; version: number }
  /** The call ran: send the stored answer. */
  | { decision: 'replay'; answer: KeptAnswer; attempt: string }
  | { decision: 'refuse'; refusal: Refusal }

const RETRY_AFTER = 1_000

const DECISION_OF_STEP: Record<ClaimStep, (existing: Claim, version: number) => ClaimDecision> = {
  claimed: () => ({
    decision: 'refuse',
    refusal: refuseMayHaveRun(
      'in-progress',
      'another attempt with this idempotency key may be running; ask again for its answer',
      RETRY_AFTER,
    ),
  }),
  'not-run': (_existing, version) => ({ decision: 'take-over', version }),
  ran: existing =>
    existing.answer
      ? { decision: 'replay', answer: existing.answer, attempt: existing.attempt }
      : {
          decision: 'refuse',
          refusal: {
            verdict: 'ran',
            reason: 'already-ran',
            message: 'the call with this idempotency key ran; its answer was too large to keep',
          },
        },
}

/** Decides by the claim in the store, at `version`; `own` is this box's attempt. */
export function decideClaim(
  existing: Claim,
  version: number,
  own: Pick<Claim, 'attempt' | 'digest'>,
): ClaimDecision {
  // This box created the row, but the store's reply was lost.
  if (existing.attempt === own.attempt && existing.step === 'claimed') return { decision: 'send' }
  if (existing.digest !== own.digest) {
    return {
      decision: 'refuse',
      refusal: refuseNotRun(
        'key-reused',
        'this idempotency key belongs to another call; choose a new key for a new call',
      ),
    }
  }
  return DECISION_OF_STEP[existing.step](existing, version)
}

/** The refusal of a non-idempotent call when the store is unavailable for its claim. */
export function refuseWithoutClaim(isFirstAttempt: boolean): Refusal {
  const refusal = refuseNotRun(
    'store-out',
    'the call may not be repeated and the store that guards it does not answer; nothing was sent now',
    RETRY_AFTER,
  )
  return qualifyRefusal(refusal, isFirstAttempt)
}

/**
 * Adjusts a refusal that was made without reading the claim. "Not run" is a statement about the
 * call, not about this attempt: unless the caller states that this is its first attempt, an earlier
 * one may have run.
 */
export function qualifyRefusal(refusal: Refusal, isFirstAttempt: boolean): Refusal {
  return isFirstAttempt ? refusal : { ...refusal, verdict: 'may-have-run' }
}
