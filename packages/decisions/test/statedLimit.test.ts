import { expect } from 'chai'
import * as fastCheck from 'fast-check'
import {
  createStatedLimit,
  limitNow,
  limitShareOf,
  limitTurn,
  nextSendAt,
  noteStatedLimit,
  sendersOf,
  takeSharedLimit,
  tellAgainAfter,
  type Milliseconds,
  type SharedLimit,
} from '../src/index.js'

/** Of the platform's rule: what may arrive in a window beyond the limit. */
const WINDOW: Milliseconds = 4_000
const allowedIn = (perSecond: number) => 1.5 * perSecond * 4 + 5

/** What all senders together send in the fullest window if each sends whenever it may. */
function mostSent(perSecond: number, boxes: number): number {
  const share = limitShareOf(perSecond, boxes)
  const sent: Milliseconds[] = []
  for (let at = 0; at < WINDOW; at += 5) if (nextSendAt(share, sent.slice(-8)) <= at) sent.push(at)
  return sent.length * share.senders
}

describe('a limit that an upstream names', () => {
  it('is kept by all senders together, however many boxes there are', () => {
    for (const perSecond of [0, 0.3, 1, 2, 2.3, 8, 50, 200])
      for (const boxes of [1, 2, 9, 91, 195, 640])
        expect(mostSent(perSecond, boxes), `${perSecond} ${boxes}`).to.be.at.most(
          allowedIn(perSecond) - 2,
        )
  })

  it('counts from requests that were sent before it fell', () => {
    const before = limitShareOf(8, 9)
    const after = limitShareOf(2, 9)
    expect(after.senders).to.be.at.most(before.senders)
    expect(nextSendAt(after, [1_000, 1_500])).to.equal(1_500 + after.interval)
  })

  it('is taken in the same way in whatever order boxes hear of it', () => {
    const told = fastCheck.record<SharedLimit>({
      perSecond: fastCheck.constantFrom(0.3, 2, 8),
      version: fastCheck.integer({ min: 1, max: 4 }),
      turn: fastCheck.constant(0),
    })
    fastCheck.assert(
      fastCheck.property(fastCheck.array(told, { maxLength: 8 }), entries => {
        const limitsOf = (order: SharedLimit[]) => {
          const state = createStatedLimit(0)
          for (const entry of order) takeSharedLimit(state, entry, 0)
          return [state.version, limitNow(state, 5_000)]
        }
        expect(limitsOf(entries)).to.deep.equal(limitsOf([...entries].reverse()))
      }),
    )
  })

  it('holds against looser news that are older than what this box has just heard', () => {
    const state = createStatedLimit(0)
    noteStatedLimit(state, 2, 1, 1_000)
    takeSharedLimit(state, { perSecond: 8, version: 7, turn: 0 }, 1_200)
    expect(limitNow(state, 1_300)).to.equal(2)
    expect(limitNow(state, 2_100)).to.equal(8)
  })

  it('ends with an answer that names none, and with long silence', () => {
    const state = createStatedLimit(0)
    expect(noteStatedLimit(state, 2, 1, 1_000)).to.equal(true)
    expect(noteStatedLimit(state, 2, 1, 1_500)).to.equal(false)
    expect(noteStatedLimit(state, 2, 1, 3_100)).to.equal(true)
    expect(limitNow(state, 60_000)).to.equal(2)
    expect(limitNow(state, 63_200)).to.equal(undefined)
    noteStatedLimit(state, 2, 1, 70_000)
    expect(noteStatedLimit(state, undefined, 1, 70_100)).to.equal(true)
    expect(limitNow(state, 70_100)).to.equal(undefined)
  })

  it('is told again less often where many upstreams name one, and before it lapses', () => {
    for (const [limited, span] of [
      [1, 2_000],
      [20, 2_000],
      [100, 10_000],
      [2_400, 20_000],
    ] as const)
      expect(tellAgainAfter(limited)).to.equal(span)
    const state = createStatedLimit(0)
    noteStatedLimit(state, 2, 100, 1_000)
    expect(noteStatedLimit(state, 2, 100, 10_900)).to.equal(false)
    expect(noteStatedLimit(state, 2, 100, 11_000)).to.equal(true)
    expect(limitTurn(state, 100, 30_900)).to.equal(0)
    expect(limitTurn(state, 100, 31_000)).to.equal(1)
  })

  it('gives its share to other boxes where those that have it are silent', () => {
    const boxes = Array.from({ length: 9 }, (_, at) => ({ box: `box-${at}`, dataCentre: 'ebene' }))
    const state = createStatedLimit(0)
    noteStatedLimit(state, 1, 1, 0)
    const share = limitShareOf(1, boxes.length)
    const sendersAt = (now: Milliseconds) => {
      const place = { nameHash: 77, dataCentre: 'ebene', turn: limitTurn(state, 1, now) }
      return sendersOf(place, boxes, share).map(({ box }) => box)
    }
    const first = sendersAt(3_900)
    const second = sendersAt(4_100)
    const third = sendersAt(8_100)
    expect(new Set([...first, ...second, ...third]).size).to.equal(9)
    // Whoever was heard goes on to send.
    noteStatedLimit(state, 1, 1, 8_200)
    expect(sendersAt(8_300)).to.deep.equal(third)
  })
})
