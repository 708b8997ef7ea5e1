import { expect } from 'chai'
import { takeRelayMark, withRelayMark } from '../src/requests/relayMark.js'

const SECRET = 'secret of the boxes'
const HEADERS = ['host', 'a.example', 'id', 'call-1']

describe('the mark of a request that another box passed on', () => {
  it('is recognised and taken off', () => {
    const marked = withRelayMark(HEADERS, SECRET, undefined)
    const taken = { headers: HEADERS, isRelayed: true, earlierSends: undefined }
    expect(takeRelayMark(marked, SECRET)).to.eql(taken)
  })

  it('tells to how many upstreams the request was sent before', () => {
    const taken = { headers: HEADERS, isRelayed: true, earlierSends: 2 }
    expect(takeRelayMark(withRelayMark(HEADERS, SECRET, 2), SECRET)).to.eql(taken)
    const made = ['yewkeel-relayed-sends', '0', ...HEADERS]
    expect(takeRelayMark(withRelayMark(made, SECRET, 2), SECRET)).to.eql(taken)
  })

  it('counts for nothing if a caller made it up, and is taken off', () => {
    for (const made of ['', 'true', 'x'.repeat(64)]) {
      const marked = [...HEADERS, 'Yewkeel-Relayed', made]
      const taken = { headers: HEADERS, isRelayed: false, earlierSends: undefined }
      expect(takeRelayMark(marked, SECRET), made).to.eql(taken)
    }
  })

  it('counts for nothing from boxes of another deployment', () => {
    const marked = withRelayMark(HEADERS, 'another secret', 1)
    expect(takeRelayMark(marked, SECRET).isRelayed).to.equal(false)
  })

  it('is found beside one that a caller made up', () => {
    const marked = withRelayMark([...HEADERS, 'yewkeel-relayed', 'true'], SECRET, undefined)
    const taken = { headers: HEADERS, isRelayed: true, earlierSends: undefined }
    expect(takeRelayMark(marked, SECRET)).to.eql(taken)
  })
})
