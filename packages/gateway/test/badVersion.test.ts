import { expect } from 'chai'
import { playRollout, type BadVersion, type Played, type PlayedWorld } from './playedRollout.js'

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

/** Trouble beside a roll-out, by what goes wrong. */
const TROUBLES = {
  'half of the boxes restart again and again': [3_000, 9_000, 15_000, 18_000, 21_000].map(at => ({
    at,
    strike: ({ fleet }: PlayedWorld) =>
      void fleet.restart(fleet.boxes.filter((_, number) => number % 2 === 0)),
  })),
  'the store turns half of the boxes away': [
    {
      at: 2_000,
      strike: ({ fleet }: PlayedWorld) =>
        fleet.boxes.forEach((box, number) => (box.isTurnedAway = number % 2 === 0)),
    },
  ],
  'a third of the engines are four times slower': [
    {
      at: 4_000,
      strike: ({ engines }: PlayedWorld) =>
        engines.forEach((engine, number) => (engine.times = number % 3 === 0 ? 4 : 1)),
    },
  ],
  'a third of the engines fail by themselves': [
    {
      at: 4_000,
      strike: ({ engines }: PlayedWorld) =>
        engines.forEach((engine, number) => (engine.failShare = number % 3 === 0 ? 0.4 : 0)),
    },
  ],
}

const BAD_VERSIONS: Record<string, BadVersion> = {
  'fails every fifth request': { how: 'errors', share: 0.2 },
  'is eight times slower in every fifth answer': { how: 'slow', share: 0.2, times: 8 },
  'is three times slower in two of five answers': { how: 'slow', share: 0.4, times: 3 },
  'fails on one route': { how: 'one-route', share: 0.4 },
  'begins to fail in the middle of its trial': { how: 'late', share: 0.3, after: 16_000 },
}

describe('a bad version beside other trouble', function () {
  this.timeout(120_000)
  for (const [fault, bad] of Object.entries(BAD_VERSIONS))
    for (const [name, trouble] of Object.entries(TROUBLES))
      it(`that ${fault} gets no more than its share while ${name}`, async () => {
        expectBounded(await playRollout({ bad, trouble }))
      })
})

describe('a good version that is rolled out', function () {
  this.timeout(60_000)

  for (const [name, trouble] of Object.entries(TROUBLES))
    it(`is completed in its time while ${name}`, async () => {
      const played = await playRollout({ trouble })
      expect(played.state).to.equal('completed')
    })

  it('is completed in its time, and moves no session in the first half', async () => {
    const played = await playRollout({})
    expect(played.state).to.equal('completed')
    expect(played.movedEarly).to.equal(0)
    expect(played.served).to.equal(played.requests)
  })
})
