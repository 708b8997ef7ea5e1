import { expect } from 'chai'
import fc from 'fast-check'
import {
  confirm,
  confirmationAge,
  createRetryShare,
  createRetryShares,
  createRouteIndex,
  decideRollout,
  goesToTarget,
  keepsSessions,
  createConfidenceGains,
  nextModel,
  recordConfidences,
  recordRequest,
  retryShareOf,
  ringNeighbours,
  settleRetry,
  takeRetry,
  type RetryShare,
  targetShare,
  earliestProofAt,
  type CascadeStep,
  type Confirmation,
  type Configuration,
  type RolloutOrder,
  type RolloutStatus,
  type Route,
} from '../src/index.js'

function createRoute(prefix: string): Route {
  return {
    name: prefix,
    host: 'desk.example',
    prefix,
    kind: 'safe',
    targets: [{ service: 'desk', weight: 1 }],
    maxAttempts: 2,
    timeout: 1_000,
    latencyObjective: 100,
    priority: 0,
    isPublic: false,
    isResumable: false,
    models: [],
  }
}

const CONFIGURATION: Configuration = {
  revision: 3,
  routes: [createRoute('/a/'), createRoute('/a/b/'), createRoute('/c/')],
  services: [{ name: 'desk', healthPath: '/', maxConnections: 10 }],
  organisations: [{ name: 'morne', keys: ['k1', 'k2'], priority: 0 }],
  limits: { bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
}

describe('route index', () => {
  const index = createRouteIndex(CONFIGURATION)

  it('matches the longest prefix of the path and ignores the query', () => {
    expect(index.match('desk.example', '/a/b/c?x=/c/')?.name).to.equal('/a/b/')
    expect(index.match('DESK.example:80', '/a/x')?.name).to.equal('/a/')
  })

  it('matches prefixes at segment boundaries only, and no other host', () => {
    expect(index.match('desk.example', '/ab/')).to.equal(undefined)
    expect(index.match('desk.example', '/')).to.equal(undefined)
    expect(index.match('other.example', '/a/')).to.equal(undefined)
  })

  it('resolves each key to its organisation, and unknown keys to none', () => {
    expect(index.organisationOf('k2')?.name).to.equal('morne')
    expect(index.organisationOf('k3')).to.equal(undefined)
  })
})

describe('freshness confirmations', () => {
  it('keep the latest time when an earlier one arrives afterwards', () => {
    const proof: Confirmation = {}
    confirm(proof, 100)
    confirm(proof, 60)
    expect(confirmationAge(proof, 150)).to.equal(50)
  })

  it('relayed by a peer are never dated after its read, whatever the message delays and clock offset', () => {
    fc.assert(
      fc.property(
        fc.record({
          delay: fc.nat(5_000),
          readAge: fc.nat(5_000),
          wait: fc.nat(5_000),
        }),
        fc.integer({ min: -100_000, max: 100_000 }),
        ({ delay, readAge, wait }, offset) => {
          // The box sends at 0 on its own clock; the peer receives it after `delay`, on a clock
          // that is `offset` ahead.
          const peerReceivedAt = delay + offset
          const peerReadAt = peerReceivedAt - readAge
          const peerSentAt = peerReceivedAt + wait
          const bound = earliestProofAt({ echo: 0, heldFor: wait, age: peerSentAt - peerReadAt })
          const readOnOwnClock = peerReadAt - offset
          expect(bound).to.be.at.most(readOnOwnClock)
        },
      ),
    )
  })
})

/** Takes a retry that arrives at once. */
function sendRetry(share: RetryShare, boxes: number, now: number): boolean {
  if (!takeRetry(share, boxes, now)) return false
  settleRetry(share, now, now)
  return true
}

describe('the retry budget that all boxes share', () => {
  it('is kept by the sum of their parts, however requests are distributed', () => {
    const limits = { ratio: 0.9, slack: 58, window: 10_000 }
    fc.assert(
      fc.property(fc.array(fc.nat(300), { minLength: 1, maxLength: 12 }), requestsByBox => {
        let retries = 0
        for (const requests of requestsByBox) {
          const share = createRetryShare({ limits, slackFrom: 0 })
          for (let count = 0; count < requests; count++) recordRequest(share, 5_000)
          while (takeRetry(share, requestsByBox.length, 5_000)) retries++
        }
        const total = requestsByBox.reduce((sum, count) => sum + count, 0)
        expect(retries).to.be.at.most(limits.ratio * total + limits.slack)
      }),
    )
  })

  it('drops requests and retries that are older than the window', () => {
    const share = createRetryShare({
      limits: { ratio: 0.5, slack: 0, window: 10_000 },
      slackFrom: 0,
    })
    for (let count = 0; count < 10; count++) recordRequest(share, 0)
    while (sendRetry(share, 1, 0));
    expect(takeRetry(share, 1, 9_000)).to.equal(false)
    for (let count = 0; count < 10; count++) recordRequest(share, 11_000)
    expect(takeRetry(share, 1, 11_000)).to.equal(true)
  })
})

describe('the retry budget of a service', () => {
  it('counts a retry for the whole window, also one late in its time slot', () => {
    const share = createRetryShare({
      limits: { ratio: 0, slack: 100, window: 10_000 },
      slackFrom: 0,
    })
    while (sendRetry(share, 1, 990));
    expect(takeRetry(share, 1, 10_000)).to.equal(false)
    expect(takeRetry(share, 1, 11_000)).to.equal(true)
  })

  it('is not earned by requests to another service', () => {
    const shares = createRetryShares({
      limits: { ratio: 0.9, slack: 0, window: 10_000 },
      slackFrom: 0,
    })
    for (const now of [0, 9_900]) {
      for (let count = 0; count < 100; count++) recordRequest(retryShareOf(shares, 'desk'), now)
      for (let count = 0; count < 10; count++) recordRequest(retryShareOf(shares, 'pool'), now)
    }
    let retries = 0
    while (takeRetry(retryShareOf(shares, 'pool'), 1, 9_900)) retries++
    expect(retries).to.be.within(8, 9)
  })

  it('applies changed limits to existing budgets', () => {
    const shares = createRetryShares({
      limits: { ratio: 0, slack: 0, window: 10_000 },
      slackFrom: 0,
    })
    expect(takeRetry(retryShareOf(shares, 'pool'), 1, 0)).to.equal(false)
    shares.limits = { ratio: 0, slack: 10, window: 10_000 }
    expect(takeRetry(retryShareOf(shares, 'pool'), 1, 0)).to.equal(true)
  })
})

describe('the model cascade', () => {
  const models = ['small', 'middle', 'large']
  const step = (change: Partial<CascadeStep> = {}): CascadeStep => ({
    models,
    model: 'small',
    confidence: 20,
    threshold: 60,
    gains: createConfidenceGains(),
    beginsWithin: () => 100,
    timeLeft: 1_000,
    ...change,
  })

  it('escalates a doubtful answer to the largest model, and keeps one that is confident or has no confidence', () => {
    expect(nextModel(step())).to.equal('large')
    expect(nextModel(step({ confidence: 60 }))).to.equal(undefined)
    expect(nextModel(step({ confidence: undefined }))).to.equal(undefined)
  })

  it('keeps the answer of the largest model', () => {
    expect(nextModel(step({ model: 'large', confidence: 1 }))).to.equal(undefined)
  })

  it('escalates to a middle model when its expected confidence suffices', () => {
    expect(nextModel(step({ confidence: 52 }))).to.equal('middle')
    expect(nextModel(step({ model: 'middle', confidence: 45 }))).to.equal(undefined)
    expect(nextModel(step({ model: 'middle', confidence: 20 }))).to.equal('large')
  })

  it('learns the expected confidence of a middle model', () => {
    const gains = createConfidenceGains()
    for (let count = 0; count < 100; count++)
      recordConfidences(
        gains,
        { model: 'small', confidence: 52 },
        { model: 'middle', confidence: 54 },
      )
    expect(nextModel(step({ confidence: 52, gains }))).to.equal('large')
    expect(nextModel(step({ confidence: 59, gains }))).to.equal('middle')
  })

  it('skips models whose answer would be late', () => {
    const beginsWithin = (model: string) => (model === 'large' ? 2_000 : 300)
    expect(nextModel(step({ beginsWithin }))).to.equal(undefined)
    expect(nextModel(step({ beginsWithin, confidence: 40 }))).to.equal('middle')
    expect(nextModel(step({ beginsWithin: () => Infinity, confidence: 52 }))).to.equal(undefined)
  })
})

describe('a rollout', () => {
  const order: RolloutOrder = { service: 'pool', target: 'v2', duration: 20_000, revision: 10 }
  const active: RolloutStatus = {
    service: 'pool',
    target: 'v2',
    state: 'active',
    startedAt: 1_000,
    revision: 11,
  }
  const LIMIT = 0.15
  const view = {
    order,
    status: active,
    targetUpstreams: 3,
    isTargetBad: false,
    isTargetProbablyBad: false,
    limit: LIMIT,
  }

  it('sends a new version no traffic before it is active, little in the first half, and all before the end', () => {
    expect(targetShare(order, undefined, 1_000, LIMIT)).to.equal(0)
    expect(targetShare(order, active, 10_900, LIMIT)).to.be.within(0.01, 0.15)
    expect(targetShare(order, active, 20_000, LIMIT)).to.equal(1)
  })

  it('keeps the mean share of a version within the limit for a bad one, for any duration', () => {
    for (const duration of [16_000, 24_000, 600_000])
      for (const limit of [0.0975, 0.15, 0.3]) {
        const long = { ...order, duration }
        const steps = 2_000
        let sum = 0
        for (let step = 0; step < steps; step++)
          sum += targetShare(long, active, active.startedAt + (duration * step) / steps, limit)
        expect(sum / steps, `${duration} ms, ${limit}`).to.be.at.most(limit)
        expect(sum / steps, `${duration} ms, ${limit}`).to.be.at.least(limit / 3)
      }
  })

  it('sends no traffic to a version whose status belongs to an earlier order', () => {
    const earlier = { ...active, state: 'completed' as const, revision: 9 }
    expect(targetShare(order, earlier, 15_000, LIMIT)).to.equal(0)
  })

  it('never reduces the share while it is active', () => {
    let last = 0
    for (let now = 1_000; now < 21_000; now += 100) {
      const share = targetShare(order, active, now, LIMIT)
      expect(share).to.be.at.least(last)
      last = share
    }
  })

  it('keeps sessions on their version for the first half', () => {
    expect(keepsSessions(order, active, 10_900)).to.equal(true)
    expect(keepsSessions(order, active, 12_000)).to.equal(false)
    const shares = { target: 'v2', share: 0.5, keepsSessions: true }
    expect(goesToTarget(shares, { session: 's1' }, () => 0)).to.equal(false)
  })

  it('assigns a session alike on every box, and never moves it back while the share grows', () => {
    const isOnTarget = (session: string, share: number) =>
      goesToTarget({ target: 'v2', share, keepsSessions: false }, { session }, Math.random)
    for (let name = 0; name < 200; name++) {
      const session = `session-${name}`
      expect(isOnTarget(session, 0.4)).to.equal(isOnTarget(session, 0.4))
      if (isOnTarget(session, 0.4)) expect(isOnTarget(session, 0.7)).to.equal(true)
    }
  })

  it('starts once an upstream serves the target, and completes shortly before the end of its duration', () => {
    const first = {
      order,
      storeNow: 0,
      isTargetBad: false,
      isTargetProbablyBad: false,
      limit: LIMIT,
    }
    expect(decideRollout({ ...first, targetUpstreams: 0 })).to.equal(undefined)
    expect(decideRollout({ ...first, targetUpstreams: 1 })).to.equal('active')
    expect(decideRollout({ ...view, storeNow: 20_000 })).to.equal(undefined)
    expect(decideRollout({ ...view, storeNow: 20_300 })).to.equal('completed')
  })

  it('does not raise the share of a doubted version, and rolls it back at the end', () => {
    const trial = targetShare(order, active, 18_000, LIMIT)
    expect(targetShare(order, active, 20_000, LIMIT, true)).to.equal(trial)
    const doubted = { ...view, isTargetProbablyBad: true }
    expect(decideRollout({ ...doubted, storeNow: 20_000 })).to.equal(undefined)
    expect(decideRollout({ ...doubted, storeNow: 20_300 })).to.equal('rolled-back')
  })

  it('rolls back a bad version at any time, and never leaves a final state', () => {
    expect(decideRollout({ ...view, storeNow: 2_000, isTargetBad: true })).to.equal('rolled-back')
    expect(decideRollout({ ...view, storeNow: 20_900, isTargetBad: true })).to.equal('rolled-back')
    const ended = { ...active, state: 'completed' as const }
    expect(decideRollout({ ...view, status: ended, storeNow: 20_000, isTargetBad: true })).to.equal(
      undefined,
    )
  })
})

describe('ring neighbours', () => {
  const boxes = (count: number) =>
    Array.from({ length: count }, (_, number) => `box-${String(number).padStart(3, '0')}`)

  it('are all other boxes in a small group', () => {
    expect(ringNeighbours('box-000', boxes(9), name => name)).to.have.length(8)
  })

  it('are few and mutual, and reach all of 83 or 640 boxes in a few hops', () => {
    for (const [size, most, hops] of [
      [83, 8, 5],
      [640, 12, 7],
    ] as const) {
      const names = boxes(size)
      const links = new Map(names.map(name => [name, ringNeighbours(name, names, other => other)]))
      for (const [name, others] of links) {
        expect(others.length).to.be.at.most(most)
        for (const other of others) expect(links.get(other)).to.include(name)
      }
      const reached = new Set([names[0]!])
      for (let hop = 0; hop < hops; hop++)
        for (const name of [...reached]) for (const other of links.get(name)!) reached.add(other)
      expect(reached.size).to.equal(size)
    }
  })
})
