import { NO_REST, restOpensAt, restUntil } from '@yewkeel/decisions'
import { expect } from 'chai'
import {
  arrivalRate,
  lateAtLeaving,
  limitExcess,
  mostInRest,
  playStatements,
  servedShare,
  type PlayedStatements,
  type Says,
  type StatementPlay,
  type StatementWorld,
} from './playedStatements.js'

const FROM = 4_000
const END = 24_000
/** Time until a statement is known to all boxes and acted on. */
const SETTLED = 3_000

const limited = (count: number, limit: number, more: Partial<Says> = {}): Says => ({
  service: 'pool',
  count,
  from: FROM,
  limit,
  ...more,
})
const upstreamsOf = ({ upstreams }: PlayedStatements, service: 'pool' | 'desk', count: number) =>
  upstreams.filter(upstream => upstream.service === service).slice(0, count)

/** Restarts half of the boxes. */
const restartHalf = async (world: StatementWorld) => world.restart(world.fleet.boxes.slice(0, 3))
const partitionTwo = ({ fleet }: StatementWorld) => fleet.cutOff(fleet.boxes.slice(0, 2))
const stopStore = ({ fleet }: StatementWorld) => void (fleet.store.isOut = true)
const healPartition = ({ fleet }: StatementWorld) => fleet.cutOff([])

/** Cases in which unlimited upstreams can serve all requests. */
const SOME_LIMITED: Record<string, StatementPlay> = {
  '3 of 10 upstreams at 2 requests/s': { says: [limited(3, 2)] },
  '3 of 10 upstreams whose limit falls to a quarter': {
    says: [limited(3, 6, { until: 12_000 }), limited(3, 1.5, { from: 12_000 })],
  },
  '2 of 4 upstreams at 3 calls/s, 450 calls/s offered': {
    calls: 450,
    says: [limited(2, 3, { service: 'desk' })],
  },
  '3 of 10 upstreams, 9 boxes': { boxes: 9, says: [limited(3, 0.3)] },
  '3 of 10 upstreams, 60 boxes': { boxes: 60, duration: 14_000, says: [limited(3, 2.3)] },
  '3 of 10 upstreams, 195 boxes': { boxes: 195, duration: 9_000, says: [limited(3, 2.3)] },
}

/** Cases in which all upstreams are limited. `capacity`: requests a second of all together. */
const ALL_LIMITED: Record<string, StatementPlay & { capacity: number }> = {
  'accept 1 request/s': { says: [limited(10, 1)], capacity: 10 },
  'accept 0.3 requests/s': { says: [limited(10, 0.3)], capacity: 3 },
  'accept 2 requests/s, down from 8': {
    boxes: 9,
    says: [limited(10, 8, { until: 9_000 }), limited(10, 2, { from: 9_000 })],
    capacity: 20,
  },
  'accept 10 calls/s': {
    calls: 200,
    says: [limited(4, 10, { service: 'desk' })],
    capacity: 40,
  },
  'accept 1 request/s, 24 boxes': { boxes: 24, says: [limited(10, 1)], capacity: 10 },
  'accept 1 request/s while boxes restart': {
    says: [limited(10, 1)],
    capacity: 10,
    trouble: [8_000, 9_000, 15_000].map(at => ({ at, strike: restartHalf })),
  },
  'accept 1 request/s while two boxes are partitioned': {
    says: [limited(10, 1)],
    capacity: 10,
    trouble: [
      { at: 6_000, strike: partitionTwo },
      { at: 14_000, strike: healPartition },
    ],
  },
  'accept 1 request/s while the store is out': {
    says: [limited(10, 1)],
    capacity: 10,
    trouble: [{ at: 3_000, strike: stopStore }],
  },
}
const LEAVING: Says[] = [
  { service: 'pool', count: 3, from: FROM, isLeaving: true },
  { service: 'desk', count: 1, from: FROM, isLeaving: true },
]
/** Removes the list entries of the first three upstreams, or restores them unchanged. */
const setUnlisted = (isUnlisted: boolean) => (world: StatementWorld) => {
  for (const upstream of world.upstreams.slice(0, 3)) upstream.isUnlisted = isUnlisted
  world.list()
}
const LEAVING_CASES: Record<string, NonNullable<StatementPlay['trouble']>> = {
  'the store is out': [{ at: 3_000, strike: stopStore }],
  'list entries are written again as ready': [5_000, 6_200, 7_400].map(at => ({
    at,
    strike: (world: StatementWorld) => world.list(),
  })),
  'list entries vanish and return': [
    { at: 5_000, strike: setUnlisted(true) },
    { at: 9_000, strike: setUnlisted(false) },
  ],
}

const backingOff = (service: 'pool' | 'desk', count: number, rest: number): Says => ({
  service,
  count,
  from: FROM,
  rest,
})
const BACK_OFF_CASES: Record<string, StatementPlay> = {
  '2 of 4 upstreams, 450 calls/s': { calls: 450, says: [backingOff('desk', 2, 3)] },
  '3 of 10 upstreams, 60 boxes': { boxes: 60, duration: 12_000, says: [backingOff('pool', 3, 3)] },
  '3 of 10 upstreams for 0.25 s': { says: [backingOff('pool', 3, 0.25)] },
  '3 of 10 upstreams for an hour': { says: [backingOff('pool', 3, 3_600)] },
  '3 of 10 upstreams while the store is out': {
    says: [backingOff('pool', 3, 3)],
    trouble: [{ at: 3_000, strike: stopStore }],
  },
}

/** Minimum share of the upstreams' capacity that boxes must use. */
const MIN_UTILISATION = 0.7

/**
 * Guards against using a limit only for the request whose answer carried it, so that the other
 * requests of all boxes exceed it.
 */
describe('an upstream that advertises a rate limit', () => {
  it('receives no more than its limit, even if all upstreams are limited', async () => {
    const result = await playStatements({
      says: [{ service: 'pool', count: 10, from: 4_000, limit: 1 }],
    })
    expect(limitExcess(result)).to.be.at.most(0)
  })

  for (const [name, play] of Object.entries(SOME_LIMITED)) {
    it(`receives no more than its limit while others serve all callers: ${name}`, async () => {
      const result = await playStatements(play)
      expect(limitExcess(result)).to.be.at.most(0)
      expect(servedShare(result, ['chat', 'check', 'hold'], FROM, END)).to.be.above(0.995)
    })
  }

  for (const [name, { capacity, ...play }] of Object.entries(ALL_LIMITED)) {
    it(`receives most of its limit and excess requests are rejected at once where all ${name}`, async () => {
      const result = await playStatements(play)
      expect(limitExcess(result)).to.be.at.most(0)
      const { service, count } = play.says!.at(-1)!
      const used = arrivalRate(upstreamsOf(result, service, count), 12_000, END)
      expect(used / capacity).to.be.within(MIN_UTILISATION, 1.1)
      const waits = result.ended
        .filter(({ at, status }) => status === 503 && at > FROM + SETTLED)
        .map(({ took }) => took)
        .sort((left, right) => left - right)
      expect(waits[Math.floor(waits.length / 2)]).to.be.below(50)
    })
  }

  it('receives urgent requests first without starving others', async () => {
    const result = await playStatements({
      calls: 200,
      says: [limited(4, 10, { service: 'desk' })],
    })
    const urgent = servedShare(result, ['check'], FROM + SETTLED, END)
    const others = servedShare(result, ['hold'], FROM + SETTLED, END)
    expect(urgent / others).to.be.above(1.5)
    expect(others).to.be.above(0.04)
  })

  it('receives full load again once its answers carry no limit', async () => {
    const result = await playStatements({ says: [limited(3, 1, { until: 12_000 })] })
    expect(limitExcess(result)).to.be.at.most(0)
    expect(arrivalRate(upstreamsOf(result, 'pool', 3), 13_000, END)).to.be.above(15)
  })

  it('is sent requests by boxes with callers when the selected senders have none', async () => {
    const result = await playStatements({
      boxes: 24,
      calledBoxes: 2,
      duration: 60_000,
      says: [limited(10, 1)],
    })
    expect(limitExcess(result)).to.be.at.most(0)
    expect(arrivalRate(upstreamsOf(result, 'pool', 10), 40_000, 60_000)).to.be.above(3)
  })

  it('has its limit known to boxes that never sent to it and to restarted boxes', async () => {
    const result = await playStatements({
      boxes: 60,
      duration: 8_000,
      streams: 20,
      calls: 0,
      says: [limited(10, 1)],
      trouble: [{ at: 6_000, strike: world => world.restart(world.fleet.boxes.slice(0, 5)) }],
    })
    for (const { gateway, identity } of result.fleet.boxes) {
      const { statements } = gateway.services
      const known = statements.current().filter(({ limit }) => limit?.perSecond === 1)
      expect(known.length, identity.box).to.equal(10)
    }
  })

  it('causes rejections whose Retry-After covers its send interval and is spread out', async () => {
    const result = await playStatements({ says: [limited(10, 0.3)] })
    const delays = result.ended
      .map(({ retryAfter }) => retryAfter)
      .filter(span => span !== undefined)
    expect(Math.min(...delays)).to.be.at.least(3_333)
    expect(Math.max(...delays) - Math.min(...delays)).to.be.above(2_000)
  })
})

/**
 * Guards against sending to an upstream that announced leaving while its list entry still says
 * ready, for instance because the store is out.
 */
describe('an upstream whose answers announce that it is leaving', () => {
  it('receives nothing more, although its list entry does not change', async () => {
    const result = await playStatements({
      says: [
        { service: 'pool', count: 3, from: FROM, isLeaving: true },
        { service: 'desk', count: 1, from: FROM, isLeaving: true },
      ],
    })
    expect(lateAtLeaving(result)).to.equal(0)
  })

  for (const [name, trouble] of Object.entries(LEAVING_CASES)) {
    it(`receives nothing once its leaving is known, and others serve all callers: ${name}`, async () => {
      const result = await playStatements({ boxes: 9, says: LEAVING, trouble })
      expect(lateAtLeaving(result)).to.equal(0)
      expect(arrivalRate(upstreamsOf(result, 'pool', 3), 12_000, END)).to.equal(0)
      expect(servedShare(result, ['chat', 'check', 'hold'], FROM, END)).to.be.above(0.995)
    })
  }

  it('receives nothing from any of 60 boxes', async () => {
    const result = await playStatements({
      boxes: 60,
      duration: 8_000,
      streams: 10,
      calls: 0,
      says: [{ service: 'pool', count: 3, from: FROM, isLeaving: true }],
    })
    expect(arrivalRate(upstreamsOf(result, 'pool', 3), 6_000, 8_000)).to.equal(0)
  })

  it('receives requests again as a new run', async () => {
    const result = await playStatements({
      says: [{ service: 'pool', count: 3, from: FROM, until: 10_000, isLeaving: true }],
      trouble: [
        {
          at: 10_000,
          strike({ upstreams, list }) {
            for (const upstream of upstreams.slice(0, 3)) upstream.run++
            list()
          },
        },
      ],
    })
    expect(arrivalRate(upstreamsOf(result, 'pool', 3), 9_000, 10_000)).to.equal(0)
    expect(arrivalRate(upstreamsOf(result, 'pool', 3), 13_000, END)).to.be.above(15)
  })

  it('causes immediate rejections with 503 where no other upstream is left', async () => {
    const result = await playStatements({
      streams: 0,
      says: [{ service: 'desk', count: 4, from: FROM, isLeaving: true }],
    })
    const rejected = result.ended.filter(({ at }) => at > FROM + SETTLED)
    expect(lateAtLeaving(result)).to.equal(0)
    expect(new Set(rejected.map(({ status }) => status))).to.deep.equal(new Set([503]))
    expect(Math.max(...rejected.map(({ took }) => took))).to.equal(0)
  })
})

/**
 * Guards against using Retry-After only for the rejected request: an idle upstream that rejects
 * everything looks least loaded and attracts most requests.
 */
describe('an upstream that asks for a back-off', () => {
  it('receives at most two requests per box and back-off, and others serve the callers', async () => {
    const result = await playStatements({
      says: [{ service: 'pool', count: 3, from: FROM, until: 16_000, rest: 3 }],
    })
    expect(mostInRest(result)).to.be.at.most(2)
    expect(servedShare(result, ['chat'], FROM, END)).to.be.above(0.995)
  })

  for (const [name, play] of Object.entries(BACK_OFF_CASES)) {
    it(`receives at most two requests per box and back-off, and others serve all callers: ${name}`, async () => {
      const result = await playStatements(play)
      expect(mostInRest(result)).to.be.at.most(2)
      expect(servedShare(result, ['chat', 'check', 'hold'], FROM, END)).to.be.above(0.995)
    })
  }

  it('receives full load again once it stops rejecting', async () => {
    const result = await playStatements({
      says: [{ service: 'pool', count: 3, from: FROM, until: 8_000, rest: 2 }],
    })
    expect(arrivalRate(upstreamsOf(result, 'pool', 3), 10_500, END)).to.be.above(15)
  })

  it('receives about one request per box and back-off where all ask for one, and callers are rejected at once', async () => {
    const result = await playStatements({
      says: [{ service: 'pool', count: 10, from: FROM, rest: 2.5 }],
    })
    expect(mostInRest(result)).to.be.at.most(2)
    // Six boxes and ten upstreams, one request per back-off each.
    expect(arrivalRate(upstreamsOf(result, 'pool', 10), 12_000, END)).to.be.at.most(
      1.2 * (60 / 2.5),
    )
    const rejected = result.ended.filter(({ at, status }) => at > 12_000 && status === 503)
    const waits = rejected.map(({ took }) => took).sort((left, right) => left - right)
    expect(waits[Math.floor(waits.length / 2)]).to.be.below(50)
    expect(waits.at(-1)).to.be.at.most(350)
    const spans = rejected.map(({ retryAfter }) => retryAfter!)
    expect(Math.max(...spans) - Math.min(...spans)).to.be.above(1_000)
  })

  it('is backed off for the requested time, up to an hour, then probed with single requests', () => {
    const now = 1_000
    expect(restUntil(NO_REST, 0, now)).to.equal(NO_REST)
    expect(restUntil(NO_REST, 250, now)).to.equal(1_250)
    expect(restUntil(5_000, 250, now)).to.equal(5_000)
    expect(restUntil(NO_REST, 1e12, now)).to.equal(now + 3_600_000)
    expect(restOpensAt(NO_REST, 990, now)).to.equal(undefined)
    expect(restOpensAt(1_250, 990, now)).to.equal(1_250)
    // After the back-off one request at a time, until one is answered or a second has passed.
    expect(restOpensAt(1_250, 1_260, 1_270)).to.equal(1_360)
    expect(restOpensAt(1_250, 1_260, 2_300)).to.equal(undefined)
  })

  it('may also advertise a limit and leave: the strictest applies', async () => {
    const result = await playStatements({
      boxes: 9,
      says: [
        limited(5, 2),
        { service: 'pool', count: 3, from: 6_000, until: 14_000, rest: 1 },
        { service: 'pool', count: 1, from: 10_000, isLeaving: true },
      ],
      trouble: [{ at: 9_000, strike: restartHalf }],
    })
    expect(limitExcess(result)).to.be.at.most(0)
    expect(mostInRest(result)).to.be.at.most(2)
    expect(lateAtLeaving(result)).to.equal(0)
  })
})
