import { OLDER_BLOCK, RETAINED_BLOCKS, type EvidenceTotal } from '../exposure/evidence.js'
import {
  isSignificantlyWorse,
  MIN_BASELINE_RATINGS,
  totalLogEvidence,
  type VersionEvidence,
  type SequentialTestOptions,
} from '../exposure/isSignificantlyWorse.js'
import type { Milliseconds } from '../types/clock.js'

/**
 * Rated aspects of an answer: completeness, time until it starts, speed of the rest, and whether
 * either is far from usual.
 */
export const ANSWER_ASPECTS = ['outcome', 'start', 'pace', 'delay'] as const
export type AnswerAspect = (typeof ANSWER_ASPECTS)[number]

/**
 * Answers of one version on one route, counted by one box since the rollout was ordered. Counts
 * only grow.
 */
export interface AnswerCount {
  service: string
  version: string
  route: string
  aspect: AnswerAspect
  /** Set for the version on trial only. */
  upstream?: string
  good: number
  /** Failed and incomplete answers; for `start` and `pace` answers slower than the baseline. */
  bad: number
}

/** Counts of one version, route, aspect and upstream, by time block. */
interface EvidenceCell {
  version: string
  route: string
  aspect: AnswerAspect
  upstream: string | undefined
  blocks: Map<number, EvidenceTotal>
}

/** Answer counts of a service's versions, in time blocks of the box that compares them. */
export interface EvidenceLedger {
  cells: Map<string, EvidenceCell>
  /** Last counts received, by box and cell. */
  lastCounts: Map<string, Pick<AnswerCount, 'good' | 'bad'>>
}

/** Evidence that a version is bad. */
export interface VersionFault {
  /** Aspects whose counts were tested together. */
  aspects: readonly AnswerAspect[]
  /** Undefined if all routes were tested together. */
  route: string | undefined
  /** Answers of the version and of the other versions, since the rollout was ordered. */
  good: number
  bad: number
  othersGood: number
  othersBad: number
}

/**
 * Length of a time block. Versions are compared over the same blocks, so that neither a late
 * regression nor a past fault of the other versions is averaged away. Long enough to hold several
 * answers.
 */
const BLOCK_DURATION: Milliseconds = 2_000

/** Options of one comparison of versions. */
interface VersionTest extends SequentialTestOptions {
  aspects: readonly AnswerAspect[]
  /**
   * Fraction of the version's upstreams to exclude, worst first, since single upstreams may be
   * faulty; 0 to 1.
   */
  excludedFraction: number
  /** Fewest upstreams with answers; lower if the version has fewer than twice as many upstreams. */
  minUpstreams: number
  /** Fewest bad answers. */
  minBad: number
  /** Whether to test each route on its own too. */
  byRoute: boolean
}

/** Fewer failures may be chance. */
const MIN_FAILURES = 4
/** Higher than for failures, since one long prompt slows all answers that run beside it. */
const MIN_SLOW_ANSWERS = 10
/**
 * Latency must be shown by many upstreams: load balancing sends less to slow upstreams of the
 * established versions but not to those on trial, and slow upstreams aren't ejected as failing ones
 * are.
 */
const LATENCY_TEST_OPTIONS = {
  alpha: 0.005,
  excludedFraction: 1 / 4,
  minUpstreams: 6,
  minBad: MIN_SLOW_ANSWERS,
  byRoute: false,
}
const VERSION_TESTS: readonly VersionTest[] = [
  {
    aspects: ['outcome'],
    alpha: 0.01,
    tolerance: 0.02,
    excludedFraction: 1 / 6,
    minUpstreams: 2,
    minBad: MIN_FAILURES,
    byRoute: true,
  },
  { aspects: ['start'], tolerance: 0.05, ...LATENCY_TEST_OPTIONS },
  // A cold prefix cache delays the start of answers but not their pace, so this tolerance is lower.
  { aspects: ['pace'], tolerance: 0.02, ...LATENCY_TEST_OPTIONS },
  // A few answers that are several times slower say more than many that are above the usual.
  { aspects: ['delay'], tolerance: 0.05, ...LATENCY_TEST_OPTIONS, minBad: MIN_FAILURES },
  // Detects a version that is slightly slow in both aspects sooner than either test alone.
  { aspects: ['start', 'pace'], tolerance: 0.02, ...LATENCY_TEST_OPTIONS },
]

/** Log likelihood ratio above which a version is doubted and not completed: 3 to 1. */
const DOUBT_LOG_EVIDENCE = Math.log(3)
const MIN_BAD_FOR_PROBABLE_FAULT = 3
/** Weaker than the main test, since it only confirms that result without the worst upstreams. */
const EXCLUSION_ALPHA = 0.05

export function createEvidenceLedger(): EvidenceLedger {
  return { cells: new Map(), lastCounts: new Map() }
}

/** Records the counts of a box. Returns whether any bad answers were added. */
export function recordAnswerCounts(
  ledger: EvidenceLedger,
  box: string,
  counts: readonly AnswerCount[],
  now: Milliseconds,
): boolean {
  const block = Math.floor(now / BLOCK_DURATION)
  let hasBad = false
  for (const count of counts) {
    const key = cellKeyOf(count)
    const previous = ledger.lastCounts.get(`${box} ${key}`)
    // Counts restart from 0 when a box restarts.
    const isSameIncarnation = previous && count.good >= previous.good && count.bad >= previous.bad
    const good = count.good - (isSameIncarnation ? previous.good : 0)
    const bad = count.bad - (isSameIncarnation ? previous.bad : 0)
    if (good === 0 && bad === 0) continue
    ledger.lastCounts.set(`${box} ${key}`, { good: count.good, bad: count.bad })
    const total = getOrCreateTotal(ledger, key, count, block)
    total.served += good + bad
    total.good += good
    total.bad += bad
    hasBad ||= bad > 0
  }
  return hasBad
}

function cellKeyOf({ version, route, aspect, upstream = '' }: AnswerCount): string {
  return `${version} ${route} ${aspect} ${upstream}`
}

function getOrCreateTotal(
  { cells }: EvidenceLedger,
  key: string,
  { version, route, aspect, upstream }: AnswerCount,
  block: number,
): EvidenceTotal {
  const cell = cells.get(key) ?? { version, route, aspect, upstream, blocks: new Map() }
  cells.set(key, cell)
  const total = cell.blocks.get(block) ?? { served: 0, good: 0, bad: 0 }
  cell.blocks.set(block, total)
  foldOldBlocks(cell.blocks, block)
  return total
}

/** Merges old blocks into `OLDER_BLOCK`, which bounds memory and test time during long rollouts. */
function foldOldBlocks(blocks: Map<number, EvidenceTotal>, newest: number): void {
  for (const [block, total] of blocks) {
    if (block === OLDER_BLOCK || block > newest - RETAINED_BLOCKS) continue
    blocks.delete(block)
    addTotal(blocks, OLDER_BLOCK, total)
  }
}

function addTotal(blocks: Map<number, EvidenceTotal>, block: number, total: EvidenceTotal): void {
  const known = blocks.get(block) ?? { served: 0, good: 0, bad: 0 }
  blocks.set(block, {
    served: known.served + total.served,
    good: known.good + total.good,
    bad: known.bad + total.bad,
  })
}

/**
 * Evidence that a version is significantly worse than the other versions of its service in the same
 * period; undefined while there is none. Safe to evaluate repeatedly.
 */
export function findVersionFault(
  ledger: EvidenceLedger,
  version: string,
  upstreams: number,
): VersionFault | undefined {
  return findFault(ledger, version, (candidate, others, test) =>
    isWorse(candidate, others, upstreams, test),
  )
}

/**
 * Evidence that a version is probably worse. Needs less evidence than `findVersionFault`, since it
 * is used when the trial is over instead of continuously. Undefined with little or no evidence.
 */
export function findProbableFault(
  ledger: EvidenceLedger,
  version: string,
  upstreams: number,
): VersionFault | undefined {
  return findFault(ledger, version, (candidate, others, test) =>
    isDoubtful(candidate, others, upstreams, test),
  )
}

/** Whether the candidate's counts show a fault in comparison with those of the other versions. */
type FaultTest = (
  candidate: readonly EvidenceCell[],
  others: readonly EvidenceCell[],
  test: VersionTest,
) => boolean

function findFault(
  ledger: EvidenceLedger,
  version: string,
  isFault: FaultTest,
): VersionFault | undefined {
  const cells = [...ledger.cells.values()]
  for (const test of VERSION_TESTS) {
    const cellsOfAspects = cells.filter(({ aspect }) => test.aspects.includes(aspect))
    const routes = new Set(test.byRoute ? cellsOfAspects.map(({ route }) => route) : [])
    for (const route of [undefined, ...routes]) {
      const selected =
        route === undefined ? cellsOfAspects : cellsOfAspects.filter(cell => cell.route === route)
      const { candidate, others } = splitByVersion(selected, version)
      if (isFault(candidate, others, test))
        return { aspects: test.aspects, route, ...sumComparison({ candidate, others }) }
    }
  }
  return undefined
}

/** Counts of a version and of the other versions in one aspect, over all routes. */
export function sumEvidence(
  ledger: EvidenceLedger,
  version: string,
  aspect: AnswerAspect,
): Omit<VersionFault, 'aspects' | 'route'> {
  const cellsOfAspect = [...ledger.cells.values()].filter(cell => cell.aspect === aspect)
  return sumComparison(splitByVersion(cellsOfAspect, version))
}

/** Cells of one version, and of all other versions. */
interface ComparedCells {
  candidate: readonly EvidenceCell[]
  others: readonly EvidenceCell[]
}

function splitByVersion(cells: readonly EvidenceCell[], version: string): ComparedCells {
  return {
    candidate: cells.filter(cell => cell.version === version),
    others: cells.filter(cell => cell.version !== version),
  }
}

/**
 * The fault must remain significant without the worst upstreams, which may be faulty themselves.
 */
function isWorse(
  candidate: readonly EvidenceCell[],
  others: readonly EvidenceCell[],
  upstreams: number,
  test: VersionTest,
): boolean {
  if (sumCells(candidate).bad < test.minBad) return false
  const kindOf = comparedKinds(others)
  const baseline = mergeCells(others, kindOf)
  if (!isSignificantlyWorse(mergeCells(candidate, kindOf), baseline, test)) return false
  if (upstreams <= 1) return true
  if (countUpstreams(candidate) < Math.min(test.minUpstreams, Math.ceil(upstreams / 2)))
    return false
  const rest = excludeWorstUpstreams(candidate, test)
  const confirmation = { ...test, alpha: EXCLUSION_ALPHA }
  return isSignificantlyWorse(mergeCells(rest, kindOf), baseline, confirmation)
}

function isDoubtful(
  candidate: readonly EvidenceCell[],
  others: readonly EvidenceCell[],
  upstreams: number,
  test: VersionTest,
): boolean {
  if (sumCells(candidate).bad < MIN_BAD_FOR_PROBABLE_FAULT) return false
  const kindOf = comparedKinds(others)
  const baseline = mergeCells(others, kindOf)
  const selected = upstreams <= 1 ? candidate : excludeWorstUpstreams(candidate, test)
  const evidence = totalLogEvidence(mergeCells(selected, kindOf), baseline, test.tolerance ?? 0)
  return evidence > DOUBT_LOG_EVIDENCE
}

const countUpstreams = (cells: readonly EvidenceCell[]): number =>
  new Set(cells.map(({ upstream }) => upstream)).size

function excludeWorstUpstreams(
  cells: readonly EvidenceCell[],
  { excludedFraction }: VersionTest,
): readonly EvidenceCell[] {
  const sorted = upstreamsWorstFirst(cells)
  const excluded = Math.max(1, Math.floor(excludedFraction * sorted.length))
  const kept = new Set(sorted.slice(excluded))
  return cells.filter(({ upstream }) => kept.has(upstream))
}

function upstreamsWorstFirst(cells: readonly EvidenceCell[]): (string | undefined)[] {
  const bad = new Map<string | undefined, number>()
  for (const cell of cells)
    bad.set(cell.upstream, (bad.get(cell.upstream) ?? 0) + sumCells([cell]).bad)
  const sorted = [...bad].sort(([, left], [, right]) => right - left)
  return sorted.map(([upstream]) => upstream)
}

/** The kind of evidence that a cell belongs to; kinds are compared separately. */
type KindOf = (cell: EvidenceCell) => string

/**
 * Kinds by aspect and route. Times are rated against those of their own route, so that routes with
 * too few ratings of the other versions are compared together.
 */
function comparedKinds(others: readonly EvidenceCell[]): KindOf {
  const ofRoute: KindOf = ({ aspect, route }) => `${aspect} ${route}`
  const ratings = new Map<string, number>()
  for (const cell of others) {
    const { good, bad } = sumCells([cell])
    ratings.set(ofRoute(cell), (ratings.get(ofRoute(cell)) ?? 0) + good + bad)
  }
  return cell => {
    const kind = ofRoute(cell)
    const isKnown = (ratings.get(kind) ?? 0) >= MIN_BASELINE_RATINGS
    return isKnown || cell.aspect === 'outcome' ? kind : cell.aspect
  }
}

function mergeCells(cells: readonly EvidenceCell[], kindOf: KindOf): VersionEvidence {
  const merged = new Map<string, Map<number, EvidenceTotal>>()
  for (const cell of cells) {
    const { blocks } = cell
    const kind = kindOf(cell)
    const kindBlocks = merged.get(kind) ?? new Map<number, EvidenceTotal>()
    merged.set(kind, kindBlocks)
    for (const [block, total] of blocks) addTotal(kindBlocks, block, total)
  }
  return merged
}

function sumCells(cells: readonly EvidenceCell[]): { good: number; bad: number } {
  const sum = { good: 0, bad: 0 }
  for (const { blocks } of cells)
    for (const { good, bad } of blocks.values()) {
      sum.good += good
      sum.bad += bad
    }
  return sum
}

function sumComparison({
  candidate,
  others,
}: ComparedCells): Omit<VersionFault, 'aspects' | 'route'> {
  const { good, bad } = sumCells(others)
  return { ...sumCells(candidate), othersGood: good, othersBad: bad }
}
