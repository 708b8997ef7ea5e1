import { expect } from 'chai'
import { parseSeedRange } from '../src/index.js'

describe('a range of seeds', () => {
  it('that runs backwards is rejected, since a soak without seeds would pass', () => {
    expect(() => parseSeedRange('5-3')).to.throw('--seeds 5-3: give FROM-TO, as 1-50')
  })

  it('holds both its ends, or the one seed that is named', () => {
    expect(parseSeedRange('3-5')).to.eql([3, 4, 5])
    expect(parseSeedRange('7')).to.eql([7])
  })
})
