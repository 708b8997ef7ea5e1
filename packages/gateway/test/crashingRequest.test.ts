import { expect } from 'chai'
import {
  lateSends,
  playCrashes,
  servedShare,
  type CrashPlay,
  type CrashWorld,
  type KillerRecord,
  type PlayedCrashes,
  type RouteName,
} from './playedCrashes.js'

/**
 * What users saw: for half a minute chats and short streams broke off or did not begin; about half of them were served. 37
 * upstreams ended one after the other.
 * Order of events: a request comes to a box, which sends it to an upstream; the upstream ends 60 to 120 ms after it began to run it, with
 * all that it has under way; the box takes that for the upstream's fault and sends the request to the next, and to a third; the
 * caller comes again, at another box, which knows nothing of it.
 * Cause: nothing was known of a request beyond one attempt.
 * Evidence: under one request 37 upstreams ended, 13 of its sends came more than 3 s after the third; between its visits no upstream ended. In memory, one
 * such stream every 0.7 s: the figures in the table below.
 */
const NEWS_WITHIN = 3_000
/** What the operators allow later than that. */
const MOST_LATE_SENDS = 3
const STREAMS: RouteName[] = ['chat', 'tag']

const PLAYS: Record<string, CrashPlay> = {
  'a stream, each 0.7 s': { killers: [{ route: 'chat', every: 700 }] },
  'a stream that may not be resumed': { killers: [{ route: 'tag', every: 700 }] },
  'a call that may be repeated': { killers: [{ route: 'hold', every: 700 }] },
  'a call that may not be repeated': { killers: [{ route: 'check', every: 700 }] },
  'a stream, 25 a second': { killers: [{ route: 'chat', every: 40 }] },
  'a stream at six boxes at the same moment': {
    killers: [{ route: 'chat', every: 1_000, copies: 6 }],
  },
  'five different streams': {
    killers: [1_450, 1_500, 1_550, 1_600, 1_650].map(every => ({ route: 'chat', every })),
  },
}

const ONE_STREAM = { killers: [{ route: 'chat', every: 700 }] } satisfies CrashPlay

/** Ends a share of a service's upstreams at one moment, again and again. */
const crashes = (service: string, share: number, times: number, gap: number, from: number) =>
  Array.from({ length: times }, (_, at) => ({
    at: from + at * gap,
    strike: (world: CrashWorld) => world.crash(service, share),
  }))
const restart = (count: number) => async (world: CrashWorld) =>
  void (await world.fleet.restart(world.fleet.boxes.slice(0, count)))
const storeOut = (isOut: boolean) => (world: CrashWorld) => void (world.fleet.store.isOut = isOut)

const BESIDE: Record<string, CrashPlay> = {
  'half of the upstreams that end five times': {
    ...ONE_STREAM,
    trouble: crashes('pool', 0.5, 5, 2_000, 4_200),
  },
  'a call of which the same is true': {
    killers: [
      { route: 'chat', every: 900 },
      { route: 'check', every: 800 },
    ],
  },
  'a store that is out': { ...ONE_STREAM, trouble: [{ at: 3_000, strike: storeOut(true) }] },
  'the restart of half of the boxes': {
    ...ONE_STREAM,
    trouble: [{ at: 4_300, strike: restart(3) }],
  },
}

/** Of the good streams of that play, before requests were suspected of anything (seeds 1 to 3); with suspects 0.947. */
const SERVED_BEFORE = 0.941
const SEVEN_OF_TEN = 'seven of ten upstreams five times, one request over and over'
const INNOCENT: Record<string, CrashPlay> = {
  [SEVEN_OF_TEN]: { popular: 0.5, trouble: crashes('pool', 0.7, 5, 3_000, 3_000) },
  'seven of ten upstreams, each request another': {
    trouble: crashes('pool', 0.7, 5, 3_000, 3_000),
  },
  'all upstreams four times, which leaves no stream time to end': {
    popular: 0.5,
    trouble: crashes('pool', 1, 4, 3_000, 3_000),
  },
  'half of the upstreams, one after the other': {
    popular: 0.3,
    rate: 80,
    trouble: crashes('pool', 0.1, 8, 2_600, 3_000),
  },
  'half of the application upstreams': {
    popular: 0.5,
    trouble: crashes('desk', 0.5, 5, 3_000, 3_000),
  },
}

/** What came of a play, for a person who reads a failed test. */
function summary(played: PlayedCrashes) {
  const of = (each: (killer: KillerRecord) => number) => played.killers.map(each)
  return {
    sent: of(({ sent }) => sent.length),
    late: of(killer => lateSends(killer, NEWS_WITHIN)),
    crashes: played.crashes,
    served: servedShare(played, STREAMS, 8_000, 24_000),
    wronglyCondemned: played.wronglyCondemned,
  }
}

describe('a request that crashes the upstreams that run it', () => {
  it('is run no more once three have ended, on whatever route, at whatever boxes', async () => {
    const broken: object[] = []
    for (const [play, options] of Object.entries(PLAYS)) {
      const seen = summary(await playCrashes(options))
      if (Math.max(...seen.late) > MOST_LATE_SENDS) broken.push({ play, ...seen })
    }
    expect(broken).to.deep.equal([])
  })

  it('costs its caller one answer, and the others no more than the upstreams that have ended', async () => {
    for (const [play, options] of Object.entries(PLAYS)) {
      const played = await playCrashes(options)
      const { served, wronglyCondemned } = summary(played)
      expect(wronglyCondemned, play).to.equal(0)
      // The operators are called when over a tenth is not served. It was 0.15, 0.92, 1.00, 1.00, 0.00, 0.05 and 0.01.
      expect(served, play).to.be.at.least(0.9)
      const statuses = new Set(played.killers.flatMap(killer => killer.statuses))
      expect([...statuses].filter(status => status !== 502 && status !== 503)).to.deep.equal([])
    }
  })

  for (const [trouble, options] of Object.entries(BESIDE))
    it(`is found beside ${trouble}`, async () => {
      for (const seed of [1, 2, 3]) {
        const seen = summary(await playCrashes({ ...options, seed }))
        expect(Math.max(...seen.late), `seed ${seed}`).to.be.at.most(MOST_LATE_SENDS)
        expect(seen.wronglyCondemned, `seed ${seed}`).to.equal(0)
      }
    })

  it('is run no more by boxes that start, whether a neighbour or the store tells them', async () => {
    for (const restarted of [1, 6]) {
      const trouble = [{ at: 12_000, strike: restart(restarted) }]
      const { killers } = await playCrashes({ ...ONE_STREAM, trouble })
      expect(killers[0]!.sent.length, `${restarted} boxes`).to.equal(3)
    }
  })

  it('is run three times at the most by boxes that all start while the store is out', async () => {
    const trouble = [
      { at: 11_000, strike: storeOut(true) },
      { at: 12_000, strike: restart(6) },
      { at: 15_000, strike: storeOut(false) },
    ]
    const { killers } = await playCrashes({ ...ONE_STREAM, trouble })
    expect(killers[0]!.sent.length).to.be.at.most(6)
  })

  it('is known to sixty boxes that are not all linked', async () => {
    const killers = [{ route: 'chat' as const, every: 400 }]
    const seen = summary(await playCrashes({ killers, boxes: 60, duration: 9_000 }))
    expect(seen.late[0]).to.be.at.most(MOST_LATE_SENDS)
    expect(seen.sent[0]).to.be.at.most(6)
  }).timeout(60_000)
})

/**
 * The other side: upstreams that end for other reasons, and requests that were aboard of many of them, the one that is sent over and over most of
 * all. In the trial seven of ten upstreams ended together five times.
 */
describe('crashes that no request has caused', () => {
  for (const [play, options] of Object.entries(INNOCENT))
    it(`condemn nobody: ${play}`, async () => {
      for (const seed of [1, 2, 3, 4]) {
        const played = await playCrashes({ ...options, seed })
        expect(played.crashes, `seed ${seed}`).to.be.at.least(8)
        expect(played.wronglyCondemned, `seed ${seed}`).to.equal(0)
      }
    }).timeout(60_000)

  it('cost good requests no more than before', async () => {
    const served: number[] = []
    for (const seed of [1, 2, 3])
      served.push(
        servedShare(
          await playCrashes({ ...INNOCENT[SEVEN_OF_TEN]!, seed }),
          STREAMS,
          1_000,
          24_000,
        ),
      )
    const mean = served.reduce((sum, share) => sum + share, 0) / served.length
    expect(mean).to.be.at.least(SERVED_BEFORE - 0.03)
  })
})
