import { expect } from 'chai'
import { takeRelayMark, withRelayMark } from '../src/requests/relayMark.js'

const SECRET = 'secret of the boxes'
const HEADERS = ['host', 'a.example', 'id', 'call-1']

describe('the mark of a request that another box passed on', () => {
  it('is recognised and taken off', () => {
    const marked = withRelayMark(HEADERS, SECRET)
    expect(takeRelayMark(marked, SECRET)).to.eql({ headers: HEADERS, isRelayed: true })
  })

  it('counts for nothing if a caller made it up, and is taken off', () => {
    for (const made of ['', 'true', 'x'.repeat(64)]) {
      const marked = [...HEADERS, 'Yewkeel-Relayed', made]
      expect(takeRelayMark(marked, SECRET), made).to.eql({ headers: HEADERS, isRelayed: false })
    }
  })

  it('counts for nothing from boxes of another deployment', () => {
    const marked = withRelayMark(HEADERS, 'another secret')
    expect(takeRelayMark(marked, SECRET).isRelayed).to.equal(false)
  })

  it('is found beside one that a caller made up', () => {
    const marked = withRelayMark([...HEADERS, 'yewkeel-relayed', 'true'], SECRET)
    expect(takeRelayMark(marked, SECRET)).to.eql({ headers: HEADERS, isRelayed: true })
  })
})
