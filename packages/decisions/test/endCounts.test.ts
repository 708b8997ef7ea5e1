import { expect } from 'chai'
import {
  areEndsSound,
  countEnds,
  createEndHistory,
  neededRuns,
  recordStreamEnds,
} from '../src/index.js'

describe('the ends of streams without a length', () => {
  it('are counted for half a minute', () => {
    const history = createEndHistory()
    recordStreamEnds(history, 'early', 1, 2_000)
    recordStreamEnds(history, 'sound', 2, 21_000)
    expect(countEnds(history, 29_000)).to.deep.equal({ sound: 2, early: 1 })
    expect(countEnds(history, 31_000)).to.deep.equal({ sound: 2, early: 0 })
    expect(countEnds(history, 200_000)).to.deep.equal({ sound: 0, early: 0 })
  })

  it('take a third run after the same event where more than one in twenty is early', () => {
    expect(neededRuns({ sound: 0, early: 0 })).to.equal(2)
    expect(neededRuns({ sound: 3, early: 1 })).to.equal(3)
    expect(neededRuns({ sound: 95, early: 5 })).to.equal(2)
    expect(neededRuns({ sound: 94, early: 6 })).to.equal(3)
  })

  it('are accepted without a proof only where many were sound and none was early', () => {
    expect(areEndsSound({ sound: 15, early: 0 })).to.equal(false)
    expect(areEndsSound({ sound: 16, early: 0 })).to.equal(true)
    expect(areEndsSound({ sound: 900, early: 1 })).to.equal(false)
  })
})
