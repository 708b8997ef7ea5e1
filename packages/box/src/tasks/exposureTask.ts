import {
  addEvidence,
  blockOf,
  createEvidenceStore,
  evidenceOf,
  foldOldEvidence,
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
  rampStateOf,
  totalEvidence,
  type Clock,
  type EvidenceCounter,
  type EvidenceTotals,
  type Halt,
  type Halts,
  type Milliseconds,
  type TableService,
  type VersionBounds,
  type VersionJudgement,
  type VoterId,
} from '@yewkeel/decisions'
import type { Log, Metrics, Platform } from '../types/ports.js'
import { every } from './every.js'

/** What a served answer is remembered by until its rating comes. */
export interface ServedAnswer {
  organisation: string
  kind: string
  model: string
  version: string
  bucket?: number
  /** What the plan of its cascade promised. */
  promised?: number
}

export interface ExposureTaskOptions {
  self: VoterId
  /** Prefix of this box's request ids. */
  router: string
  table: TableService
  readRatings: Platform['readRatings']
  clock: Clock
  log: Log
  metrics: Metrics
  /** Versions of each model that take new sessions now, as `model@version`. */
  competingVersions(): string[][]
  onRating(answer: ServedAnswer, good: boolean): void
  /** Whether any upstream is proved to run a version. */
  isServed(version: string): boolean
  boxCount(): number
}

const RATINGS_EVERY: Milliseconds = 1_000
const JUDGE_EVERY: Milliseconds = 500
const HALTS_EVERY: Milliseconds = 2_000
const REMEMBERED_ANSWERS = 60_000

/** Gathers evidence about versions and halts those that are shown to be worse. */
export class ExposureTask implements VersionBounds {
  readonly #evidence
  readonly #halts: Halts = new Map()
  readonly #unsaved = new Map<string, Halt>()
  readonly #served = new Map<string, ServedAnswer>()
  readonly #sentToPeer = new Map<VoterId, number>()
  readonly #judgements = new Map<string, VersionJudgement>()
  /** Answers since the last judgement, taken off the room that it left. */
  readonly #servedSince = new Map<string, number>()
  #totals: EvidenceTotals = new Map()
  #cursor = 0
  #timers: { cancel(): void }[] = []

  constructor(private readonly options: ExposureTaskOptions) {
    this.#evidence = createEvidenceStore(options.self)
  }

  start(): void {
    const { clock } = this.options
    void this.readHalts()
    this.#timers = [
      every(clock, RATINGS_EVERY, () => this.#readRatings()),
      every(clock, JUDGE_EVERY, () => this.judge()),
      every(clock, HALTS_EVERY, () => this.#syncHalts()),
    ]
  }

  stop(): void {
    this.#timers.forEach(timer => timer.cancel())
  }

  isHalted(version: string): boolean {
    return isHalted(this.#halts, version)
  }

  /** This box's part of the answers that a version may give before more ratings come. */
  roomOf(version: string): number {
    const room = this.#judgements.get(version)?.room ?? Infinity
    const part = room / Math.max(1, this.options.boxCount())
    return Math.ceil(part) - (this.#servedSince.get(version) ?? 0)
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

  /** Answers given and rated, by version, over all boxes. */
  countsOf(version: string): { served: number; rated: number } {
    return rampStateOf(evidenceOf(this.#totals, this.#halts, version))
  }

  noteServed(requestId: string, answer: ServedAnswer): void {
    const version = formatVersion(answer)
    this.#served.set(requestId, answer)
    this.#servedSince.set(version, (this.#servedSince.get(version) ?? 0) + 1)
    this.#add(answer, { served: 1 })
    for (const oldest of this.#served.keys()) {
      if (this.#served.size <= REMEMBERED_ANSWERS) break
      this.#served.delete(oldest)
    }
  }

  noteRating(requestId: string, good: boolean): void {
    const answer = this.#served.get(requestId)
    if (!answer) return
    this.#served.delete(requestId)
    this.#add(answer, good ? { good: 1 } : { bad: 1 })
    this.options.onRating(answer, good)
  }

  /** Evidence that the peer has not been sent yet. */
  evidenceFor(peer: VoterId): EvidenceCounter[] {
    const news = ownEvidenceSince(this.#evidence, this.#sentToPeer.get(peer) ?? 0)
    this.#sentToPeer.set(peer, this.#evidence.changes)
    return news
  }

  /** The link to a peer is new: it is sent all again. */
  resetPeer(peer: VoterId): void {
    this.#sentToPeer.delete(peer)
  }

  hear(evidence: readonly EvidenceCounter[], halts: readonly Halt[]): void {
    mergeEvidence(this.#evidence, evidence)
    for (const halt of halts) this.#takeHalt(halt)
  }

  /** Halts what the evidence shows to be worse. */
  judge(): void {
    const { clock, competingVersions, log, metrics } = this.options
    foldOldEvidence(this.#evidence, blockOf(clock.wallTime()))
    this.#totals = totalEvidence(this.#evidence)
    this.#judgements.clear()
    this.#servedSince.clear()
    for (const versions of competingVersions()) {
      for (const judgement of judgeVersions(this.#totals, this.#halts, versions)) {
        this.#judgements.set(judgement.version, judgement)
        if (!judgement.shownWorse) continue
        const halt = proposeHalt(this.#halts, judgement.version, 'ratings show it to be worse')
        if (!halt) continue
        log.warn({ version: halt.version }, 'a version is halted: its ratings show it to be worse')
        metrics.count('versions.halted')
        this.#takeHalt(halt)
        this.#unsaved.set(halt.version, halt)
      }
    }
    void this.#saveHalts()
  }

  /** An operator's own halt of a version. */
  async halt(version: string, reason: string): Promise<Halt> {
    const halt = proposeHalt(this.#halts, version, reason) ?? this.#halts.get(version)!
    this.#takeHalt(halt)
    this.#unsaved.set(version, halt)
    await this.#saveHalts()
    return halt
  }

  /** An operator lifts a halt. Undefined when none stands; false when the store did not take it. */
  async lift(version: string, operator: string): Promise<Halt | undefined | false> {
    await this.readHalts()
    const known = this.#halts.get(version)
    if (known?.state !== 'halted') return undefined
    const lifted = liftHalt(known, operator, blockOf(this.options.clock.wallTime()))
    this.#unsaved.set(version, lifted)
    if (!(await this.#save(lifted))) {
      this.#unsaved.delete(version)
      return false
    }
    this.#takeHalt(lifted)
    return lifted
  }

  async readHalts(): Promise<boolean> {
    const answer = await this.options.table.list(HALT_PREFIX)
    if (answer.outcome !== 'read') return false
    for (const row of answer.rows) this.#takeHalt(JSON.parse(row.value) as Halt)
    return true
  }

  #add(
    answer: ServedAnswer,
    added: Partial<Pick<EvidenceCounter, 'served' | 'good' | 'bad'>>,
  ): void {
    const block = blockOf(this.options.clock.wallTime())
    addEvidence(this.#evidence, { version: formatVersion(answer), kind: answer.kind, block }, added)
  }

  #takeHalt(halt: Halt): void {
    if (!mergeHalt(this.#halts, halt)) return
    this.options.log.info({ ...halt }, 'the halt of a version has changed')
  }

  async #syncHalts(): Promise<void> {
    await this.readHalts()
    await this.#saveHalts()
  }

  async #saveHalts(): Promise<void> {
    for (const halt of [...this.#unsaved.values()]) await this.#save(halt)
  }

  /** Writes a halt unless the store holds one that goes before it. */
  async #save(halt: Halt): Promise<boolean> {
    const key = haltKey(halt.version)
    const answer = await this.options.table.read([key])
    if (answer.outcome !== 'read') return false
    const row = answer.rows[0]
    const standing = row && (JSON.parse(row.value) as Halt)
    const scratch: Halts = new Map(standing ? [[standing.version, standing]] : [])
    if (!mergeHalt(scratch, halt)) {
      this.#unsaved.delete(halt.version)
      return standing?.state === halt.state && standing.generation === halt.generation
    }
    const outcome = await this.options.table.commit({
      conditions: [{ key, version: row?.version ?? 0 }],
      writes: [{ key, value: JSON.stringify(halt) }],
    })
    if (outcome !== 'committed') return false
    if (this.#unsaved.get(halt.version) === halt) this.#unsaved.delete(halt.version)
    return true
  }

  async #readRatings(): Promise<void> {
    const answer = await this.options.readRatings(this.#cursor, this.options.router)
    if (!answer) return
    this.#cursor = answer.cursor
    for (const rating of answer.ratings) this.noteRating(rating.requestId, rating.good)
  }
}
