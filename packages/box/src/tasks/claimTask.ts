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

/** A claim that this box holds, or the answer that an earlier attempt got. */
export type Claimed = { held: HeldClaim } | { replay: KeptAnswer; attempt: string }

export interface HeldClaim {
  key: string
  value: Claim
}

const SETTLE_TRIES = 240
const SETTLE_PAUSE: Milliseconds = 1_000
const LARGEST_KEPT_ANSWER = 32_768

/** Takes and settles claims on calls that may not be repeated. */
export class ClaimTask {
  readonly #creator: RowCreator

  constructor(private readonly options: ClaimTaskOptions) {
    this.#creator = new RowCreator(options.table, options.clock)
  }

  /** Claims a call. One round trip to the store when nobody has claimed it before. */
  async claim(
    organisation: string,
    idempotencyKey: string,
    own: Pick<Claim, 'attempt' | 'digest'>,
    isFirstAttempt: boolean,
  ): Promise<Result<Claimed, Refusal>> {
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
        // The row may stand; nothing will be sent under it, and the row is told so when the store answers.
        this.settle(held, 'not-run')
        return Result.err(refuseWithoutClaim(isFirstAttempt))
      case 'exists': {
        const decision = decideClaim(JSON.parse(row.value) as Claim, row.version, own)
        return this.#follow(decision, held)
      }
    }
  }

  /** Notes how a claimed call ended. Goes on until the store has it. */
  settle(held: HeldClaim, step: 'not-run' | 'ran', answer?: KeptAnswer): void {
    const isKept = answer && answer.body.length <= LARGEST_KEPT_ANSWER
    void this.#settle(held, { ...held.value, step, ...(isKept && { answer }) })
  }

  async #follow(decision: ClaimDecision, held: HeldClaim): Promise<Result<Claimed, Refusal>> {
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

  /** The earlier attempt did not run: this one takes its row, unless another does so first. */
  async #takeOver(held: HeldClaim, version: number): Promise<Result<Claimed, Refusal>> {
    const { table } = this.options
    const { key, value } = held
    const outcome = await table.commit({
      conditions: [{ key, version }],
      writes: [{ key, value: JSON.stringify(value) }],
    })
    if (outcome === 'committed') return Result.ok({ held })
    // The row said that no attempt ran before, so the refusal may say the same.
    if (outcome === 'unavailable') return Result.err(refuseWithoutClaim(true))
    const answer = await table.read([key])
    const row = answer.outcome === 'read' ? answer.rows[0] : undefined
    if (!row) {
      this.settle(held, 'not-run')
      return Result.err(refuseWithoutClaim(false))
    }
    const decision = decideClaim(JSON.parse(row.value) as Claim, row.version, value)
    if (decision.decision === 'take-over') return Result.err(refuseWithoutClaim(true))
    return this.#follow(decision, held)
  }

  async #settle({ key, value }: HeldClaim, settled: Claim): Promise<void> {
    const { table, clock, log } = this.options
    for (let tries = 0; tries < SETTLE_TRIES; tries++) {
      const answer = await table.read([key])
      if (answer.outcome === 'read') {
        const row = answer.rows[0]
        const standing = row && (JSON.parse(row.value) as Claim)
        const isOurs = standing?.attempt === value.attempt && standing.step === 'claimed'
        if (!row || !isOurs) return
        const outcome = await table.commit({
          conditions: [{ key, version: row.version }],
          writes: [{ key, value: JSON.stringify(settled) }],
        })
        if (outcome === 'committed') return
      }
      await sleep(clock, SETTLE_PAUSE)
    }
    log.warn(
      { key },
      'the end of a claimed call could not be written; callers are told it may have run',
    )
  }
}
