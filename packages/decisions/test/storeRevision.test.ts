import { expect } from 'chai'
import { compareRevisions, isLaterRevision } from '../src/index.js'

describe('revisions of the store', () => {
  it('are ordered by epoch first, since a restored store gives revisions out again', () => {
    expect(isLaterRevision({ epoch: 1, revision: 3 }, { epoch: 0, revision: 9 })).to.equal(true)
    expect(isLaterRevision({ epoch: 0, revision: 9 }, { epoch: 1, revision: 3 })).to.equal(false)
    expect(isLaterRevision({ epoch: 1, revision: 9 }, { epoch: 1, revision: 3 })).to.equal(true)
  })

  it('without an epoch, as from an older box, are of the first one', () => {
    expect(compareRevisions({ revision: 4 }, { epoch: 0, revision: 4 })).to.equal(0)
    expect(isLaterRevision({ epoch: 1, revision: 1 }, { revision: 400 })).to.equal(true)
  })
})
