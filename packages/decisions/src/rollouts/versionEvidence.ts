import type { EvidenceTotal } from '../exposure/evidence.js'
import { isShownWorse, type VersionEvidence, type WorseTestOptions } from '../exposure/worseTest.js'
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
}

/**
 * Engines that are slow by themselves get less of what the established versions answer, and as much as others of what the
 * version on trial does, so that how long answers take is believed only of many upstreams. Failures soon put an upstream out of use.
 */
const OF_TIME = { alpha: 0.005, tolerance: 0.05, leftOutPart: 1 / 4, leastUpstreams: 8 }
const TESTS: readonly VersionTest[] = [
  { aspects: ['outcome'], alpha: 0.01, tolerance: 0.02, leftOutPart: 1 / 6, leastUpstreams: 2 },
  { aspects: ['start'], ...OF_TIME },
  { aspects: ['pace'], ...OF_TIME },
  // A version that is a little slow in both shows in half of the time.
  { aspects: ['start', 'pace'], ...OF_TIME },
]

/** Fewer bad answers than this may be chance. */
const LEAST_BAD = 4

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
  return total
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
  const cells = [...ledger.cells.values()]
  for (const test of TESTS) {
    const ofAspects = cells.filter(({ aspect }) => test.aspects.includes(aspect))
    const routes = new Set(ofAspects.map(({ route }) => route))
    for (const route of [undefined, ...routes]) {
      const compared = route === undefined ? ofAspects : ofAspects.filter(c => c.route === route)
      const suspect = compared.filter(cell => cell.version === version)
      const others = compared.filter(cell => cell.version !== version)
      if (isWorse(suspect, others, upstreams, test))
        return { aspects: test.aspects, route, ...sumOf(suspect), ...othersSum(others) }
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
  const suspect = ofAspect.filter(cell => cell.version === version)
  const others = ofAspect.filter(cell => cell.version !== version)
  return { ...sumOf(suspect), ...othersSum(others) }
}

/** The fault must show without the worst of the version's upstreams: one that fails by itself is no fault of the version. */
function isWorse(
  suspect: readonly EvidenceCell[],
  others: readonly EvidenceCell[],
  upstreams: number,
  test: VersionTest,
): boolean {
  if (sumOf(suspect).bad < LEAST_BAD) return false
  const bar = mergeCells(others)
  if (!isShownWorse(mergeCells(suspect), bar, test)) return false
  if (upstreams <= 1) return true
  const worstFirst = upstreamsByBad(suspect)
  if (worstFirst.length < Math.min(test.leastUpstreams, Math.ceil(upstreams / 2))) return false
  const leftOut = Math.max(1, Math.floor(test.leftOutPart * worstFirst.length))
  const kept = new Set(worstFirst.slice(leftOut))
  const rest = suspect.filter(({ upstream }) => kept.has(upstream))
  return isShownWorse(mergeCells(rest), bar, test)
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
    for (const [block, { served, good, bad }] of blocks) {
      const known = ofKind.get(block) ?? { served: 0, good: 0, bad: 0 }
      ofKind.set(block, {
        served: known.served + served,
        good: known.good + good,
        bad: known.bad + bad,
      })
    }
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

function othersSum(cells: readonly EvidenceCell[]): Pick<VersionFault, 'othersGood' | 'othersBad'> {
  const { good, bad } = sumOf(cells)
  return { othersGood: good, othersBad: bad }
}
