/** Bad answers of a bad candidate version until its rollout halts, and false halts of a good one. */
import {
  addEvidence,
  blockOf,
  createEvidenceStore,
  createSeededRandom,
  judgeVersions,
  ManualClock,
  totalEvidence,
  type Milliseconds,
} from '@yewkeel/decisions'
import type { RowCollector } from './measureRow.js'
import { drawInterarrivalTime, drawKind, type Workload } from './workload.js'

interface ExposureCase {
  /** Drop in the probability of a good answer, against the incumbent. */
  qualityDrop: number
  /** Fraction of new sessions that are sent to the candidate. */
  weight: number
  ratingDelay: Milliseconds
  /** The candidate receives no ratings. */
  ratingsMissing: boolean
}

const REQUESTS_PER_SECOND = 20
/** The incumbent collects evidence alone before the rollout starts. */
const BASELINE_DURATION: Milliseconds = 300_000
const MAX_ROLLOUT_DURATION: Milliseconds = 1_800_000
const EVALUATION_INTERVAL: Milliseconds = 500
const RATED_FRACTION = 0.5
const INCUMBENT = 'large@1'
const CANDIDATE = 'large@2'
/** Ratings in the window of the `fixed-window` baseline. */
const WINDOW_SIZE = 100
/** The baseline halts when the good fraction of the window drops by more. */
const MAX_WINDOW_DROP = 0.1

const CASES: ExposureCase[] = [
  ...[0.1, 0.2, 0.4].flatMap(qualityDrop =>
    [0.01, 0.05, 0.2].map(weight => ({
      qualityDrop,
      weight,
      ratingDelay: 2_000,
      ratingsMissing: false,
    })),
  ),
  ...[60_000, 600_000].map(ratingDelay => ({
    qualityDrop: 0.2,
    weight: 0.05,
    ratingDelay,
    ratingsMissing: false,
  })),
  { qualityDrop: 0.2, weight: 0.05, ratingDelay: 2_000, ratingsMissing: true },
  { qualityDrop: 0, weight: 0.2, ratingDelay: 2_000, ratingsMissing: false },
]
const QUICK_CASES = CASES.filter(
  ({ qualityDrop, weight }) => qualityDrop === 0.2 && weight === 0.05,
)

type ExposurePolicy = 'yewkeel' | 'fixed-window'

/** Runs every case under both policies. */
export function measureExposure(
  workload: Workload,
  seed: number,
  quick: boolean,
  rows: RowCollector,
): void {
  for (const exposure of quick ? QUICK_CASES : CASES) {
    for (const policy of ['yewkeel', 'fixed-window'] as const) {
      const { bad, halted, served } = runRollout(workload, seed, exposure, policy)
      const labels = { workload: workload.name, case: caseNameOf(exposure), policy }
      if (exposure.qualityDrop === 0) {
        rows.add({ ...labels, metric: 'falseHalts', unit: 'share of roll-outs' }, halted ? 1 : 0)
      } else {
        rows.add({ ...labels, metric: 'badAnswers', unit: 'answers' }, bad)
        rows.add({ ...labels, metric: 'haltedShare', unit: 'share of roll-outs' }, halted ? 1 : 0)
      }
      rows.add({ ...labels, metric: 'answersOfNewVersion', unit: 'answers' }, served)
    }
  }
}

function caseNameOf({ qualityDrop, weight, ratingDelay, ratingsMissing }: ExposureCase): string {
  const ratings = ratingsMissing ? 'ratings out' : `ratings ${ratingDelay / 1_000} s late`
  return `${qualityDrop * 100} points worse, ${weight * 100} %, ${ratings}`
}

function runRollout(
  workload: Workload,
  seed: number,
  exposure: ExposureCase,
  policy: ExposurePolicy,
) {
  const clock = new ManualClock()
  const random = createSeededRandom(seed)
  const evidence = createEvidenceStore('box-1/1')
  const recentRatings: boolean[] = []
  const result = { bad: 0, served: 0, halted: false }
  let remainingAnswers = Infinity
  let evaluatedAt = 0

  const evaluate = () => {
    evaluatedAt = clock.now()
    if (policy === 'fixed-window') {
      result.halted ||= isWindowBelowThreshold(recentRatings, workload)
      return
    }
    const judgement = judgeVersions(totalEvidence(evidence), new Map(), [
      INCUMBENT,
      CANDIDATE,
    ]).find(({ version }) => version === CANDIDATE)
    result.halted ||= judgement?.isWorse ?? false
    remainingAnswers = judgement?.headroom ?? Infinity
  }
  const serveAnswer = (version: string, kind: string, goodProbability: number) => {
    const good = random() < goodProbability
    const block = blockOf(clock.wallTime())
    addEvidence(evidence, { version, kind, block }, { served: 1 })
    const isCandidate = version === CANDIDATE
    if (isCandidate) {
      result.served++
      remainingAnswers--
      if (!good) result.bad++
    }
    const isRated = random() < RATED_FRACTION && !(exposure.ratingsMissing && isCandidate)
    if (!isRated) return
    clock.after(exposure.ratingDelay, () => {
      addEvidence(
        evidence,
        { version, kind, block: blockOf(clock.wallTime()) },
        good ? { good: 1 } : { bad: 1 },
      )
      if (isCandidate) recentRatings.push(good)
    })
  }

  while (clock.now() < BASELINE_DURATION + MAX_ROLLOUT_DURATION && !result.halted) {
    clock.advanceSync(drawInterarrivalTime(REQUESTS_PER_SECOND, random))
    if (clock.now() - evaluatedAt >= EVALUATION_INTERVAL) evaluate()
    const kind = drawKind(workload, random)
    const goodProbability = kind.good.large!
    const isCandidate =
      clock.now() > BASELINE_DURATION &&
      random() < exposure.weight &&
      remainingAnswers > 0 &&
      !result.halted
    if (isCandidate) serveAnswer(CANDIDATE, kind.name, goodProbability - exposure.qualityDrop)
    else serveAnswer(INCUMBENT, kind.name, goodProbability)
  }
  return result
}

/** Baseline policy: compares the last ratings with the incumbent's expected quality. */
function isWindowBelowThreshold(recentRatings: readonly boolean[], workload: Workload): boolean {
  if (recentRatings.length < WINDOW_SIZE) return false
  const good = recentRatings.slice(-WINDOW_SIZE).filter(Boolean).length / WINDOW_SIZE
  const shares = workload.kinds.reduce((sum, kind) => sum + kind.share, 0)
  const expected =
    workload.kinds.reduce((sum, kind) => sum + kind.share * kind.good.large!, 0) / shares
  return good < expected - MAX_WINDOW_DROP
}
