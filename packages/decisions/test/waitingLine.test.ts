import { expect } from 'chai'
import { createWaitingLine, noteServed, waitersAhead, type Waiter } from '../src/index.js'

const waiter = (urgency: number, organisation: string): Waiter => ({ urgency, organisation })

describe('the queue for scarce capacity', () => {
  it('serves requests by urgency, then in order of arrival', () => {
    const line = createWaitingLine()
    const [last, urgent, first] = [waiter(3, 'a'), waiter(0, 'b'), waiter(3, 'c')]
    for (const one of [first, urgent, last]) line.waiters.add(one)
    expect([urgent, first, last].map(one => waitersAhead(line, one))).to.deep.equal([0, 1, 2])
  })

  it('starves no organisation, however urgent the requests of others are', () => {
    const line = createWaitingLine()
    const servedCounts = new Map<string, number>()
    const waiting = [waiter(0, 'large'), waiter(9, 'small')]
    for (const one of waiting) line.waiters.add(one)
    for (let round = 0; round < 200; round++) {
      const next = waiting.find(one => waitersAhead(line, one) === 0)!
      noteServed(line, next)
      servedCounts.set(next.organisation, (servedCounts.get(next.organisation) ?? 0) + 1)
    }
    expect(servedCounts.get('small')).to.be.within(20, 60)
  })
})
