import { expect } from 'chai'
import fc from 'fast-check'
import {
  createAllowance,
  grantOf,
  reserve,
  settle,
  shareOfLimit,
  takeToken,
  wantedDraw,
} from '@yewkeel/decisions'

describe('allowances', () => {
  it('never exceed the daily limit over all boxes, whichever boxes crash', () => {
    const step = fc.record({
      box: fc.nat(4),
      cost: fc.integer({ min: 1, max: 300 }),
      crashes: fc.boolean(),
    })
    fc.assert(
      fc.property(fc.array(step, { maxLength: 300 }), steps => {
        const limit = 5_000
        const row = { drawn: 0 }
        let spent = 0
        const boxes = Array.from({ length: 5 }, () => createAllowance('day', 0))
        steps.forEach(({ box, cost, crashes }, now) => {
          if (crashes) boxes[box] = createAllowance('day', now)
          const allowance = boxes[box]!
          if (!reserve(allowance, cost)) {
            const granted = grantOf(row, limit, wantedDraw(allowance, limit, cost, now), cost)
            row.drawn += granted
            allowance.drawn += granted
            if (!reserve(allowance, cost)) return
          }
          settle(allowance, cost, cost, now)
          spent += cost
        })
        expect(spent).to.be.at.most(limit)
      }),
      { seed: 4, numRuns: 200 },
    )
  })
})

describe('rate limits', () => {
  it('divide a shared limit by demand, exceeding it by at most a quarter', () => {
    const demands = [90, 5, 5, 0]
    const total = demands.reduce((sum, demand) => sum + demand, 0)
    const parts = demands.map(demand => shareOfLimit(40, demand, total, demands.length))
    expect(parts.reduce((sum, part) => sum + part, 0)).to.be.at.most(40 * 1.25)
  })

  it('admit requests at the configured rate and no faster', () => {
    const bucket = { tokens: 0, at: 0 }
    let taken = 0
    for (let now = 0; now < 10_000; now += 10) if (takeToken(bucket, 5, now)) taken++
    expect(taken).to.equal(49)
  })
})
