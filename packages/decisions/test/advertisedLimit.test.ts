import { expect } from 'chai'
import * as fastCheck from 'fast-check'
import {
  createAdvertisedLimit,
  currentLimit,
  limitShareOf,
  senderGroupAt,
  nextSendAt,
  recordAdvertisedLimit,
  sendersOf,
  mergeSharedLimit,
  gossipInterval,
  type Milliseconds,
  type SharedLimit,
} from '../src/index.js'

const WINDOW: Milliseconds = 4_000
/** The most requests that the platform accepts in a window under a limit. */
const allowedIn = (perSecond: number) => 1.5 * perSecond * 4 + 5

/** Requests of all senders in the first window if each sends as soon as it may. */
function mostSent(perSecond: number, boxes: number): number {
  const share = limitShareOf(perSecond, boxes)
  const sent: Milliseconds[] = []
  for (let at = 0; at < WINDOW; at += 5) if (nextSendAt(share, sent.slice(-8)) <= at) sent.push(at)
  return sent.length * share.senders
}

describe('a rate limit that an upstream advertises', () => {
  it('is kept by all senders together, for any number of boxes', () => {
    for (const perSecond of [0, 0.3, 1, 2, 2.3, 8, 50, 200])
      for (const boxes of [1, 2, 9, 91, 195, 640])
        expect(mostSent(perSecond, boxes), `${perSecond} ${boxes}`).to.be.at.most(
          allowedIn(perSecond) - 2,
        )
  })

  it('applies to the next request after one that was sent under a higher limit', () => {
    const before = limitShareOf(8, 9)
    const after = limitShareOf(2, 9)
    expect(after.senders).to.be.at.most(before.senders)
    expect(nextSendAt(after, [1_000, 1_500])).to.equal(1_500 + after.interval)
  })

  it('converges to the same state in whatever order gossip arrives', () => {
    const sharedLimit = fastCheck.record<SharedLimit>({
      perSecond: fastCheck.constantFrom(0.3, 2, 8),
      version: fastCheck.integer({ min: 1, max: 4 }),
      turn: fastCheck.constant(0),
    })
    fastCheck.assert(
      fastCheck.property(fastCheck.array(sharedLimit, { maxLength: 8 }), entries => {
        const limitsOf = (order: SharedLimit[]) => {
          const state = createAdvertisedLimit(0)
          for (const entry of order) mergeSharedLimit(state, entry, 0)
          return [state.version, currentLimit(state, 5_000)]
        }
        expect(limitsOf(entries)).to.deep.equal(limitsOf([...entries].reverse()))
      }),
    )
  })

  it('takes precedence over a looser limit from gossip for one second after an own answer', () => {
    const state = createAdvertisedLimit(0)
    recordAdvertisedLimit(state, 2, 1, 1_000)
    mergeSharedLimit(state, { perSecond: 8, version: 7, turn: 0 }, 1_200)
    expect(currentLimit(state, 1_300)).to.equal(2)
    expect(currentLimit(state, 2_100)).to.equal(8)
  })

  it('ends with an answer that advertises none, and expires after a minute without answers', () => {
    const state = createAdvertisedLimit(0)
    expect(recordAdvertisedLimit(state, 2, 1, 1_000)).to.equal(true)
    expect(recordAdvertisedLimit(state, 2, 1, 1_500)).to.equal(false)
    expect(recordAdvertisedLimit(state, 2, 1, 3_100)).to.equal(true)
    expect(currentLimit(state, 60_000)).to.equal(2)
    expect(currentLimit(state, 63_200)).to.equal(undefined)
    recordAdvertisedLimit(state, 2, 1, 70_000)
    expect(recordAdvertisedLimit(state, undefined, 1, 70_100)).to.equal(true)
    expect(currentLimit(state, 70_100)).to.equal(undefined)
  })

  it('is gossiped less often where many upstreams advertise one, but before it expires', () => {
    for (const [limited, span] of [
      [1, 2_000],
      [20, 2_000],
      [100, 10_000],
      [2_400, 20_000],
    ] as const)
      expect(gossipInterval(limited)).to.equal(span)
    const state = createAdvertisedLimit(0)
    recordAdvertisedLimit(state, 2, 100, 1_000)
    expect(recordAdvertisedLimit(state, 2, 100, 10_900)).to.equal(false)
    expect(recordAdvertisedLimit(state, 2, 100, 11_000)).to.equal(true)
    expect(senderGroupAt(state, 100, 30_900)).to.equal(0)
    expect(senderGroupAt(state, 100, 31_000)).to.equal(1)
  })

  it('passes to another group of senders when the current one is idle', () => {
    const boxes = Array.from({ length: 9 }, (_, at) => ({ box: `box-${at}`, dataCentre: 'ebene' }))
    const state = createAdvertisedLimit(0)
    recordAdvertisedLimit(state, 1, 1, 0)
    const share = limitShareOf(1, boxes.length)
    const sendersAt = (now: Milliseconds) => {
      const place = { nameHash: 77, dataCentre: 'ebene', turn: senderGroupAt(state, 1, now) }
      return sendersOf(place, boxes, share).map(({ box }) => box)
    }
    const first = sendersAt(3_900)
    const second = sendersAt(4_100)
    const third = sendersAt(8_100)
    expect(new Set([...first, ...second, ...third]).size).to.equal(9)
    // A group that reports an answer stays the group of senders.
    recordAdvertisedLimit(state, 1, 1, 8_200)
    expect(sendersAt(8_300)).to.deep.equal(third)
  })
})
