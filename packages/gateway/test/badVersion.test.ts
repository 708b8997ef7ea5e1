import { expect } from 'chai'
import { playRollout, type Played } from './playedRollout.js'

/** By the operators' settings: the part of a service's requests that a bad version may get, and some more. */
const SHARE = 0.15
const SLACK = 30

function expectBounded(played: Played): void {
  const allowed = SHARE * played.arrivals + SLACK
  expect(played.toTarget, 'requests that the bad version got').to.be.at.most(allowed)
  expect(played.sentAfterFound, 'requests long after its 50th bad answer').to.equal(0)
}

/**
 * What users saw: streams that a bad version answered long after it had given 50 bad answers; it had got far more of the
 * service's requests than the operators allow, 40 % where 15 % are.
 * Order of events: the order comes; no request goes to the new version for half of the time, since all callers have sessions; then
 * all of them do within a tenth of the time; nothing is held against it; it is completed and the old version stops.
 * Cause: the ramp went by the clock, whatever was known of the version, and the judge looked at how soon answers begin, by
 * estimates that it learned from the suspect. Slow versions go on slowly.
 * Evidence: no try at the new version before 0.56 of its time, every request after 0.65. Median time between two pieces 32 ms of the old
 * version, 97 to 108 ms of the new, while answers of both began 1.1 and 1.2 times as late as their prompts explain.
 */
describe('a bad version that is rolled out', function () {
  this.timeout(60_000)

  it('gets no more than its share when its answers go on several times slower', async () => {
    const played = await playRollout({ bad: { how: 'slow', share: 0.5, times: 3 } })
    expectBounded(played)
    expect(played.state).to.equal('rolled-back')
  })

  it('gets no more than its share when it turns bad late', async () => {
    const played = await playRollout({ bad: { how: 'late', share: 0.5, after: 21_000 } })
    expectBounded(played)
    expect(played.state).to.equal('rolled-back')
  })

  it('gets no more than its share in its time when nothing at all can be seen of its faults', async () => {
    const played = await playRollout({ bad: { how: 'late', share: 1, after: 1e9 } })
    expectBounded(played)
  })
})

describe('a good version that is rolled out', function () {
  this.timeout(60_000)

  it('is completed in its time, and moves no session in the first half', async () => {
    const played = await playRollout({})
    expect(played.state).to.equal('completed')
    expect(played.movedEarly).to.equal(0)
    expect(played.served).to.equal(played.requests)
  })
})
