import { expect } from 'chai'
import type { ListedUpstream } from '@yewkeel/decisions'
import type { MetricsRegistry } from '../src/index.js'
import { createFleet, type Fleet } from './testFleet.js'

const DATA_CENTRES = ['alesund', 'bergen', 'maloy']

/** Replaces the store by a copy with a lower version, in which the operator state has changed. */
function restore({ store }: Fleet, change: Partial<Fleet['store']['operators']> = {}): void {
  store.epoch++
  store.version -= 2
  const { operators } = store
  store.operators = {
    ...operators,
    epoch: store.epoch,
    revision: operators.revision - 2,
    fingerprint: operators.fingerprint + 1,
    ...change,
  }
}

async function startFleet(count: number): Promise<Fleet> {
  const fleet = createFleet(DATA_CENTRES)
  Object.assign(fleet.store, { version: 50 })
  Object.assign(fleet.store.operators, { epoch: 0, revision: 50 })
  fleet.add(count)
  await fleet.clock.advance(6_000)
  return fleet
}

const listed = (id: string, change: Partial<ListedUpstream> = {}): ListedUpstream => ({
  id,
  service: 'pool',
  address: `${id}:1`,
  dataCentre: 'bergen',
  version: 'v1',
  slots: 4,
  state: 'ready',
  revision: 1,
  ...change,
})

/** Numbers of ready upstreams that boxes know. */
const readyCounts = ({ boxes }: Fleet) => [
  ...new Set(
    boxes.map(({ gateway }) => gateway.services.upstreams.readyVersions('pool').get('v1')),
  ),
]

const configurationsOf = ({ boxes }: Fleet) => [
  ...new Set(boxes.map(({ gateway }) => gateway.services.operators.index!.configuration.revision)),
]

describe('a fleet whose store is restored from a copy', () => {
  let fleet: Fleet
  afterEach(() => fleet.stop())

  /** Largest age of the operator state of any box over the next 6 s. */
  async function maxAge(): Promise<number> {
    let worst = 0
    for (let step = 0; step < 120; step++) {
      await fleet.clock.advance(50)
      for (const { gateway } of fleet.boxes) worst = Math.max(worst, gateway.services.operators.age)
    }
    return worst
  }

  it('holds the restored operator state on all boxes, confirmed as soon as after an outage alone', async () => {
    for (const count of [3, 30]) {
      const ages: number[] = []
      for (const isRestored of [false, true]) {
        fleet = await startFleet(count)
        fleet.store.isOut = true
        await fleet.clock.advance(900)
        fleet.store.isOut = false
        if (isRestored) restore(fleet, { evacuated: ['bergen'] })
        ages.push(await maxAge())
        for (const { identity, gateway } of fleet.boxes) {
          const { state } = gateway.services.operators
          expect(state.evacuated, identity.box).to.eql(isRestored ? ['bergen'] : [])
          expect(state.epoch, identity.box).to.equal(isRestored ? 1 : 0)
        }
        await fleet.stop()
      }
      expect(ages[1], `${count} boxes`).to.be.at.most(ages[0]!)
    }
  })

  it('holds the latest of two restores within a second', async () => {
    fleet = await startFleet(12)
    restore(fleet, { evacuated: ['bergen'] })
    await fleet.clock.advance(700)
    restore(fleet, { evacuated: ['maloy'] })
    await fleet.clock.advance(1_500)
    for (const { identity, gateway } of fleet.boxes)
      expect(gateway.services.operators.state.evacuated, identity.box).to.eql(['maloy'])
  })

  it('gives a box that starts meanwhile the newer configuration that the store has lost', async () => {
    fleet = await startFleet(6)
    const { configuration } = fleet.store.operators
    const revision = fleet.store.operators.revision + 1
    const newer = { ...configuration!, revision: 2 }
    Object.assign(fleet.store, {
      operators: { ...fleet.store.operators, revision, fingerprint: 2, configuration: newer },
    })
    await fleet.clock.advance(2_000)
    expect(configurationsOf(fleet)).to.eql([2])
    restore(fleet, { configuration: configuration! })
    await fleet.clock.advance(1_000)
    fleet.add(2)
    await fleet.clock.advance(2_000)
    expect(configurationsOf(fleet)).to.eql([2])
  })

  it('stops requests within 1.5 s to an upstream that drains just after the restore', async () => {
    fleet = createFleet(DATA_CENTRES)
    Object.assign(fleet.store, { version: 50, upstreams: ['a', 'b', 'c'].map(id => listed(id)) })
    fleet.add(12)
    await fleet.clock.advance(6_000)
    expect(readyCounts(fleet)).to.eql([3])
    restore(fleet)
    await fleet.clock.advance(150)
    fleet.store.upstreams = [listed('a'), listed('b', { state: 'draining' }), listed('c')]
    fleet.store.version++
    await fleet.clock.advance(1_500)
    expect(readyCounts(fleet)).to.eql([2])
  })

  it('keeps using upstreams that the copy lacks until they have written their entries again', async () => {
    fleet = createFleet(DATA_CENTRES)
    const upstreams = ['a', 'b', 'c'].map(id => listed(id))
    Object.assign(fleet.store, { version: 50, upstreams })
    fleet.add(12)
    await fleet.clock.advance(6_000)
    restore(fleet)
    fleet.store.upstreams = [listed('a')]
    await fleet.clock.advance(1_800)
    expect(readyCounts(fleet)).to.eql([3])
    fleet.store.upstreams = upstreams
    fleet.store.version++
    await fleet.clock.advance(6_000)
    expect(readyCounts(fleet)).to.eql([3])
  })

  it('is noticed once by each box for each restore, and counted by a gauge', async () => {
    fleet = await startFleet(12)
    for (const count of [1, 2]) {
      restore(fleet)
      await fleet.clock.advance(2_500)
      const noticed = fleet.eventLog.filter(({ event }) => event === 'store-restored')
      expect(noticed).to.have.length(12 * count)
      for (const { gateway } of fleet.boxes) {
        const metrics = gateway.services.metrics as MetricsRegistry
        expect(await metrics.text()).to.include(`yewkeel_epoch{kind="store"} ${count}\n`)
      }
    }
  })
})
