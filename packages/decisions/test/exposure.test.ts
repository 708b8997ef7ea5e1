import { expect } from 'chai'
import {
  addEvidence,
  createEvidenceStore,
  createSeededRandom,
  mergeOldBlocks,
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

const OLD_VERSION = 'm@1'
const NEW_VERSION = 'm@2'

/**
 * Number of ratings after which the new version is judged worse than a well-rated old one, up to
 * `count`.
 */
function ratingsUntilDetection(seed: number, goodShare: number, count: number): number | undefined {
  const random = createSeededRandom(seed)
  const store = createEvidenceStore('box/1')
  addEvidence(
    store,
    { version: OLD_VERSION, kind: 'k', block: 1 },
    { served: 2_000, good: 1_800, bad: 200 },
  )
  for (let rated = 1; rated <= count; rated++) {
    const outcome = random() < goodShare ? { good: 1 } : { bad: 1 }
    addEvidence(
      store,
      { version: NEW_VERSION, kind: 'k', block: 2 + Math.floor(rated / 100) },
      { served: 1, ...outcome },
    )
    const judgements = judgeVersions(totalEvidence(store), new Map(), [OLD_VERSION, NEW_VERSION])
    if (judgements.some(({ version, isWorse }) => version === NEW_VERSION && isWorse)) return rated
  }
  return undefined
}

describe('sequential test for a worse version', () => {
  it('detects a version that is 20 points worse within 200 ratings', () => {
    const counts = [1, 2, 3, 4, 5].map(seed => ratingsUntilDetection(seed, 0.7, 1_000))
    for (const count of counts) expect(count).to.be.below(200)
  })

  it('halts at most one of 100 equally good versions when evaluated after every rating', () => {
    const halted = Array.from({ length: 100 }, (_, seed) => ratingsUntilDetection(seed, 0.9, 600))
    expect(halted.filter(count => count !== undefined).length).to.be.at.most(1)
  })
})

describe('ramp without ratings', () => {
  it('pauses a version after its first answers while the rating service is unavailable', () => {
    const store = createEvidenceStore('box/1')
    addEvidence(
      store,
      { version: OLD_VERSION, kind: 'k', block: 1 },
      { served: 1_000, good: 900, bad: 100 },
    )
    addEvidence(store, { version: NEW_VERSION, kind: 'k', block: 2 }, { served: 60 })
    const judgements = judgeVersions(totalEvidence(store), new Map(), [OLD_VERSION, NEW_VERSION])
    expect(judgements.find(({ version }) => version === NEW_VERSION)?.headroom).to.equal(0)
  })
})

describe('replicated evidence', () => {
  it('merges to the same totals in any order and with duplicate deliveries', () => {
    const [left, right] = [createEvidenceStore('a/1'), createEvidenceStore('b/1')]
    addEvidence(left, { version: OLD_VERSION, kind: 'k', block: 1 }, { served: 3, good: 1 })
    addEvidence(right, { version: OLD_VERSION, kind: 'k', block: 1 }, { served: 2, bad: 2 })
    const [fromLeft, fromRight] = [ownEvidenceSince(left, 0), ownEvidenceSince(right, 0)]
    mergeEvidence(left, fromRight)
    mergeEvidence(right, fromLeft)
    mergeEvidence(right, fromLeft)
    expect(totalEvidence(left)).to.deep.equal(totalEvidence(right))
    expect(totalEvidence(left).get(OLD_VERSION)?.get('k')?.get(1)).to.deep.equal({
      served: 5,
      good: 1,
      bad: 2,
    })
  })

  it('keeps the totals when old blocks are merged', () => {
    const store = createEvidenceStore('a/1')
    for (let block = 0; block < 50; block++)
      addEvidence(store, { version: OLD_VERSION, kind: 'k', block }, { good: 1 })
    mergeOldBlocks(store, 49)
    expect(totalEvidence(store).get(OLD_VERSION)?.get('k')?.get(OLDER_BLOCK)?.good).to.equal(20)
    expect(store.counters.size).to.equal(31)
  })
})

describe('halts', () => {
  it('apply on every box that receives them until a later generation lifts them', () => {
    const [left, right]: [Halts, Halts] = [new Map(), new Map()]
    const halt = proposeHalt(left, NEW_VERSION, 'worse')!
    mergeHalt(left, halt)
    mergeHalt(right, halt)
    const lifted = liftHalt(halt, 'operator', 7)
    mergeHalt(left, lifted)
    mergeHalt(left, halt)
    expect(isHalted(left, NEW_VERSION)).to.equal(false)
    expect(isHalted(right, NEW_VERSION)).to.equal(true)
    mergeHalt(right, lifted)
    expect(isHalted(right, NEW_VERSION)).to.equal(false)
    expect(proposeHalt(right, NEW_VERSION, 'again')?.generation).to.equal(2)
  })
})
