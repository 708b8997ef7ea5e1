import {
  addEvidence,
  blockOf,
  createEvidenceStore,
  evidenceOf,
  mergeOldBlocks,
  formatVersion,
  HALT_PREFIX,
  haltKey,
  isHalted,
  judgeVersions,
  liftHalt,
  mergeEvidence,
  mergeHalt,
  ownEvidenceSince,
  proposeHalt,
  countRatings,
  totalEvidence,
  type Clock,
  type EvidenceCounter,
  type EvidenceTotals,
  type Halt,
  type Halts,
  type Milliseconds,
  type TableService,
  type VersionConstraints,
  type VersionJudgement,
  type VoterId,
} from '@yewkeel/decisions'
import type { Log, Metrics, Platform } from '../types/ports.js'
import { every } from './every.js'
import { logTaskFailure } from './logTaskFailure.js'

/** An answer that has not been rated yet. */
export interface ServedAnswer {
  organisation: string
  kind: string
  model: string
  version: string
  bucket?: number
  /** Probability of a good answer that the cascade's plan expected, from 0 to 1. */
  predictedQuality?: number
}

export interface ExposureTaskOptions {
  self: VoterId
  /** Prefix of this box's request ids, which selects its ratings. */
  router: string
  table: TableService
  readRatings: Platform['readRatings']
  clock: Clock
  log: Log
  metrics: Metrics
  /** For each model the versions that take new sessions, as `model@version`. */
  competingVersions(): string[][]
  onRating(answer: ServedAnswer, good: boolean): void
  /** Whether some upstream is confirmed to run a version. */
  isServed(version: string): boolean
  boxCount(): number
}

const RATINGS_POLL_INTERVAL: Milliseconds = 1_000
const JUDGE_INTERVAL: Milliseconds = 500
const HALTS_SYNC_INTERVAL: Milliseconds = 2_000
const MAX_UNRATED_ANSWERS = 60_000

/**
 * Collects ratings by version, exchanges them with the other boxes and halts versions that rate
 * worse.
 */
export class ExposureTask implements VersionConstraints {
  readonly #evidence
  readonly #halts: Halts = new Map()
  readonly #unsavedHalts = new Map<string, Halt>()
  readonly #unratedAnswers = new Map<string, ServedAnswer>()
  readonly #lastSentChange = new Map<VoterId, number>()
  readonly #judgements = new Map<string, VersionJudgement>()
  /** Answers of each version since the last judgement, which use up its room. */
  readonly #servedSinceJudgement = new Map<string, number>()
  #totals: EvidenceTotals = new Map()
  #ratingsCursor = 0
  #timers: { cancel(): void }[] = []

  constructor(private readonly options: ExposureTaskOptions) {
    this.#evidence = createEvidenceStore(options.self)
  }

  start(): void {
    const { clock, log } = this.options
    void this.readHalts()
    this.#timers = [
      every(
        clock,
        RATINGS_POLL_INTERVAL,
        () => this.#readRatings(),
        logTaskFailure(log, 'ratings'),
      ),
      every(clock, JUDGE_INTERVAL, () => this.judge(), logTaskFailure(log, 'judgement')),
      every(clock, HALTS_SYNC_INTERVAL, () => this.#syncHalts(), logTaskFailure(log, 'halts')),
    ]
  }

  stop(): void {
    this.#timers.forEach(timer => timer.cancel())
  }

  isHalted(version: string): boolean {
    return isHalted(this.#halts, version)
  }

  /** This box's share of the answers that a version may still give before more ratings arrive. */
  roomOf(version: string): number {
    const room = this.#judgements.get(version)?.headroom ?? Infinity
    const share = room / Math.max(1, this.options.boxCount())
    return Math.ceil(share) - (this.#servedSinceJudgement.get(version) ?? 0)
  }

  isServed(version: string): boolean {
    return this.options.isServed(version)
  }

  get halts(): readonly Halt[] {
    return [...this.#halts.values()]
  }

  get judgements(): readonly VersionJudgement[] {
    return [...this.#judgements.values()]
  }

  /** Answers that a version gave, and how many of them were rated, over all boxes. */
  countsOf(version: string): { served: number; rated: number } {
    return countRatings(evidenceOf(this.#totals, this.#halts, version))
  }

  /** Counts an answer and keeps it until it is rated; beyond a limit the oldest are dropped. */
  recordAnswer(requestId: string, answer: ServedAnswer): void {
    const version = formatVersion(answer)
    this.#unratedAnswers.set(requestId, answer)
    this.#servedSinceJudgement.set(version, (this.#servedSinceJudgement.get(version) ?? 0) + 1)
    this.#addEvidence(answer, { served: 1 })
    for (const oldest of this.#unratedAnswers.keys()) {
      if (this.#unratedAnswers.size <= MAX_UNRATED_ANSWERS) break
      this.#unratedAnswers.delete(oldest)
    }
  }

  /**
   * Counts the rating of an answer of this box; ignored if the answer is not kept or already rated.
   */
  recordRating(requestId: string, good: boolean): void {
    const answer = this.#unratedAnswers.get(requestId)
    if (!answer) return
    this.#unratedAnswers.delete(requestId)
    this.#addEvidence(answer, good ? { good: 1 } : { bad: 1 })
    this.options.onRating(answer, good)
  }

  /** Evidence of this box that changed since the last call for this peer. */
  evidenceFor(peer: VoterId): EvidenceCounter[] {
    const unsent = ownEvidenceSince(this.#evidence, this.#lastSentChange.get(peer) ?? 0)
    this.#lastSentChange.set(peer, this.#evidence.changes)
    return unsent
  }

  /** Makes `evidenceFor` return all evidence again, for a newly linked peer. */
  forgetSent(peer: VoterId): void {
    this.#lastSentChange.delete(peer)
  }

  /** Merges the evidence and halts of another box. */
  merge(evidence: readonly EvidenceCounter[], halts: readonly Halt[]): void {
    mergeEvidence(this.#evidence, evidence)
    for (const halt of halts) this.#applyHalt(halt)
  }

  /** Compares the competing versions and halts those that the evidence shows to be worse. */
  judge(): void {
    const { clock, competingVersions, log, metrics } = this.options
    mergeOldBlocks(this.#evidence, blockOf(clock.wallTime()))
    this.#totals = totalEvidence(this.#evidence)
    this.#judgements.clear()
    this.#servedSinceJudgement.clear()
    for (const versions of competingVersions()) {
      for (const judgement of judgeVersions(this.#totals, this.#halts, versions)) {
        this.#judgements.set(judgement.version, judgement)
        if (!judgement.isWorse) continue
        const halt = proposeHalt(this.#halts, judgement.version, 'ratings show it to be worse')
        if (!halt) continue
        log.warn(
          { version: halt.version },
          'version halted: its ratings are worse than those of the incumbent',
        )
        metrics.count('versions.halted')
        this.#applyHalt(halt)
        this.#unsavedHalts.set(halt.version, halt)
      }
    }
    void this.#saveHalts()
  }

  /** Halts a version for an operator; returns the existing halt if it is already halted. */
  async halt(version: string, reason: string): Promise<Halt> {
    const halt = proposeHalt(this.#halts, version, reason) ?? this.#halts.get(version)!
    this.#applyHalt(halt)
    this.#unsavedHalts.set(version, halt)
    await this.#saveHalts()
    return halt
  }

  /**
   * Lifts a halt for an operator. Undefined if the version is not halted; false if the write
   * failed.
   */
  async lift(version: string, operator: string): Promise<Halt | undefined | false> {
    await this.readHalts()
    const known = this.#halts.get(version)
    if (known?.state !== 'halted') return undefined
    const lifted = liftHalt(known, operator, blockOf(this.options.clock.wallTime()))
    this.#unsavedHalts.set(version, lifted)
    if (!(await this.#save(lifted))) {
      this.#unsavedHalts.delete(version)
      return false
    }
    this.#applyHalt(lifted)
    return lifted
  }

  /** Merges the stored halts. False if the store did not answer. */
  async readHalts(): Promise<boolean> {
    const answer = await this.options.table.list(HALT_PREFIX)
    if (answer.outcome !== 'read') return false
    for (const row of answer.rows) this.#applyHalt(JSON.parse(row.value) as Halt)
    return true
  }

  #addEvidence(
    answer: ServedAnswer,
    added: Partial<Pick<EvidenceCounter, 'served' | 'good' | 'bad'>>,
  ): void {
    const block = blockOf(this.options.clock.wallTime())
    addEvidence(this.#evidence, { version: formatVersion(answer), kind: answer.kind, block }, added)
  }

  #applyHalt(halt: Halt): void {
    if (!mergeHalt(this.#halts, halt)) return
    this.options.log.info({ ...halt }, 'halt state of a version changed')
  }

  async #syncHalts(): Promise<void> {
    await this.readHalts()
    await this.#saveHalts()
  }

  async #saveHalts(): Promise<void> {
    for (const halt of [...this.#unsavedHalts.values()]) await this.#save(halt)
  }

  /**
   * Writes a halt by compare-and-swap unless the stored one takes precedence. False if it is not
   * stored.
   */
  async #save(halt: Halt): Promise<boolean> {
    const key = haltKey(halt.version)
    const answer = await this.options.table.read([key])
    if (answer.outcome !== 'read') return false
    const row = answer.rows[0]
    const stored = row && (JSON.parse(row.value) as Halt)
    const storedHalts: Halts = new Map(stored ? [[stored.version, stored]] : [])
    if (!mergeHalt(storedHalts, halt)) {
      this.#unsavedHalts.delete(halt.version)
      return stored?.state === halt.state && stored.generation === halt.generation
    }
    const outcome = await this.options.table.commit({
      conditions: [{ key, version: row?.version ?? 0 }],
      writes: [{ key, value: JSON.stringify(halt) }],
    })
    if (outcome !== 'committed') return false
    if (this.#unsavedHalts.get(halt.version) === halt) this.#unsavedHalts.delete(halt.version)
    return true
  }

  async #readRatings(): Promise<void> {
    const answer = await this.options.readRatings(this.#ratingsCursor, this.options.router)
    if (!answer) return
    this.#ratingsCursor = answer.cursor
    for (const rating of answer.ratings) this.recordRating(rating.requestId, rating.good)
  }
}
