import { expect } from 'chai'
import { ManualClock } from '@yewkeel/decisions'
import { StoreClock } from '../src/index.js'

describe("the estimate of the store's clock", () => {
  it('follows the answer that took the least time, within an epoch', () => {
    const clock = new StoreClock(new ManualClock())
    expect(clock.now).to.equal(undefined)
    clock.update(7_000, 10, 1)
    clock.update(7_050, 20, 1)
    clock.update(7_010, 30, 1)
    clock.update(-Infinity, 40, 1)
    expect(clock.now).to.equal(7_030)
  })

  it('begins anew when a restored store goes on with an earlier time', () => {
    const clock = new StoreClock(new ManualClock())
    clock.update(7_000, 0, 1)
    clock.update(1_000, 0, 2)
    expect(clock.now).to.equal(1_000)
    expect(clock.epoch).to.equal(2)
  })

  it('ignores a time of an earlier epoch, and of a box that states none', () => {
    const clock = new StoreClock(new ManualClock())
    clock.update(1_000, 0, 2)
    clock.update(7_000, 0, 1)
    clock.update(7_000, 0, 0)
    expect(clock.now).to.equal(1_000)
  })
})
