import { expect } from 'chai'
import { EpochWatch } from '../src/index.js'

function createWatch() {
  const events: { name: string; fields: object }[] = []
  const epochs: number[] = []
  const log = {
    event: (name: string, fields: object) => void events.push({ name, fields }),
    request() {},
  }
  const watch = new EpochWatch({ log, onEpoch: epoch => void epochs.push(epoch) })
  return { watch, events, epochs }
}

describe('a restore of the store', () => {
  it('is noticed once for each later epoch, and logged with the versions that were lost', () => {
    const { watch, events, epochs } = createWatch()
    watch.record({ epoch: 1, revision: 60 })
    watch.record({ epoch: 1, revision: 66 })
    for (let time = 0; time < 2; time++) watch.record({ epoch: 2, revision: 40 })
    watch.record({ epoch: 1, revision: 67 })
    watch.record({ epoch: 4, revision: 30 })
    expect(epochs).to.eql([2, 4])
    expect(watch.epoch).to.equal(4)
    expect(events).to.eql([
      {
        name: 'store-restored',
        fields: { from: 1, to: 2, revisionBefore: 66, revision: 40 },
      },
      {
        name: 'store-restored',
        fields: { from: 2, to: 4, revisionBefore: 40, revision: 30 },
      },
    ])
  })

  it('is not seen in the first epoch known, nor in messages that state none', () => {
    const { watch, epochs } = createWatch()
    watch.record({ revision: 90 })
    watch.record({ epoch: 3, revision: 60 })
    watch.record({ revision: 95 })
    watch.record({ epoch: 0, revision: 95 })
    expect(epochs).to.eql([])
    expect(watch.epoch).to.equal(3)
  })

  it('is seen in a store that counted none before', () => {
    const { watch, epochs } = createWatch()
    watch.record({ epoch: 0, revision: 60 })
    watch.record({ epoch: 1, revision: 40 })
    expect(epochs).to.eql([1])
  })
})
