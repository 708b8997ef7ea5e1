import {
  claimKey,
  decideClaim,
  refuseWithoutClaim,
  sleep,
  type Claim,
  type ClaimDecision,
  type Clock,
  type KeptAnswer,
  type Milliseconds,
  type Refusal,
  type TableService,
} from '@yewkeel/decisions'
import { Result } from 'true-myth'
import type { Log } from '../types/ports.js'
import { RowCreator } from './rowCreator.js'

export interface ClaimTaskOptions {
  table: TableService
  clock: Clock
  log: Log
}

/** A claim that this box now holds, or the stored answer of an earlier attempt. */
export type ClaimOutcome = { held: HeldClaim } | { replay: KeptAnswer; attempt: string }

/** The store row of a claim that this box holds. */
export interface HeldClaim {
  key: string
  value: Claim
}

const MAX_SETTLE_ATTEMPTS = 240
const SETTLE_RETRY_DELAY: Milliseconds = 1_000
/** Longer answers are not stored for replay, in characters. */
const MAX_STORED_BODY_LENGTH = 32_768

/**
 * Claims non-idempotent calls in the store, so that each runs at most once, and records how they
 * ended.
 */
export class ClaimTask {
  readonly #creator: RowCreator

  constructor(private readonly options: ClaimTaskOptions) {
    this.#creator = new RowCreator(options.table, options.clock)
  }

  /** Claims a call. Takes one round trip to the store if the call was not claimed before. */
  async claim(
    organisation: string,
    idempotencyKey: string,
    own: Pick<Claim, 'attempt' | 'digest'>,
    isFirstAttempt: boolean,
  ): Promise<Result<ClaimOutcome, Refusal>> {
    const key = claimKey(organisation, idempotencyKey)
    const value: Claim = { ...own, step: 'claimed' }
    const held: HeldClaim = { key, value }
    const row = await this.#creator.create({ key, value: JSON.stringify(value) })
    switch (row.outcome) {
      case 'created':
        return Result.ok({ held })
      case 'absent':
        return Result.err(refuseWithoutClaim(isFirstAttempt))
      case 'unknown':
        // The row may exist. The call is not sent, and the row is settled once the store answers.
        this.settle(held, 'not-run')
        return Result.err(refuseWithoutClaim(isFirstAttempt))
      case 'exists': {
        const decision = decideClaim(JSON.parse(row.value) as Claim, row.version, own)
        return this.#applyDecision(decision, held)
      }
    }
  }

  /**
   * Records how a claimed call ended, in the background, retrying while the store is unavailable.
   */
  settle(held: HeldClaim, step: 'not-run' | 'ran', answer?: KeptAnswer): void {
    const isStored = answer && answer.body.length <= MAX_STORED_BODY_LENGTH
    void this.#settle(held, { ...held.value, step, ...(isStored && { answer }) })
  }

  async #applyDecision(
    decision: ClaimDecision,
    held: HeldClaim,
  ): Promise<Result<ClaimOutcome, Refusal>> {
    switch (decision.decision) {
      case 'send':
        return Result.ok({ held })
      case 'replay':
        return Result.ok({ replay: decision.answer, attempt: decision.attempt })
      case 'refuse':
        return Result.err(decision.refusal)
      case 'take-over':
        return this.#takeOver(held, decision.version)
    }
  }

  /** Takes over the row of an attempt that did not run, by compare-and-swap. */
  async #takeOver(held: HeldClaim, version: number): Promise<Result<ClaimOutcome, Refusal>> {
    const { table } = this.options
    const { key, value } = held
    const outcome = await table.commit({
      conditions: [{ key, version }],
      writes: [{ key, value: JSON.stringify(value) }],
    })
    if (outcome === 'committed') return Result.ok({ held })
    // The row showed that no earlier attempt ran, so the refusal may say so.
    if (outcome === 'unavailable') return Result.err(refuseWithoutClaim(true))
    const answer = await table.read([key])
    const row = answer.outcome === 'read' ? answer.rows[0] : undefined
    if (!row) {
      this.settle(held, 'not-run')
      return Result.err(refuseWithoutClaim(false))
    }
    const decision = decideClaim(JSON.parse(row.value) as Claim, row.version, value)
    if (decision.decision === 'take-over') return Result.err(refuseWithoutClaim(true))
    return this.#applyDecision(decision, held)
  }

  async #settle({ key, value }: HeldClaim, settled: Claim): Promise<void> {
    const { table, clock, log } = this.options
    for (let attempt = 0; attempt < MAX_SETTLE_ATTEMPTS; attempt++) {
      const answer = await table.read([key])
      if (answer.outcome === 'read') {
        const row = answer.rows[0]
        const stored = row && (JSON.parse(row.value) as Claim)
        const isOurs = stored?.attempt === value.attempt && stored.step === 'claimed'
        if (!row || !isOurs) return
        const outcome = await table.commit({
          conditions: [{ key, version: row.version }],
          writes: [{ key, value: JSON.stringify(settled) }],
        })
        if (outcome === 'committed') return
      }
      await sleep(clock, SETTLE_RETRY_DELAY)
    }
    log.warn(
      { key },
      'could not write the outcome of a claimed call; retries of it are told that it may have run',
    )
  }
}
