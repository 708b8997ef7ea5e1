import { expect } from 'chai'
import {
  admit,
  chooseUpstream,
  createRetryBudget,
  createSeededRandom,
  createUpstreamView,
  earnRetry,
  recordEnd,
  recordFailure,
  recordReport,
  recordSend,
  recordSuccess,
  predictLoad,
  prefixBlocks,
  PrefixMap,
  spendRetry,
  acceptsWork,
  type UpstreamView,
} from '@yewkeel/decisions'

function viewOf(id: string): UpstreamView {
  return createUpstreamView({ id, kind: 'engine', address: id, dataCentre: 'dc', slots: 4 })
}

function choose(pool: UpstreamView[], excluded = new Set<string>(), now = 0) {
  const request = { dataCentre: 'dc', promptTokens: 0, cachedTokensOf: () => 0 }
  const random = createSeededRandom(1)
  return chooseUpstream('predicted', { pool, affine: [], request, excluded, now, random, turn: 0 })
}

describe('predictLoad', () => {
  it('counts requests sent after a delayed load report was made', () => {
    const view = viewOf('a')
    recordSend(view, 10)
    recordSend(view, 30)
    recordReport(view, { at: 20, running: 3, waiting: 0 })
    // Of the three reported, two were other boxes'; this box has two in flight now.
    expect(predictLoad(view, 20)).to.equal(4)
    recordEnd(view, 40)
    expect(predictLoad(view, 20)).to.equal(3)
  })
})

describe('the choice and ejection of upstreams', () => {
  it('picks the least loaded upstream and skips leaving and excluded ones', () => {
    const [busy, idle, leaving] = [viewOf('busy'), viewOf('idle'), viewOf('leaving')]
    recordReport(busy, { at: 0, running: 4, waiting: 9 })
    leaving.state = 'leaving'
    expect(choose([busy, idle, leaving])?.id).to.equal('idle')
    expect(choose([busy, idle, leaving], new Set(['idle']))?.id).to.equal('busy')
    expect(choose([leaving])).to.equal(undefined)
  })

  it('ejects an upstream after three consecutive failures, then probes it with one request at a time', () => {
    const view = viewOf('a')
    for (let failures = 0; failures < 3; failures++) recordFailure(view, 0)
    expect(acceptsWork(view, 1_999)).to.equal(false)
    expect(acceptsWork(view, 2_000)).to.equal(true)
    recordSend(view, 2_000)
    expect(acceptsWork(view, 2_001)).to.equal(false)
    recordFailure(view, 2_002)
    expect(acceptsWork(view, 5_000)).to.equal(false)
    recordSuccess(view, 10)
    expect(acceptsWork(view, 5_000)).to.equal(true)
  })
})

describe('the prefix map', () => {
  it('matches the longest prefix that each upstream has cached', () => {
    const map = new PrefixMap()
    const blocks = prefixBlocks('a', 'x'.repeat(1_024 * 3))
    map.record(blocks.slice(0, 2), 'engine-1')
    map.record(blocks, 'engine-2')
    expect(Object.fromEntries(map.match(blocks))).to.deep.equal({
      'engine-1': 512,
      'engine-2': 768,
    })
  })

  it('separates organisations and bounds its size', () => {
    const map = new PrefixMap(10)
    map.record(prefixBlocks('a', 'x'.repeat(1_024 * 20)), 'engine-1')
    expect(map.size).to.equal(10)
    expect(prefixBlocks('a', 'x'.repeat(1_024))).not.to.deep.equal(
      prefixBlocks('b', 'x'.repeat(1_024)),
    )
  })
})

describe('admission', () => {
  const pool = (
    utilisation: number,
    uses = new Map<string, { inFlight: number; share: number }>(),
  ) => ({
    firstToken: 100,
    utilisation,
    takesCalls: false,
    uses,
  })
  const request = (priority: 'low' | 'normal' | 'high', isCall = false) => ({
    organisation: 'a',
    priority,
    isCall,
    deadline: 1_000,
  })

  it('sheds low priority first, then normal priority, then calls', () => {
    const shedAt = (utilisation: number) => [
      admit(request('low'), pool(utilisation), 0) !== undefined,
      admit(request('normal'), pool(utilisation), 0) !== undefined,
      admit(request('normal', true), pool(utilisation), 0) !== undefined,
    ]
    expect(shedAt(1.05)).to.deep.equal([false, false, false])
    expect(shedAt(1.12)).to.deep.equal([true, false, false])
    expect(shedAt(1.4)).to.deep.equal([true, true, false])
  })

  it('refuses an organisation that exceeds its share of a saturated pool, but not the others', () => {
    const uses = new Map([
      ['a', { inFlight: 30, share: 1 }],
      ['b', { inFlight: 5, share: 1 }],
    ])
    expect(admit(request('normal'), pool(1.05, uses), 0)?.reason).to.equal('overloaded')
    expect(admit({ ...request('normal'), organisation: 'b' }, pool(1.05, uses), 0)).to.equal(
      undefined,
    )
  })

  it('refuses a request that would miss its deadline, with a retry delay', () => {
    const refusal = admit(request('normal'), { ...pool(0.5), firstToken: 2_000 }, 0)
    expect(refusal).to.include({ verdict: 'not-run', retryAfter: 1_000 })
  })
})

describe('the retry budget', () => {
  it('limits retries to about a tenth of the requests when all fail', () => {
    const budget = createRetryBudget()
    let retries = 0
    for (let request = 0; request < 1_000; request++) {
      if (request < 500) earnRetry(budget)
      if (spendRetry(budget)) retries++
    }
    expect(retries).to.be.at.most(60)
  })
})
