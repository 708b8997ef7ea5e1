import { expect } from 'chai'
import { countEnds, createEndHistory, neededRuns, recordStreamEnd } from '../src/index.js'

describe('the ends of streams without a length', () => {
  it('are counted for a minute', () => {
    const history = createEndHistory()
    recordStreamEnd(history, 'early', 5_000)
    recordStreamEnd(history, 'sound', 42_000)
    expect(countEnds(history, 59_000)).to.deep.equal({ sound: 1, early: 1 })
    expect(countEnds(history, 61_000)).to.deep.equal({ sound: 1, early: 0 })
    expect(countEnds(history, 200_000)).to.deep.equal({ sound: 0, early: 0 })
  })

  it('take a third run after the same event where more than one in twenty is early', () => {
    expect(neededRuns({ sound: 0, early: 0 })).to.equal(2)
    expect(neededRuns({ sound: 3, early: 1 })).to.equal(3)
    expect(neededRuns({ sound: 95, early: 5 })).to.equal(2)
    expect(neededRuns({ sound: 94, early: 6 })).to.equal(3)
  })
})
