import { expect } from 'chai'
import { limitExcess, playStatements } from './playedStatements.js'

/**
 * What users saw: upstreams that had named a limit of some 2 requests a second, for all boxes together, got 5 a second, as many as those that had named none.
 * Order of events: an upstream in need names its limit in its answers; the boxes pass the answers on and send there as before; nothing else says it.
 */
describe('an upstream that names a limit', () => {
  it('gets no more than that from the boxes that it told, though all upstreams are in need', async () => {
    const played = await playStatements({
      says: [{ service: 'pool', count: 10, from: 4_000, limit: 1 }],
    })
    expect(limitExcess(played)).to.be.at.most(0)
  })
})
