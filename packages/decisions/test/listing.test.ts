import { expect } from 'chai'
import {
  copySource,
  createExchangeHealth,
  createSeededRandom,
  createUpstreamListState,
  createWorkEstimates,
  expectModels,
  hashText,
  isEjected,
  noteExchange,
  noteFirstEvent,
  noteListOutage,
  noteListReturn,
  pickUpstream,
  RETURN_GRACE,
  takeUpstreamList,
  unkeptWorkOf,
  workOf,
  type ListedUpstream,
  type UpstreamCandidate,
} from '../src/index.js'

const listed = (id: string, state: ListedUpstream['state'] = 'ready'): ListedUpstream => ({
  id,
  service: 'pool',
  address: `10.0.0.1:${id.length}`,
  dataCentre: 'ebene',
  version: 'v1',
  slots: 8,
  state,
  revision: 1,
})

describe('the list of upstreams', () => {
  it('drops an entry that is missing while the store is well', () => {
    const state = createUpstreamListState()
    takeUpstreamList(state, [listed('a'), listed('bb')], 0)
    expect(takeUpstreamList(state, [listed('a')], 1_000)).to.deep.equal(['bb'])
  })

  it('keeps entries that lapsed while the store was out, until they had time to come back', () => {
    const state = createUpstreamListState()
    takeUpstreamList(state, [listed('a'), listed('bb')], 0)
    noteListOutage(state)
    noteListReturn(state, 8_000)
    expect(takeUpstreamList(state, [listed('a')], 8_000)).to.deep.equal([])
    expect(state.entries.has('bb')).to.equal(true)
    expect(takeUpstreamList(state, [listed('a')], 8_000 + RETURN_GRACE)).to.deep.equal(['bb'])
  })

  it('does not keep one that had said that it leaves', () => {
    const state = createUpstreamListState()
    takeUpstreamList(state, [listed('a'), listed('bb', 'draining')], 0)
    noteListOutage(state)
    noteListReturn(state, 8_000)
    expect(takeUpstreamList(state, [listed('a')], 8_000)).to.deep.equal(['bb'])
  })

  it('takes an entry for gone once another process has written one for its address, also after an outage', () => {
    const state = createUpstreamListState()
    const crashed = { ...listed('old'), revision: 7 }
    const successor = { ...listed('new'), address: crashed.address, revision: 9 }
    takeUpstreamList(state, [crashed, listed('a')], 0)
    expect(takeUpstreamList(state, [crashed, successor, listed('a')], 500)).to.deep.equal(['old'])
    expect([...state.entries.keys()].sort()).to.deep.equal(['a', 'new'])
    takeUpstreamList(state, [crashed, listed('a')], 900)
    noteListOutage(state)
    noteListReturn(state, 8_000)
    expect(takeUpstreamList(state, [successor, listed('a')], 8_100)).to.deep.equal(['old'])
  })

  it('does not take an upstream back that has said that it leaves, when an older entry of it is written late', () => {
    const state = createUpstreamListState()
    takeUpstreamList(state, [listed('a'), listed('bb', 'draining')], 0)
    takeUpstreamList(state, [listed('a'), listed('bb')], 1_000)
    expect(state.entries.get('bb')?.state).to.equal('draining')
  })

  it('takes a missing entry for gone when it lapses after the time to come back', () => {
    const state = createUpstreamListState()
    takeUpstreamList(state, [listed('a'), listed('bb')], 0)
    noteListOutage(state)
    noteListReturn(state, 8_000)
    takeUpstreamList(state, [listed('a'), listed('bb')], 8_000)
    expect(takeUpstreamList(state, [listed('a')], 12_000)).to.deep.equal(['bb'])
  })
})

describe('the health of an upstream', () => {
  it('ejects one that fails while the others do not', () => {
    const health = createExchangeHealth(0)
    let isOut = false
    for (let count = 0; count < 12; count++)
      isOut ||= noteExchange(health, count % 2 ? 'failed' : 'good', 0.02, count)
    expect(isOut).to.equal(true)
    expect(isEjected(health, 20)).to.equal(true)
  })

  it('does not eject one of many that fail alike', () => {
    const health = createExchangeHealth(0)
    for (let count = 0; count < 40; count++) {
      const isOut = noteExchange(health, count % 3 ? 'good' : 'failed', 0.3, count)
      expect(isOut).to.equal(false)
    }
  })

  it('ejects one that loses three requests in a row, and longer each time', () => {
    const health = createExchangeHealth(0)
    for (let count = 0; count < 3; count++) noteExchange(health, 'lost', 0, 0)
    expect(isEjected(health, 900)).to.equal(true)
    expect(isEjected(health, 1_000)).to.equal(false)
    for (let count = 0; count < 3; count++) noteExchange(health, 'lost', 0, 1_000)
    expect(isEjected(health, 2_900)).to.equal(true)
  })

  it('does not count a refusal against it', () => {
    const health = createExchangeHealth(0)
    for (let count = 0; count < 50; count++)
      expect(noteExchange(health, 'shed', 0, count)).to.equal(false)
  })
})

function candidate(id: string, waiting = 0, load = 0): UpstreamCandidate {
  return {
    listed: listed(id),
    nameHash: hashText(id),
    load,
    waiting,
    slowness: 1,
    isEjected: false,
  }
}

describe('the choice of an upstream', () => {
  const options = { dataCentre: 'ebene', random: createSeededRandom(4) }
  const prompt = { model: 'm', whole: 300, shared: 200, sharedTokens: 5_000, homeKey: 'm p1 p2' }

  it('sends a prompt where it is read soonest', () => {
    const busy = [candidate('a', 900), candidate('bb', 800), candidate('ccc', 10)]
    expect(pickUpstream(busy, { ...options, prompt })?.listed.id).to.equal('ccc')
  })

  it('sends prompts that share parts to the same engine while that one is no busier than the parts are worth', () => {
    const idle = ['a', 'bb', 'ccc', 'dddd'].map(id => candidate(id))
    const home = pickUpstream(idle, { ...options, prompt })!
    home.waiting = 150
    expect(pickUpstream(idle, { ...options, prompt })).to.equal(home)
    home.waiting = 400
    expect(pickUpstream(idle, { ...options, prompt })).not.to.equal(home)
  })

  it('sends what the home of a text has no time for to one other place', () => {
    const engines = ['a', 'bb', 'ccc', 'dddd', 'eeeee', 'ffffff'].map(id => candidate(id))
    pickUpstream(engines, { ...options, prompt })!.waiting = 1_000
    const taken = new Set(
      Array.from({ length: 30 }, () => pickUpstream(engines, { ...options, prompt })?.listed.id),
    )
    expect(taken.size).to.equal(1)
  })

  it('keeps a small model at the home of a long text although reading it again takes little time', () => {
    const idle = ['a', 'bb', 'ccc', 'dddd'].map(id => candidate(id))
    const small = { ...prompt, whole: 40, shared: 20 }
    const home = pickUpstream(idle, { ...options, prompt: small })!
    home.waiting = 60
    expect(pickUpstream(idle, { ...options, prompt: small })).to.equal(home)
  })

  it('keeps long prompts away from engines with many streams', () => {
    const two = [candidate('a', 0, 20), candidate('bb', 100, 0)]
    const long = { model: 'm', whole: 2_000, shared: 0, sharedTokens: 0 }
    expect(pickUpstream(two, { ...options, prompt: long })?.listed.id).to.equal('bb')
  })

  it('sends a short prompt to whichever engine is free, wherever long ones are read', () => {
    const engines = Array.from({ length: 13 }, (_, number) => candidate(`engine-${number}`, 900))
    const short = { model: 'm', whole: 20, shared: 0, sharedTokens: 0 }
    for (const free of engines) {
      free.waiting = 0
      expect(pickUpstream(engines, { ...options, prompt: short })).to.equal(free)
      free.waiting = 900
    }
  })

  it('has a larger model copy shared parts from their home when another engine reads the prompt', () => {
    const engines = ['a', 'bb', 'ccc', 'dddd'].map(id => candidate(id))
    const home = pickUpstream(engines, { ...options, prompt })!
    const other = engines.find(engine => engine !== home)!
    const large = { ...prompt, isLargerModel: true }
    expect(copySource(large, other, engines)).to.equal(home)
    expect(copySource(large, home, engines)).to.equal(undefined)
    expect(copySource(prompt, other, engines)).to.equal(undefined)
    expect(copySource({ ...large, sharedTokens: 200 }, other, engines)).to.equal(undefined)
  })

  it('copies nothing from an engine of another version, or from one that is ejected', () => {
    const engines = ['a', 'bb', 'ccc'].map(id => candidate(id))
    const large = { ...prompt, isLargerModel: true }
    const home = pickUpstream(engines, { ...options, prompt: large })!
    const [other, third] = engines.filter(engine => engine !== home)
    home.listed.version = 'v2'
    expect([undefined, third]).to.include(copySource(large, other!, engines))
    home.listed.version = 'v1'
    home.isEjected = true
    expect([undefined, third]).to.include(copySource(large, other!, engines))
  })

  it('takes an ejected upstream only when there is no other', () => {
    const ejected = { ...candidate('a'), isEjected: true }
    expect(
      pickUpstream([ejected, candidate('bb', 5_000)], { ...options, prompt })?.listed.id,
    ).to.equal('bb')
    expect(pickUpstream([ejected], { ...options, prompt })?.listed.id).to.equal('a')
  })
})

describe('estimates of work', () => {
  it('follow the faster answers, since the others waited', () => {
    const estimates = createWorkEstimates()
    const random = createSeededRandom(9)
    for (let count = 0; count < 300; count++) {
      const waited = random() < 0.5 ? 0 : 900 * random()
      noteFirstEvent(estimates, 'large', { tokens: 5_000, sharedTokens: 0 }, 250 + waited)
    }
    expect(workOf(estimates, 'large', 5_000)).to.be.within(200, 420)
  })

  it('expect a token of a very long prompt to take longer than one of a short prompt', () => {
    const estimates = createWorkEstimates()
    for (let count = 0; count < 300; count++)
      noteFirstEvent(estimates, 'large', { tokens: 5_000, sharedTokens: 0 }, 250)
    // Engines of the sites read 50,000 tokens in 3.6 s where 5,000 take 0.25 s.
    expect(workOf(estimates, 'large', 50_000)).to.be.within(3_200, 4_000)
  })

  it('expect a larger model to read for longer before any answer came', () => {
    const estimates = createWorkEstimates()
    expectModels(estimates, ['small', 'middle', 'large'])
    expect(workOf(estimates, 'small', 10_000)).to.be.within(50, 90)
    expect(workOf(estimates, 'large', 10_000)).to.be.within(500, 900)
  })

  it('know how long a text takes that is not kept, however often it was', () => {
    const estimates = createWorkEstimates()
    expectModels(estimates, ['small', 'large'])
    for (let count = 0; count < 300; count++) {
      noteFirstEvent(estimates, 'large', { tokens: 20_000, sharedTokens: 16_000 }, 300)
      noteFirstEvent(estimates, 'large', { tokens: 1_000, sharedTokens: 200 }, 80)
    }
    expect(workOf(estimates, 'large', 20_000)).to.be.below(800)
    expect(unkeptWorkOf(estimates, 'large', 20_000)).to.be.within(1_500, 2_200)
  })

  it('learn nothing from a short prompt', () => {
    const estimates = createWorkEstimates()
    const before = workOf(estimates, 'small', 1_000)
    noteFirstEvent(estimates, 'small', { tokens: 50, sharedTokens: 0 }, 400)
    expect(workOf(estimates, 'small', 1_000)).to.equal(before)
  })
})
