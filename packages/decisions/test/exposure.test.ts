import { expect } from 'chai'
import {
  addEvidence,
  createEvidenceStore,
  createSeededRandom,
  foldOldEvidence,
  isHalted,
  judgeVersions,
  liftHalt,
  mergeEvidence,
  mergeHalt,
  OLDER_BLOCK,
  ownEvidenceSince,
  proposeHalt,
  totalEvidence,
  type Halts,
} from '@yewkeel/decisions'

const OLD = 'm@1'
const NEW = 'm@2'

/** Rates `count` answers of the new version, after a long good time of the old one, until it is halted. */
function ratingsUntilHalt(seed: number, goodShare: number, count: number): number | undefined {
  const random = createSeededRandom(seed)
  const store = createEvidenceStore('box/1')
  addEvidence(
    store,
    { version: OLD, kind: 'k', block: 1 },
    { served: 2_000, good: 1_800, bad: 200 },
  )
  for (let rated = 1; rated <= count; rated++) {
    const outcome = random() < goodShare ? { good: 1 } : { bad: 1 }
    addEvidence(
      store,
      { version: NEW, kind: 'k', block: 2 + Math.floor(rated / 100) },
      { served: 1, ...outcome },
    )
    const judged = judgeVersions(totalEvidence(store), new Map(), [OLD, NEW])
    if (judged.some(({ version, shownWorse }) => version === NEW && shownWorse)) return rated
  }
  return undefined
}

describe('the test for a worse version', () => {
  it('halts a version that is 20 points worse within a few dozen ratings', () => {
    const counts = [1, 2, 3, 4, 5].map(seed => ratingsUntilHalt(seed, 0.7, 1_000))
    for (const count of counts) expect(count).to.be.below(200)
  })

  it('halts fewer than one in a hundred versions that are as good, however often it looks', () => {
    const halted = Array.from({ length: 100 }, (_, seed) => ratingsUntilHalt(seed, 0.9, 600))
    expect(halted.filter(count => count !== undefined).length).to.be.at.most(1)
  })
})

describe('a version without ratings', () => {
  it('waits after its first answers while the rating service is out', () => {
    const store = createEvidenceStore('box/1')
    addEvidence(
      store,
      { version: OLD, kind: 'k', block: 1 },
      { served: 1_000, good: 900, bad: 100 },
    )
    addEvidence(store, { version: NEW, kind: 'k', block: 2 }, { served: 60 })
    const judged = judgeVersions(totalEvidence(store), new Map(), [OLD, NEW])
    expect(judged.find(({ version }) => version === NEW)?.room).to.equal(0)
  })
})

describe('evidence between boxes', () => {
  it('comes to the same whatever the order and however often it is heard', () => {
    const [left, right] = [createEvidenceStore('a/1'), createEvidenceStore('b/1')]
    addEvidence(left, { version: OLD, kind: 'k', block: 1 }, { served: 3, good: 1 })
    addEvidence(right, { version: OLD, kind: 'k', block: 1 }, { served: 2, bad: 2 })
    const [fromLeft, fromRight] = [ownEvidenceSince(left, 0), ownEvidenceSince(right, 0)]
    mergeEvidence(left, fromRight)
    mergeEvidence(right, fromLeft)
    mergeEvidence(right, fromLeft)
    expect(totalEvidence(left)).to.deep.equal(totalEvidence(right))
    expect(totalEvidence(left).get(OLD)?.get('k')?.get(1)).to.deep.equal({
      served: 5,
      good: 1,
      bad: 2,
    })
  })

  it('keeps its sums when old blocks are folded together', () => {
    const store = createEvidenceStore('a/1')
    for (let block = 0; block < 50; block++)
      addEvidence(store, { version: OLD, kind: 'k', block }, { good: 1 })
    foldOldEvidence(store, 49)
    expect(totalEvidence(store).get(OLD)?.get('k')?.get(OLDER_BLOCK)?.good).to.equal(20)
    expect(store.counters.size).to.equal(31)
  })
})

describe('halts', () => {
  it('stand wherever they are heard of, and only a later generation lifts them', () => {
    const [left, right]: [Halts, Halts] = [new Map(), new Map()]
    const halt = proposeHalt(left, NEW, 'worse')!
    mergeHalt(left, halt)
    mergeHalt(right, halt)
    const lifted = liftHalt(halt, 'operator', 7)
    mergeHalt(left, lifted)
    mergeHalt(left, halt)
    expect(isHalted(left, NEW)).to.equal(false)
    expect(isHalted(right, NEW)).to.equal(true)
    mergeHalt(right, lifted)
    expect(isHalted(right, NEW)).to.equal(false)
    expect(proposeHalt(right, NEW, 'again')?.generation).to.equal(2)
  })
})
