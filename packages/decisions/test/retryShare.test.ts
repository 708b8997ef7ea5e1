import { expect } from 'chai'
import fc from 'fast-check'
import {
  createRetryShare,
  createSeededRandom,
  excessOf,
  recordRequest,
  settleRetry,
  takeRetry,
  worstRetryWindow,
  type Milliseconds,
} from '../src/index.js'

const LIMITS = { ratio: 0.9, slack: 50, window: 10_000 }
const STEP: Milliseconds = 20
/** Retries that each request asks for. */
const WANTED_RETRIES = 2

/** Requests a second that a box is sent at a time. */
type Load = (box: number, at: Milliseconds) => number

/** Times at which all boxes together were sent requests, and sent retries. */
interface Counts {
  requests: Milliseconds[]
  retries: Milliseconds[]
}

/** Plays boxes of which each judges for itself. `isFailing`: whether requests ask for retries. */
function play(
  boxes: number,
  duration: Milliseconds,
  load: Load,
  isFailing = (_at: number) => true,
) {
  const shares = Array.from({ length: boxes }, () =>
    createRetryShare({ limits: LIMITS, slackFrom: 0 }),
  )
  const due = shares.map(() => 0)
  const counts: Counts = { requests: [], retries: [] }
  for (let at = 0; at < duration; at += STEP) {
    shares.forEach((share, box) => {
      due[box]! += (load(box, at) * STEP) / 1_000
      for (; due[box]! >= 1; due[box]!--) {
        recordRequest(share, at)
        counts.requests.push(at)
        for (let wanted = 0; isFailing(at) && wanted < WANTED_RETRIES; wanted++)
          if (takeRetry(share, boxes, at)) {
            settleRetry(share, at, at)
            counts.retries.push(at)
          }
      }
    })
  }
  return counts
}

/** How far the worst window exceeds the budget of all boxes together; negative within it. */
function worstExcess({ requests, retries }: Counts): number {
  const worst = worstRetryWindow(requests, retries, LIMITS)
  return worst ? excessOf(worst) : -Infinity
}

describe('the retry budget of all boxes, in every window', () => {
  it('holds while callers move from some boxes to others', () => {
    const counts = play(
      6,
      25_000,
      (box, at) => (box % 2 === (at < 9_000 ? 0 : 1) ? 13 : 0),
      at => at >= 4_000,
    )
    expect(worstExcess(counts)).to.be.at.most(0)
  })

  it('holds where load comes in bursts three quarters of a window apart', () => {
    const counts = play(6, 40_000, (_box, at) => (at % 7_500 < 2_500 ? 40 : 0))
    expect(worstExcess(counts)).to.be.at.most(0)
  })

  it('holds wherever and whenever requests come', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 2 ** 31 }), seed => {
        const random = createSeededRandom(seed)
        const rates = Array.from({ length: 4 * 30 }, () => (random() < 0.5 ? 0 : 60 * random()))
        const counts = play(4, 30_000, (box, at) => rates[box * 30 + Math.floor(at / 1_000)]!)
        expect(worstExcess(counts)).to.be.at.most(0)
      }),
      { numRuns: 30, seed: 1 },
    )
  })
})

describe('sound retries', () => {
  it('are all paid at once when two fifths of the requests of a window end together', () => {
    const share = createRetryShare({ limits: LIMITS, slackFrom: 0 })
    for (let at = 0; at < 20_000; at += 100) recordRequest(share, at)
    let paid = 0
    while (paid < 40 && takeRetry(share, 6, 20_000)) paid++
    expect(paid).to.equal(40)
  })

  it('are paid for two of five requests at a box to which callers have just come', () => {
    const share = createRetryShare({ limits: { ...LIMITS, slack: 0 }, slackFrom: 0 })
    let paid = 0
    for (let at = 20_000; at < 24_000; at += 100) {
      recordRequest(share, at)
      if (!takeRetry(share, 6, at)) continue
      settleRetry(share, at, at)
      paid++
    }
    expect(paid).to.be.at.least(0.4 * 40)
  })
})
