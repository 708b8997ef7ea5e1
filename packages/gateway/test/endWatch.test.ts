import { expect } from 'chai'
import { ManualClock } from '@yewkeel/decisions'
import { EndWatch, type EndReport } from '../src/index.js'

describe('what a box knows of the ends of streams', () => {
  function start() {
    const clock = new ManualClock()
    const told: { ends: EndReport[] }[] = []
    const events: string[] = []
    let doubts = 0
    const ends = new EndWatch({
      clock,
      log: { event: name => void events.push(name), request: () => undefined },
      told: () => told,
      onDoubt: () => void doubts++,
    })
    return { clock, ends, told, events, countDoubts: () => doubts }
  }

  it('asks for a third run after an early end, of that service alone', () => {
    const { ends } = start()
    ends.record('pool', 'early')
    expect([ends.neededRuns('pool'), ends.neededRuns('desk')]).to.deep.equal([3, 2])
  })

  it('adds up what the other boxes found', () => {
    const { ends, told } = start()
    ends.record('pool', 'sound')
    told.push({ ends: [{ service: 'pool', sound: 0, early: 1 }] })
    expect(ends.neededRuns('pool')).to.equal(3)
    told.push({ ends: [{ service: 'pool', sound: 30, early: 0 }] })
    expect(ends.neededRuns('pool')).to.equal(2)
  })

  it('is told to others, and logged, when a doubt begins', async () => {
    const { clock, ends, events, countDoubts } = start()
    expect(ends.report).to.equal(undefined)
    for (let found = 0; found < 3; found++) ends.record('pool', 'early')
    expect(ends.report).to.deep.equal([{ service: 'pool', sound: 0, early: 3 }])
    expect([events, countDoubts()]).to.deep.equal([['stream-ends'], 1])
    await clock.advance(35_000)
    expect(ends.report).to.equal(undefined)
  })
})
