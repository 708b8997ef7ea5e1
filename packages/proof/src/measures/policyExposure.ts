/** Bad answers of a bad version before it gets no new sessions, and false halts of good ones. */
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
import { drawGap, drawKind, type Workload } from './workload.js'

interface ExposureCase {
  /** How many points worse the new version is. */
  drop: number
  /** Its share of new sessions. */
  weight: number
  ratingDelay: Milliseconds
  ratingsOut: boolean
}

const PER_SECOND = 20
/** Time before the roll-out in which the old version gathers its evidence. */
const BEFORE: Milliseconds = 300_000
const LONGEST: Milliseconds = 1_800_000
const JUDGE_EVERY: Milliseconds = 500
const RATING_COVERAGE = 0.5
const OLD = 'large@1'
const NEW = 'large@2'
/** The baseline looks at the last so many ratings, and halts when they are so much worse. */
const WINDOW = 100
const WINDOW_DROP = 0.1

const CASES: ExposureCase[] = [
  ...[0.1, 0.2, 0.4].flatMap(drop =>
    [0.01, 0.05, 0.2].map(weight => ({ drop, weight, ratingDelay: 2_000, ratingsOut: false })),
  ),
  ...[60_000, 600_000].map(ratingDelay => ({
    drop: 0.2,
    weight: 0.05,
    ratingDelay,
    ratingsOut: false,
  })),
  { drop: 0.2, weight: 0.05, ratingDelay: 2_000, ratingsOut: true },
  { drop: 0, weight: 0.2, ratingDelay: 2_000, ratingsOut: false },
]
const QUICK_CASES = CASES.filter(({ drop, weight }) => drop === 0.2 && weight === 0.05)

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
      const { bad, halted, served } = runRollOut(workload, seed, exposure, policy)
      const labels = { workload: workload.name, case: nameOf(exposure), policy }
      if (exposure.drop === 0) {
        rows.add({ ...labels, metric: 'falseHalts', unit: 'share of roll-outs' }, halted ? 1 : 0)
      } else {
        rows.add({ ...labels, metric: 'badAnswers', unit: 'answers' }, bad)
        rows.add({ ...labels, metric: 'haltedShare', unit: 'share of roll-outs' }, halted ? 1 : 0)
      }
      rows.add({ ...labels, metric: 'answersOfNewVersion', unit: 'answers' }, served)
    }
  }
}

function nameOf({ drop, weight, ratingDelay, ratingsOut }: ExposureCase): string {
  const late = ratingsOut ? 'ratings out' : `ratings ${ratingDelay / 1_000} s late`
  return `${drop * 100} points worse, ${weight * 100} %, ${late}`
}

function runRollOut(
  workload: Workload,
  seed: number,
  exposure: ExposureCase,
  policy: ExposurePolicy,
) {
  const clock = new ManualClock()
  const random = createSeededRandom(seed)
  const evidence = createEvidenceStore('box-1/1')
  const recent: boolean[] = []
  const result = { bad: 0, served: 0, halted: false }
  let room = Infinity
  let judgedAt = 0

  const judge = () => {
    judgedAt = clock.now()
    if (policy === 'fixed-window') {
      result.halted ||= isWindowWorse(recent, workload)
      return
    }
    const judgement = judgeVersions(totalEvidence(evidence), new Map(), [OLD, NEW]).find(
      ({ version }) => version === NEW,
    )
    result.halted ||= judgement?.shownWorse ?? false
    room = judgement?.room ?? Infinity
  }
  const answer = (version: string, kind: string, chance: number) => {
    const good = random() < chance
    const block = blockOf(clock.wallTime())
    addEvidence(evidence, { version, kind, block }, { served: 1 })
    const isNew = version === NEW
    if (isNew) {
      result.served++
      room--
      if (!good) result.bad++
    }
    const isRated = random() < RATING_COVERAGE && !(exposure.ratingsOut && isNew)
    if (!isRated) return
    clock.after(exposure.ratingDelay, () => {
      addEvidence(
        evidence,
        { version, kind, block: blockOf(clock.wallTime()) },
        good ? { good: 1 } : { bad: 1 },
      )
      if (isNew) recent.push(good)
    })
  }

  while (clock.now() < BEFORE + LONGEST && !result.halted) {
    clock.advanceSync(drawGap(PER_SECOND, random))
    if (clock.now() - judgedAt >= JUDGE_EVERY) judge()
    const kind = drawKind(workload, random)
    const chance = kind.good.large!
    const isNew = clock.now() > BEFORE && random() < exposure.weight && room > 0 && !result.halted
    if (isNew) answer(NEW, kind.name, chance - exposure.drop)
    else answer(OLD, kind.name, chance)
  }
  return result
}

/** The baseline: a threshold on a window of a fixed length. */
function isWindowWorse(recent: readonly boolean[], workload: Workload): boolean {
  if (recent.length < WINDOW) return false
  const good = recent.slice(-WINDOW).filter(Boolean).length / WINDOW
  const shares = workload.kinds.reduce((sum, kind) => sum + kind.share, 0)
  const usual =
    workload.kinds.reduce((sum, kind) => sum + kind.share * kind.good.large!, 0) / shares
  return good < usual - WINDOW_DROP
}
