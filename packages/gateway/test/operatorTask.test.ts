import { expect } from 'chai'
import { ManualClock, type Configuration } from '@yewkeel/decisions'
import { OperatorTask, type OperatorProof, type OperatorState } from '../src/index.js'

const configurationOf = (revision: number, service = 'pool'): Configuration => ({
  revision,
  routes: [],
  services: [{ name: service, healthPath: '/', maxConnections: 100 }],
  limits: { bodyBytes: 1_000, headerTimeout: 1_000, idleTimeout: 1_000 },
})

/** State of the store at a revision of an epoch; the fingerprint is the revision. */
const stateOf = (epoch: number, revision: number, version: number): OperatorState => ({
  epoch,
  revision,
  fingerprint: 1_000 * epoch + revision,
  configuration: configurationOf(version),
  orders: [],
  evacuated: [],
})

const proofOf = (state: OperatorState): OperatorProof => ({
  epoch: state.epoch,
  revision: state.revision,
  fingerprint: state.fingerprint,
  age: 0,
  configuration: state.configuration!.revision,
})

/** Creates the task of a box that holds configuration 28, read at revision 60 of epoch 1. */
async function createTask() {
  const clock = new ManualClock()
  const events: { name: string; fields: object }[] = []
  const log = {
    event: (name: string, fields: object) => void events.push({ name, fields }),
    request() {},
  }
  const task = new OperatorTask({ clock, log, onChange() {} })
  const state = stateOf(1, 60, 28)
  task.apply(state, 0)
  await clock.advance(500)
  events.length = 0
  return { task, clock, events, state }
}

describe('the operator state of a box', () => {
  it('is replaced by one of a later epoch with a lower revision', async () => {
    const { task } = await createTask()
    const restored = { ...stateOf(2, 40, 28), evacuated: ['ebene'] }
    expect(task.apply(restored, 400)).to.equal(true)
    expect(task.state).to.include({ epoch: 2, revision: 40 })
    expect(task.state.evacuated).to.eql(['ebene'])
    expect(task.age).to.equal(100)
  })

  it('is neither replaced nor confirmed by an earlier epoch with a higher revision', async () => {
    const { task, state, events } = await createTask()
    task.apply(stateOf(2, 40, 28), 0)
    events.length = 0
    const earlier = { ...stateOf(1, 90, 28), evacuated: ['ebene'] }
    expect(task.apply(earlier, 500)).to.equal(false)
    expect(task.apply(earlier, 500)).to.equal(false)
    expect(task.applyProof(proofOf(state), 500)).to.equal('known')
    task.recordConfirmation({ epoch: 1, revision: 90 }, 500)
    expect(task.state).to.include({ epoch: 2, revision: 40 })
    expect(task.state.evacuated).to.eql([])
    expect(task.age).to.equal(500)
    expect(events.map(({ name }) => name)).to.eql(['operators-refused'])
  })

  it('is neither confirmed nor overruled by a box that states no epoch', async () => {
    const { task } = await createTask()
    const { epoch: _, ...older } = { ...proofOf(task.state), revision: 90 }
    expect(task.applyProof(older, 500)).to.equal('known')
    expect(task.applyProof({ ...older, fingerprint: 7 }, 500)).to.equal('known')
    expect(task.age).to.equal(500)
  })

  it('keeps its newer configuration and is confirmed when a restored store holds an older one', async () => {
    const { task } = await createTask()
    const restored = { ...stateOf(2, 40, 24), evacuated: ['ebene'] }
    expect(task.apply(restored, 500)).to.equal(true)
    expect(task.index!.configuration.revision).to.equal(28)
    expect(task.state.configuration!.revision).to.equal(28)
    expect(task.state.evacuated).to.eql(['ebene'])
    expect(task.age).to.equal(0)
    const { configuration: _, ...lost } = stateOf(2, 41, 24)
    expect(task.apply(lost, 500)).to.equal(true)
    expect(task.index!.configuration.revision).to.equal(28)
    expect(task.apply(stateOf(2, 45, 30), 500)).to.equal(true)
    expect(task.index!.configuration.revision).to.equal(30)
  })

  it('takes the content that a restored store holds under the same configuration version', async () => {
    const { task } = await createTask()
    const restored = { ...stateOf(2, 40, 28), configuration: configurationOf(28, 'desk') }
    task.apply(restored, 500)
    expect(task.index!.service('desk')).not.to.equal(undefined)
    const earlier = { ...stateOf(1, 70, 28), configuration: configurationOf(28, 'cash') }
    task.apply(earlier, 500)
    expect(task.index!.service('cash')).to.equal(undefined)
  })

  it('takes a newer configuration that the restored store has lost from a box that still holds it', async () => {
    const { task, state } = await createTask()
    const started = new OperatorTask({
      clock: new ManualClock(),
      log: { event() {}, request() {} },
      onChange() {},
    })
    const restored = stateOf(2, 40, 24)
    started.apply(restored, 0)
    expect(started.applyProof(proofOf(state), 0)).to.equal('wanted')
    expect(started.apply(state)).to.equal(false)
    expect(started.index!.configuration.revision).to.equal(28)
    expect(started.state).to.include({ epoch: 2, revision: 40 })
    task.apply(restored, 500)
    const other = new OperatorTask({
      clock: new ManualClock(),
      log: { event() {}, request() {} },
      onChange() {},
    })
    other.apply(restored, 0)
    expect(other.applyProof(task.proof, 0)).to.equal('wanted')
    other.apply(task.state, 0)
    expect(other.index!.configuration.revision).to.equal(28)
    expect(other.applyProof(task.proof, 0)).to.equal('known')
  })

  it('is requested from a box that has read after the restore, and not from one that has not', async () => {
    const { task, state } = await createTask()
    expect(task.applyProof(proofOf(stateOf(2, 40, 28)), 500)).to.equal('wanted')
    task.apply(stateOf(2, 40, 28), 500)
    expect(task.applyProof({ ...proofOf(state), revision: 99, fingerprint: 5 }, 500)).to.equal(
      'known',
    )
  })
})
