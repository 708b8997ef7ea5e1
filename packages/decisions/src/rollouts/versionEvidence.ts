import { KEPT_BLOCKS, OLDER_BLOCK, type EvidenceTotal } from '../exposure/evidence.js'
import {
  isShownWorse,
  logEvidenceOfAll,
  type VersionEvidence,
  type WorseTestOptions,
} from '../exposure/isShownWorse.js'
import type { Milliseconds } from '../types/clock.js'

/** What is judged of an answer: whether it came whole, how soon it began, and how fast it went on. */
export const ANSWER_ASPECTS = ['outcome', 'start', 'pace'] as const
export type AnswerAspect = (typeof ANSWER_ASPECTS)[number]

/** Answers of one version on one route, as one box saw them since the version was ordered. Each number only grows. */
export interface AnswerCount {
  service: string
  version: string
  route: string
  aspect: AnswerAspect
  /** Told for the version on trial only. */
  upstream?: string
  good: number
  /** Failures and broken answers; for `start` and `pace` those slower than most answers of other versions. */
  bad: number
}

/** Evidence of one version, route, aspect and upstream, by block of time. */
interface EvidenceCell {
  version: string
  route: string
  aspect: AnswerAspect
  upstream: string | undefined
  blocks: Map<number, EvidenceTotal>
}

/** The answers of a service's versions, cut into blocks of time by the box that judges them. */
export interface EvidenceLedger {
  cells: Map<string, EvidenceCell>
  /** What each box had told when it was last heard. */
  heard: Map<string, Pick<AnswerCount, 'good' | 'bad'>>
}

/** Why a version is held to be bad. */
export interface VersionFault {
  /** Those that show it together. */
  aspects: readonly AnswerAspect[]
  /** Undefined where all routes together show it. */
  route: string | undefined
  /** Of the version, and of the others, since it was ordered. */
  good: number
  bad: number
  othersGood: number
  othersBad: number
}

/**
 * Versions are compared within blocks, and from each block on: the good time of a version that turns bad late does not excuse it,
 * nor does trouble of the others that is over. Shorter ones hold too few answers to compare.
 */
const BLOCK_LENGTH: Milliseconds = 2_000

/** How the answers of versions are compared. */
interface VersionTest extends WorseTestOptions {
  aspects: readonly AnswerAspect[]
  /** Part of the version's upstreams that are left out, the worst first: they may be faulty themselves. */
  leftOutPart: number
  /** Upstreams whose answers must have been seen, if the version has twice as many. */
  leastUpstreams: number
  /** Fewer bad answers than this may be chance. */
  leastBad: number
  /** Whether a fault that shows on one route alone counts. */
  byRoute: boolean
}

/** Fewer failures may be chance. */
const LEAST_FAILED = 4
/** A long prompt makes the answers of all that run beside it late at once: a few slow answers together say as much as one. */
const LEAST_SLOW = 10
/**
 * Engines that are slow by themselves get less of what the established versions answer, and as much as others of what the
 * version on trial does, so that how long answers take is believed only of many upstreams. Failures soon put an upstream out of use.
 */
const OF_TIME = {
  alpha: 0.005,
  leftOutPart: 1 / 4,
  leastUpstreams: 6,
  leastBad: LEAST_SLOW,
  byRoute: false,
}
const TESTS: readonly VersionTest[] = [
  {
    aspects: ['outcome'],
    alpha: 0.01,
    tolerance: 0.02,
    leftOutPart: 1 / 6,
    leastUpstreams: 2,
    leastBad: LEAST_FAILED,
    byRoute: true,
  },
  { aspects: ['start'], tolerance: 0.05, ...OF_TIME },
  // Where a good version begins answers later, since nothing of the prompts is kept yet, it goes on no more slowly.
  { aspects: ['pace'], tolerance: 0.02, ...OF_TIME },
  // A version that is a little slow in both shows in half of the time.
  { aspects: ['start', 'pace'], tolerance: 0.02, ...OF_TIME },
]

/** Logarithm of the evidence against a version from which it is not given all requests: 3 to 1. */
const DOUBT = Math.log(3)
const LEAST_DOUBTED = 3
/** What is left without the worst only has to confirm what all show. */
const LEFT_OUT_ALPHA = 0.05

export function createEvidenceLedger(): EvidenceLedger {
  return { cells: new Map(), heard: new Map() }
}

/** Takes what a box has counted. True if a version has more bad answers than before. */
export function takeAnswerCounts(
  ledger: EvidenceLedger,
  box: string,
  counts: readonly AnswerCount[],
  now: Milliseconds,
): boolean {
  const block = Math.floor(now / BLOCK_LENGTH)
  let hasBad = false
  for (const count of counts) {
    const name = nameOf(count)
    const heard = ledger.heard.get(`${box} ${name}`)
    // A box that has started again counts from nothing.
    const isSameRun = heard && count.good >= heard.good && count.bad >= heard.bad
    const good = count.good - (isSameRun ? heard.good : 0)
    const bad = count.bad - (isSameRun ? heard.bad : 0)
    if (good === 0 && bad === 0) continue
    ledger.heard.set(`${box} ${name}`, { good: count.good, bad: count.bad })
    const total = totalOf(ledger, name, count, block)
    total.served += good + bad
    total.good += good
    total.bad += bad
    hasBad ||= bad > 0
  }
  return hasBad
}

function nameOf({ version, route, aspect, upstream = '' }: AnswerCount): string {
  return `${version} ${route} ${aspect} ${upstream}`
}

function totalOf(
  { cells }: EvidenceLedger,
  name: string,
  { version, route, aspect, upstream }: AnswerCount,
  block: number,
): EvidenceTotal {
  const cell = cells.get(name) ?? { version, route, aspect, upstream, blocks: new Map() }
  cells.set(name, cell)
  const total = cell.blocks.get(block) ?? { served: 0, good: 0, bad: 0 }
  cell.blocks.set(block, total)
  foldOldBlocks(cell.blocks, block)
  return total
}

/** Blocks of long ago are added together, so that a roll-out of hours is no more to keep and to judge than one of a minute. */
function foldOldBlocks(blocks: Map<number, EvidenceTotal>, newest: number): void {
  for (const [block, total] of blocks) {
    if (block === OLDER_BLOCK || block > newest - KEPT_BLOCKS) continue
    blocks.delete(block)
    addTotal(blocks, OLDER_BLOCK, total)
  }
}

/** Adds to what is known of a block. */
function addTotal(blocks: Map<number, EvidenceTotal>, block: number, total: EvidenceTotal): void {
  const known = blocks.get(block) ?? { served: 0, good: 0, bad: 0 }
  blocks.set(block, {
    served: known.served + total.served,
    good: known.good + total.good,
    bad: known.bad + total.bad,
  })
}

/**
 * Why a version is worse than the others of its service, at the same time and for the same work: in one aspect, on all routes
 * or on one. Undefined while that is not shown.
 */
export function findVersionFault(
  ledger: EvidenceLedger,
  version: string,
  upstreams: number,
): VersionFault | undefined {
  return findFault(ledger, version, (suspect, others, test) =>
    isWorse(suspect, others, upstreams, test),
  )
}

/**
 * Why a version had better not get all requests: what is known of it speaks rather against it than for it. The test above looks many
 * times and must not take chance for a fault; this looks once, when the trial is over, so that less is enough. Undefined too where
 * little or nothing is known.
 */
export function findVersionDoubt(
  ledger: EvidenceLedger,
  version: string,
  upstreams: number,
): VersionFault | undefined {
  return findFault(ledger, version, (suspect, others, test) =>
    isDoubtful(suspect, others, upstreams, test),
  )
}

/** Whether evidence of a version, beside that of the others, shows something against it. */
type FaultTest = (
  suspect: readonly EvidenceCell[],
  others: readonly EvidenceCell[],
  test: VersionTest,
) => boolean

function findFault(
  ledger: EvidenceLedger,
  version: string,
  isFault: FaultTest,
): VersionFault | undefined {
  const cells = [...ledger.cells.values()]
  for (const test of TESTS) {
    const ofAspects = cells.filter(({ aspect }) => test.aspects.includes(aspect))
    const routes = new Set(test.byRoute ? ofAspects.map(({ route }) => route) : [])
    for (const route of [undefined, ...routes]) {
      const compared = route === undefined ? ofAspects : ofAspects.filter(c => c.route === route)
      const { suspect, others } = partByVersion(compared, version)
      if (isFault(suspect, others, test))
        return { aspects: test.aspects, route, ...sumsOf({ suspect, others }) }
    }
  }
  return undefined
}

/** What all routes show of a version in one aspect, beside the others. */
export function sumEvidence(
  ledger: EvidenceLedger,
  version: string,
  aspect: AnswerAspect,
): Omit<VersionFault, 'aspects' | 'route'> {
  const ofAspect = [...ledger.cells.values()].filter(cell => cell.aspect === aspect)
  return sumsOf(partByVersion(ofAspect, version))
}

/** Evidence of a version, and that of the others beside it. */
interface ComparedCells {
  suspect: readonly EvidenceCell[]
  others: readonly EvidenceCell[]
}

function partByVersion(cells: readonly EvidenceCell[], version: string): ComparedCells {
  return {
    suspect: cells.filter(cell => cell.version === version),
    others: cells.filter(cell => cell.version !== version),
  }
}

/** The fault must show without the worst of the version's upstreams: one that fails by itself is no fault of the version. */
function isWorse(
  suspect: readonly EvidenceCell[],
  others: readonly EvidenceCell[],
  upstreams: number,
  test: VersionTest,
): boolean {
  if (sumOf(suspect).bad < test.leastBad) return false
  const bar = mergeCells(others)
  if (!isShownWorse(mergeCells(suspect), bar, test)) return false
  if (upstreams <= 1) return true
  if (countUpstreams(suspect) < Math.min(test.leastUpstreams, Math.ceil(upstreams / 2)))
    return false
  const rest = withoutWorst(suspect, test)
  return isShownWorse(mergeCells(rest), bar, { ...test, alpha: LEFT_OUT_ALPHA })
}

function isDoubtful(
  suspect: readonly EvidenceCell[],
  others: readonly EvidenceCell[],
  upstreams: number,
  test: VersionTest,
): boolean {
  if (sumOf(suspect).bad < LEAST_DOUBTED) return false
  const bar = mergeCells(others)
  const compared = upstreams <= 1 ? suspect : withoutWorst(suspect, test)
  return logEvidenceOfAll(mergeCells(compared), bar, test.tolerance ?? 0) > DOUBT
}

const countUpstreams = (cells: readonly EvidenceCell[]): number =>
  new Set(cells.map(({ upstream }) => upstream)).size

function withoutWorst(
  cells: readonly EvidenceCell[],
  { leftOutPart }: VersionTest,
): readonly EvidenceCell[] {
  const worstFirst = upstreamsByBad(cells)
  const leftOut = Math.max(1, Math.floor(leftOutPart * worstFirst.length))
  const kept = new Set(worstFirst.slice(leftOut))
  return cells.filter(({ upstream }) => kept.has(upstream))
}

function upstreamsByBad(cells: readonly EvidenceCell[]): (string | undefined)[] {
  const bad = new Map<string | undefined, number>()
  for (const cell of cells)
    bad.set(cell.upstream, (bad.get(cell.upstream) ?? 0) + sumOf([cell]).bad)
  const worstFirst = [...bad].sort(([, left], [, right]) => right - left)
  return worstFirst.map(([upstream]) => upstream)
}

/** By aspect and route, so that each is compared with itself. */
function mergeCells(cells: readonly EvidenceCell[]): VersionEvidence {
  const merged = new Map<string, Map<number, EvidenceTotal>>()
  for (const { aspect, route, blocks } of cells) {
    const kind = `${aspect} ${route}`
    const ofKind = merged.get(kind) ?? new Map<number, EvidenceTotal>()
    merged.set(kind, ofKind)
    for (const [block, total] of blocks) addTotal(ofKind, block, total)
  }
  return merged
}

function sumOf(cells: readonly EvidenceCell[]): { good: number; bad: number } {
  const sum = { good: 0, bad: 0 }
  for (const { blocks } of cells)
    for (const { good, bad } of blocks.values()) {
      sum.good += good
      sum.bad += bad
    }
  return sum
}

function sumsOf({ suspect, others }: ComparedCells): Omit<VersionFault, 'aspects' | 'route'> {
  const { good, bad } = sumOf(others)
  return { ...sumOf(suspect), othersGood: good, othersBad: bad }
}
