import { expect } from 'chai'
import {
  createEvidenceLedger,
  createRecentDurations,
  findProbableFault,
  findVersionFault,
  isSlow,
  keepTrialUpstreams,
  recordDuration,
  recordAnswerCounts,
  type AnswerCount,
  type EvidenceLedger,
  type UpstreamCandidate,
} from '@yewkeel/decisions'

const count = (
  version: string,
  good: number,
  bad: number,
  overrides: Partial<AnswerCount> = {},
): AnswerCount => ({
  service: 'pool',
  version,
  route: 'chat',
  aspect: 'outcome',
  ...(version === 'v2' && { upstream: 'u1' }),
  good,
  bad,
  ...overrides,
})

function ledgerOf(counts: readonly AnswerCount[]): EvidenceLedger {
  const ledger = createEvidenceLedger()
  recordAnswerCounts(ledger, 'box-1', counts, 0)
  return ledger
}

const isBad = (ledger: EvidenceLedger, upstreams = 1) =>
  findVersionFault(ledger, 'v2', upstreams) !== undefined

describe('version evidence', () => {
  it('reports a version that fails far more often than the others', () => {
    expect(isBad(ledgerOf([count('v1', 200, 2), count('v2', 8, 5)]))).to.equal(true)
  })

  it('reports no fault when all versions fail equally often', () => {
    expect(isBad(ledgerOf([count('v1', 60, 40), count('v2', 6, 5)]))).to.equal(false)
  })

  it('reports the route when a version fails on that route only', () => {
    const ledger = ledgerOf([
      count('v1', 300, 1),
      count('v1', 30, 0, { route: 'tag' }),
      count('v2', 100, 0),
      count('v2', 1, 6, { route: 'tag' }),
    ])
    expect(findVersionFault(ledger, 'v2', 1)?.route).to.equal('tag')
  })

  it('reports no fault after three bad answers', () => {
    expect(isBad(ledgerOf([count('v1', 200, 0), count('v2', 0, 3)]))).to.equal(false)
  })

  it('reports the pace of a version whose answers are complete but slow', () => {
    const ledger = ledgerOf([
      count('v1', 200, 0),
      count('v1', 150, 50, { aspect: 'pace' }),
      count('v2', 40, 0),
      count('v2', 5, 35, { aspect: 'pace' }),
    ])
    expect(findVersionFault(ledger, 'v2', 1)?.aspects).to.deep.equal(['pace'])
  })

  it('reports a version that fails after a long good period', () => {
    const ledger = ledgerOf([count('v1', 400, 2), count('v2', 300, 0)])
    recordAnswerCounts(ledger, 'box-1', [count('v1', 450, 2), count('v2', 306, 6)], 9_000)
    expect(isBad(ledger)).to.equal(true)
  })

  it('reports a version that fails after the other versions have recovered', () => {
    const ledger = ledgerOf([count('v1', 100, 60), count('v2', 0, 0)])
    recordAnswerCounts(ledger, 'box-1', [count('v1', 200, 60), count('v2', 20, 8)], 9_000)
    expect(isBad(ledger)).to.equal(true)
  })

  it('reports a fault shared by all upstreams of a version but not one of a single upstream', () => {
    const ofUpstream = (upstream: string, good: number, bad: number) =>
      count('v2', good, bad, { upstream })
    const others = count('v1', 300, 2)
    const oneFails = [others, ofUpstream('u1', 2, 10), ofUpstream('u2', 12, 0)]
    expect(isBad(ledgerOf(oneFails), 8)).to.equal(false)
    const allFail = [others, ofUpstream('u1', 4, 8), ofUpstream('u2', 4, 8)]
    expect(isBad(ledgerOf(allFail), 8)).to.equal(true)
  })

  it('keeps all counts in at most 31 blocks during a long rollout', () => {
    const ledger = createEvidenceLedger()
    for (let step = 1; step <= 400; step++)
      recordAnswerCounts(
        ledger,
        'box-1',
        [count('v1', step, 0), count('v2', 0, step)],
        10_000 * step,
      )
    for (const { blocks } of ledger.cells.values()) expect(blocks.size).to.be.at.most(31)
    expect(findVersionFault(ledger, 'v2', 1)).to.include({ bad: 400, othersGood: 400 })
  })

  it('adds the counts of a restarted box to those before the restart', () => {
    const ledger = ledgerOf([count('v1', 200, 0), count('v2', 3, 2)])
    recordAnswerCounts(ledger, 'box-1', [count('v2', 0, 1)], 1_000)
    recordAnswerCounts(ledger, 'box-1', [count('v2', 2, 4)], 1_500)
    expect(findVersionFault(ledger, 'v2', 1)).to.include({ good: 5, bad: 6 })
  })
})

describe('version evidence at the end of a trial', () => {
  const isDoubted = (bad: number) =>
    findProbableFault(ledgerOf([count('v1', 400, 2), count('v2', 40, bad)]), 'v2', 1) !== undefined

  it('doubts a version on evidence too weak for a fault, but not on one bad answer', () => {
    expect(isBad(ledgerOf([count('v1', 400, 2), count('v2', 40, 6)]))).to.equal(false)
    expect(isDoubted(6)).to.equal(true)
    expect(isDoubted(1)).to.equal(false)
  })

  it('does not doubt a version without answers', () => {
    expect(findProbableFault(ledgerOf([count('v1', 400, 2)]), 'v2', 4)).to.equal(undefined)
  })
})

describe('recent answer times', () => {
  it('follow the latest samples and classify nothing until there are eight', () => {
    const times = createRecentDurations()
    const limit = { quantile: 0.5, factor: 1 }
    for (let number = 0; number < 7; number++) recordDuration(times, 30)
    expect(isSlow(times, 90, limit)).to.equal(undefined)
    recordDuration(times, 30)
    expect(isSlow(times, 90, limit)).to.equal(true)
    for (let number = 0; number < 40; number++) recordDuration(times, 100)
    expect(isSlow(times, 90, limit)).to.equal(false)
  })
})

describe('upstreams of a trial', () => {
  const upstreams = (version: string) =>
    Array.from({ length: 10 }, (_, number) => ({
      listed: { version } as UpstreamCandidate['listed'],
      nameHash: 7_919 * (number + 1),
      load: 0,
      pendingPrefill: 0,
      prefillSlowdown: 1,
      isEjected: version === 'v2' && number === 0,
    }))
  const all = [...upstreams('v1'), ...upstreams('v2')]
  const keptAt = (storeNow: number) =>
    keepTrialUpstreams(all, { version: 'v2', share: 0.17, storeNow }).filter(
      ({ listed }) => listed.version === 'v2',
    )

  it('match its share of the requests, rotate, and exclude ejected ones', () => {
    expect(keptAt(0)).to.have.length(2)
    const seen = new Set([0, 1, 2, 3, 4].flatMap(round => keptAt(3_000 * round)))
    expect(seen.size).to.equal(9)
    expect([...seen].some(({ isEjected }) => isEjected)).to.equal(false)
  })

  it('include all upstreams of other versions', () => {
    const kept = keepTrialUpstreams(all, { version: 'v2', share: 0.17, storeNow: 0 })
    expect(kept.filter(({ listed }) => listed.version === 'v1')).to.have.length(10)
  })
})
