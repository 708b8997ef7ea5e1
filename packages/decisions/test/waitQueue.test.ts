import { expect } from 'chai'
import { createWaitQueue, recordServed, requestsAhead, type QueuedRequest } from '../src/index.js'

const waiter = (urgency: number, organisation: string): QueuedRequest => ({ urgency, organisation })

describe('the queue for scarce capacity', () => {
  it('serves requests by urgency, then in order of arrival', () => {
    const queue = createWaitQueue()
    const [last, urgent, first] = [waiter(3, 'a'), waiter(0, 'b'), waiter(3, 'c')]
    for (const one of [first, urgent, last]) queue.requests.add(one)
    expect([urgent, first, last].map(one => requestsAhead(queue, one))).to.deep.equal([0, 1, 2])
  })

  it('starves no organisation, however urgent the requests of others are', () => {
    const queue = createWaitQueue()
    const servedCounts = new Map<string, number>()
    const waiting = [waiter(0, 'large'), waiter(9, 'small')]
    for (const one of waiting) queue.requests.add(one)
    for (let round = 0; round < 200; round++) {
      const next = waiting.find(one => requestsAhead(queue, one) === 0)!
      recordServed(queue, next)
      servedCounts.set(next.organisation, (servedCounts.get(next.organisation) ?? 0) + 1)
    }
    expect(servedCounts.get('small')).to.be.within(20, 60)
  })
})
