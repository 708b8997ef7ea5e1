import { expect } from 'chai'
import {
  createServicePath,
  recordPathFailure,
  recordPathProbe,
  resolveDoubt,
} from '../src/index.js'

const UPSTREAM_COUNT = 4

describe('the path of a box to the upstreams of a service', () => {
  it('is doubted when two upstreams fail together, not when one does', () => {
    const path = createServicePath(0)
    expect(recordPathFailure(path, 'one', UPSTREAM_COUNT, 1_000)).to.equal(false)
    expect(recordPathFailure(path, 'one', UPSTREAM_COUNT, 1_100)).to.equal(false)
    expect(recordPathFailure(path, 'two', UPSTREAM_COUNT, 1_200)).to.equal(true)
    expect(path.state).to.equal('doubted')
  })

  it('is not doubted when upstreams fail one long after the other', () => {
    const path = createServicePath(0)
    recordPathFailure(path, 'one', UPSTREAM_COUNT, 1_000)
    expect(recordPathFailure(path, 'two', UPSTREAM_COUNT, 1_700)).to.equal(false)
  })

  it('is doubted when the only upstream fails', () => {
    expect(recordPathFailure(createServicePath(0), 'one', 1, 1_000)).to.equal(true)
  })

  it('is open again with the first probe that opens a connection', () => {
    const path = createServicePath(0)
    resolveDoubt(path, true, 10_000)
    expect(recordPathProbe(path, false, 10_400)).to.equal(false)
    expect(recordPathProbe(path, true, 10_800)).to.equal(true)
    expect(path.state).to.equal('open')
  })

  it('needs more probes in a row the more often it is lost soon after its return', () => {
    const path = createServicePath(0)
    resolveDoubt(path, true, 10_000)
    recordPathProbe(path, true, 11_000)
    for (const needed of [2, 4, 4]) {
      const lostAt = path.since + 1_000
      resolveDoubt(path, true, lostAt)
      let probes = 0
      while (path.state === 'lost') recordPathProbe(path, true, lostAt + 400 * ++probes)
      expect(probes).to.equal(needed)
    }
  })

  it('is checked once a second at most while upstreams go on to fail', () => {
    const path = createServicePath(0)
    let checks = 0
    for (let now = 1_000; now < 6_000; now += 50) {
      if (!recordPathFailure(path, `upstream ${now}`, UPSTREAM_COUNT, now)) continue
      checks++
      resolveDoubt(path, false, now)
    }
    expect(checks).to.equal(5)
  })

  it('is open after a check that opened a connection', () => {
    const path = createServicePath(0)
    recordPathFailure(path, 'one', UPSTREAM_COUNT, 1_000)
    recordPathFailure(path, 'two', UPSTREAM_COUNT, 1_000)
    resolveDoubt(path, false, 1_200)
    expect(path).to.include({ state: 'open', neededProbes: 1 })
  })
})
