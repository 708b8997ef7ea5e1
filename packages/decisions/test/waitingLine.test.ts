import { expect } from 'chai'
import { createWaitingLine, noteServed, waitersAhead, type Waiter } from '../src/index.js'

const waiter = (urgency: number, organisation: string): Waiter => ({ urgency, organisation })

describe('requests that wait for one of few places', () => {
  it('go by their urgency, and among equals by when they came', () => {
    const line = createWaitingLine()
    const [late, urgent, first] = [waiter(3, 'a'), waiter(0, 'b'), waiter(3, 'c')]
    for (const one of [first, urgent, late]) line.waiters.add(one)
    expect([urgent, first, late].map(one => waitersAhead(line, one))).to.deep.equal([0, 1, 2])
  })

  it('give each organisation a place now and then, however urgent the others are', () => {
    const line = createWaitingLine()
    const got = new Map<string, number>()
    const asking = [waiter(0, 'large'), waiter(9, 'small')]
    for (const one of asking) line.waiters.add(one)
    for (let place = 0; place < 200; place++) {
      const next = asking.find(one => waitersAhead(line, one) === 0)!
      noteServed(line, next)
      got.set(next.organisation, (got.get(next.organisation) ?? 0) + 1)
    }
    expect(got.get('small')).to.be.within(20, 60)
  })
})
