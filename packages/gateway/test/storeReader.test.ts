import { expect } from 'chai'
import { ManualClock, type ListedUpstream, type Milliseconds } from '@yewkeel/decisions'
import {
  createGatewayMetrics,
  StoreReader,
  type Store,
  type StoreReaderOptions,
} from '../src/index.js'

/** A box that does not read for all, hears others, and has no proof younger than one from the start. */
function startUntoldReader(newsWithin: Milliseconds, phase: Milliseconds) {
  const clock = new ManualClock()
  const reads: Milliseconds[] = []
  const note = (value: unknown) => {
    reads.push(clock.now())
    return Promise.resolve({ value, version: 1, storeNow: clock.now() })
  }
  const store = {
    readUpstreams: () => note([] as ListedUpstream[]),
    awaitOperatorState: () => note(false),
  } as unknown as Store
  const options = {
    clock,
    log: { note() {}, request() {} },
    metrics: createGatewayMetrics(),
    store,
    operators: {
      state: { revision: 1, fingerprint: 1, orders: [], evacuated: [] },
      get age() {
        return clock.now()
      },
      prove() {},
    },
    upstreams: { version: 1, take: () => false, noteReturn() {}, noteOutage() {} },
    rollouts: { noteStoreClock() {} },
    isReader: () => false,
    boxCount: () => 7,
    onStoreChange() {},
    newsWithin: () => newsWithin,
    onOperatorsRead() {},
    onUpstreamsRead() {},
  } as unknown as StoreReaderOptions
  const reader = new StoreReader(options)
  clock.after(phase, () => reader.start())
  reader.proveList(0)
  return { clock, reads, reader }
}

/** A request that was sent just before the news came reaches its upstream within this. */
const CONNECTION_OPENS_WITHIN = 200
/** A read of the store and what follows it, on a busy box. */
const READ_TAKES = 100

describe('a box that is told nothing', () => {
  it('reads for itself in time for what was sent before to arrive in time, too', async () => {
    for (const newsWithin of [2_000, 3_000, 4_000])
      for (let phase = 1; phase <= 121; phase += 40) {
        const { clock, reads, reader } = startUntoldReader(newsWithin, phase)
        await clock.advance(newsWithin)
        reader.stop()
        const latest = newsWithin - CONNECTION_OPENS_WITHIN - READ_TAKES
        // The operators' changes and the list.
        expect(reads[1], `${newsWithin} ms, phase ${phase}`).to.be.at.most(latest)
      }
  })
})
