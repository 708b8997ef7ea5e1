/**
 * Claims on calls that may not be repeated. A claim is a row of the store, created before the call is
 * sent. Only the attempt that created it may send the call, and only once; a paused box that wakes holds
 * its own claim and nobody else can hold it, so no fence at the upstream is needed.
 */
import { refuseMayHaveRun, refuseNotRun, type Refusal } from '../types/verdict.js'

/** An answer kept for a caller that asks again. */
export interface KeptAnswer {
  status: number
  contentType: string
  /** Base64 of the body. */
  body: string
}

export type ClaimStep = 'claimed' | 'not-run' | 'ran'

/** Value of a claim row. */
export interface Claim {
  /** Unique to one try by one box. */
  attempt: string
  /** Of method, path and body: the same key with another call is a mistake of the caller. */
  digest: string
  step: ClaimStep
  answer?: KeptAnswer
}

export function claimKey(organisation: string, idempotencyKey: string): string {
  return `claim/${organisation}/${idempotencyKey}`
}

/** What a box may do once it knows what stands in the claim row. */
export type ClaimDecision =
  | { decision: 'send' }
  /** The earlier attempt is known not to have run: take its place if the row is still at this version. */
  | { decision: 'take-over'; version: number }
  | { decision: 'replay'; answer: KeptAnswer; attempt: string }
  | { decision: 'refuse'; refusal: Refusal }

const ASK_AGAIN_AFTER = 1_000

const DECISION_OF_STEP: Record<ClaimStep, (standing: Claim, version: number) => ClaimDecision> = {
  claimed: () => ({
    decision: 'refuse',
    refusal: refuseMayHaveRun(
      'in-progress',
      'another attempt with this idempotency key may be running; ask again for its answer',
      ASK_AGAIN_AFTER,
    ),
  }),
  'not-run': (_standing, version) => ({ decision: 'take-over', version }),
  ran: standing =>
    standing.answer
      ? { decision: 'replay', answer: standing.answer, attempt: standing.attempt }
      : {
          decision: 'refuse',
          refusal: {
            verdict: 'ran',
            reason: 'already-ran',
            message: 'the call with this idempotency key ran; its answer was too large to keep',
          },
        },
}

/** Decides by the claim that stands. `attempt` and `digest` are this box's own. */
export function decideClaim(
  standing: Claim,
  version: number,
  own: Pick<Claim, 'attempt' | 'digest'>,
): ClaimDecision {
  // The row is ours although the answer to our write was lost.
  if (standing.attempt === own.attempt && standing.step === 'claimed') return { decision: 'send' }
  if (standing.digest !== own.digest) {
    return {
      decision: 'refuse',
      refusal: refuseNotRun(
        'key-reused',
        'this idempotency key belongs to another call; choose a new key for a new call',
      ),
    }
  }
  return DECISION_OF_STEP[standing.step](standing, version)
}

/** What the caller of a call that may not be repeated is told when the store cannot take the claim. */
export function refuseWithoutClaim(isFirstAttempt: boolean): Refusal {
  const refusal = refuseNotRun(
    'store-out',
    'the call may not be repeated and the store that guards it does not answer; nothing was sent now',
    ASK_AGAIN_AFTER,
  )
  return withoutClaimKnown(refusal, isFirstAttempt)
}

/**
 * A refusal made without knowing the claim. "Not run" is about the call, not about this attempt at it: unless
 * the caller says that there was no attempt before, an earlier one may have run.
 */
export function withoutClaimKnown(refusal: Refusal, isFirstAttempt: boolean): Refusal {
  return isFirstAttempt ? refusal : { ...refusal, verdict: 'may-have-run' }
}
