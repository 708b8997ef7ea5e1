import { expect } from 'chai'
import type { Milliseconds } from '@yewkeel/decisions'
import type { QuarantineEntry } from '../src/index.js'
import { createFleet, type Fleet } from './testFleet.js'

const DATA_CENTRES = ['alesund', 'bergen', 'maloy']
/** A box finds its missing entry by itself only after a minute. */
const REWRITE_TIMEOUT: Milliseconds = 3_000
/** A read and a write of the entries; the two readers read the operator state again. */
const MAX_EXTRA_CALLS = 6

async function startFleet(count: number): Promise<Fleet> {
  const fleet = createFleet(DATA_CENTRES)
  Object.assign(fleet.store, { version: 50 })
  Object.assign(fleet.store.operators, { epoch: 0, revision: 50 })
  fleet.add(count)
  await fleet.clock.advance(40_000)
  return fleet
}

function restore({ store }: Fleet): void {
  store.epoch++
  store.version -= 2
  const { revision, fingerprint } = store.operators
  const point = { epoch: store.epoch, revision: revision - 2 }
  store.operators = { ...store.operators, ...point, fingerprint: fingerprint + 1 }
}

const namesOf = ({ store }: Fleet) => [...store.entries.keys()].sort()

async function countCalls(fleet: Fleet, duration: Milliseconds): Promise<number> {
  const before = fleet.store.calls
  await fleet.clock.advance(duration)
  return fleet.store.calls - before
}

describe('entries of boxes that a restored store has lost', () => {
  let fleet: Fleet
  afterEach(() => fleet.stop())

  for (const count of [6, 70])
    it(`are written again in one call, with ${count} boxes`, async () => {
      fleet = await startFleet(count)
      const names = namesOf(fleet)
      expect(names).to.have.length(count)
      const usual = await countCalls(fleet, REWRITE_TIMEOUT)
      restore(fleet)
      for (const name of names.slice(1, 5)) fleet.store.entries.delete(name)
      const calls = await countCalls(fleet, REWRITE_TIMEOUT)
      expect(namesOf(fleet)).to.eql(names)
      expect(calls - usual).to.be.at.most(MAX_EXTRA_CALLS)
      for (const { gateway } of fleet.boxes)
        expect(gateway.services.budgetBoxCount()).to.equal(count)
    })

  it('are written again by the next box while the store turns the leader away', async () => {
    fleet = await startFleet(6)
    const names = namesOf(fleet)
    restore(fleet)
    fleet.store.entries.delete(names[3]!)
    fleet.boxes[0]!.isStoreUnavailable = true
    await fleet.clock.advance(2 * REWRITE_TIMEOUT)
    expect(namesOf(fleet)).to.eql(names)
  })

  it('are written again after each of two restores', async () => {
    fleet = await startFleet(6)
    const names = namesOf(fleet)
    for (const wait of [20, 2 * REWRITE_TIMEOUT]) {
      restore(fleet)
      fleet.store.entries.delete(names[3]!)
      await fleet.clock.advance(wait)
    }
    expect(namesOf(fleet)).to.eql(names)
  })

  it('replace the entry of an earlier run, and do not bring back a box that is gone', async () => {
    fleet = await startFleet(6)
    const entries = new Map(fleet.store.entries)
    const gone = { ...entries.get('box-004')!, box: 'box-104', peerAddress: 'box-104:2' }
    restore(fleet)
    fleet.store.entries.set('box-104', gone)
    fleet.store.entries.set('box-002', { ...entries.get('box-002')!, peerAddress: 'box-002:9' })
    await fleet.clock.advance(REWRITE_TIMEOUT)
    expect(fleet.store.entries).to.eql(entries)
  })
})

describe('quarantined requests that a restored store has lost', () => {
  const ENTRY: QuarantineEntry = {
    request: 'digest-1',
    crashes: 3,
    organisation: 'belle-mare',
    route: 'chat',
    upstreams: ['i-1', 'i-2', 'i-3'],
  }
  let fleet: Fleet
  afterEach(() => fleet.stop())

  it('are written again once, as they were read', async () => {
    fleet = await startFleet(6)
    fleet.store.condemned.set(ENTRY.request, ENTRY)
    await fleet.restart(fleet.boxes)
    await fleet.clock.advance(10_000)
    restore(fleet)
    fleet.store.condemned.clear()
    await fleet.clock.advance(REWRITE_TIMEOUT)
    expect([...fleet.store.condemned.values()]).to.eql([ENTRY])
    const written = fleet.eventLog.filter(({ event }) => event === 'lost-rows-written')
    expect(written).to.have.length(2)
  })

  it('are written again if the box that quarantined them is gone', async () => {
    fleet = await startFleet(6)
    const [last] = fleet.boxes.slice(-1)
    last!.gateway.services.suspects.addQuarantined([ENTRY])
    await fleet.clock.advance(1_000)
    await last!.gateway.stop()
    restore(fleet)
    await fleet.clock.advance(REWRITE_TIMEOUT)
    expect([...fleet.store.condemned.values()]).to.eql([
      { request: ENTRY.request, crashes: ENTRY.crashes, route: '', upstreams: [] },
    ])
  })
})
