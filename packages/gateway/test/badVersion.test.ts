import { expect } from 'chai'
import {
  simulateRollout,
  type BadVersion,
  type RolloutSimulation,
  type RolloutSimulationResult,
} from './rolloutSimulation.js'

/** Share of a service's requests that a bad version may receive; the setting `exposureLimit`. */
const MAX_EXPOSURE_FRACTION = 0.15
/** In requests. */
const EXPOSURE_SLACK = 30

function expectBoundedExposure(result: RolloutSimulationResult): void {
  const allowed = MAX_EXPOSURE_FRACTION * result.arrivals + EXPOSURE_SLACK
  expect(result.targetArrivals, 'requests to the bad version').to.be.at.most(allowed)
  expect(
    result.arrivalsAfterDetection,
    'requests over 5 s after its 50th faulty response',
  ).to.equal(0)
}

/** A rollout that advances by time alone exposes callers to a version without enough samples. */
describe('a bad version that is rolled out', function () {
  this.timeout(60_000)

  it('stays within the exposure limit and is rolled back when half of its streams are three times slower', async () => {
    const result = await simulateRollout({
      bad: { kind: 'slow', fraction: 0.5, slowdownFactor: 3 },
    })
    expectBoundedExposure(result)
    expect(result.state).to.equal('rolled-back')
  })

  it('stays within the exposure limit and is rolled back when it becomes faulty late', async () => {
    const result = await simulateRollout({
      bad: { kind: 'late', fraction: 0.5, onsetDelay: 21_000 },
    })
    expectBoundedExposure(result)
    expect(result.state).to.equal('rolled-back')
  })

  it('stays within the exposure limit for its whole duration when none of its faults is observable', async () => {
    const result = await simulateRollout({ bad: { kind: 'late', fraction: 1, onsetDelay: 1e9 } })
    expectBoundedExposure(result)
  })
})

describe('a version of a service with little traffic that is rolled out in a short time', function () {
  this.timeout(60_000)
  const LITTLE = { rate: 12, duration: 14_400, hasSessions: false }

  for (const seed of [1, 2, 3]) {
    it(`is not completed on few samples when half of its streams are eight times slower, seed ${seed}`, async () => {
      const bad: BadVersion = { kind: 'slow', fraction: 0.5, slowdownFactor: 8 }
      const result = await simulateRollout({ ...LITTLE, bad, seed })
      expectBoundedExposure(result)
      expect(result.state).to.equal('rolled-back')
    })

    it(`is completed when it is good, seed ${seed}`, async () => {
      const result = await simulateRollout({ ...LITTLE, seed })
      expect(result.state).to.equal('completed')
    })
  }

  it('stays within the exposure limit when none of its faults is observable and boxes restart', async () => {
    const restarts = [2_000, 5_000, 8_000, 11_000].map(at => ({
      at,
      inject: ({ fleet }: RolloutSimulation) => void fleet.restart([...fleet.boxes]),
    }))
    const bad: BadVersion = { kind: 'late', fraction: 1, onsetDelay: 1e9 }
    expectBoundedExposure(await simulateRollout({ ...LITTLE, bad, faults: restarts }))
  })
})

/** Faults during a rollout. */
const CONCURRENT_FAULTS = {
  'half of the boxes restart repeatedly': [3_000, 9_000, 15_000, 18_000, 21_000].map(at => ({
    at,
    inject: ({ fleet }: RolloutSimulation) =>
      void fleet.restart(fleet.boxes.filter((_, number) => number % 2 === 0)),
  })),
  'the store refuses half of the boxes': [
    {
      at: 2_000,
      inject: ({ fleet }: RolloutSimulation) =>
        fleet.boxes.forEach((box, number) => (box.isStoreUnavailable = number % 2 === 0)),
    },
  ],
  'a third of the engines are four times slower': [
    {
      at: 4_000,
      inject: ({ engines }: RolloutSimulation) =>
        engines.forEach((engine, number) => (engine.slowdownFactor = number % 3 === 0 ? 4 : 1)),
    },
  ],
  'a third of the engines fail by themselves': [
    {
      at: 4_000,
      inject: ({ engines }: RolloutSimulation) =>
        engines.forEach((engine, number) => (engine.failureFraction = number % 3 === 0 ? 0.4 : 0)),
    },
  ],
}

const BAD_VERSIONS: Record<string, BadVersion> = {
  'fails every fifth request': { kind: 'errors', fraction: 0.2 },
  'is eight times slower in every fifth response': {
    kind: 'slow',
    fraction: 0.2,
    slowdownFactor: 8,
  },
  'is three times slower in two of five responses': {
    kind: 'slow',
    fraction: 0.4,
    slowdownFactor: 3,
  },
  'fails on one route': { kind: 'one-route', fraction: 0.4 },
  'begins to fail in the middle of its rollout': {
    kind: 'late',
    fraction: 0.3,
    onsetDelay: 16_000,
  },
}

describe('a bad version during other faults', function () {
  this.timeout(120_000)
  for (const [versionFault, bad] of Object.entries(BAD_VERSIONS))
    for (const [name, faults] of Object.entries(CONCURRENT_FAULTS))
      it(`that ${versionFault} stays within the exposure limit while ${name}`, async () => {
        expectBoundedExposure(await simulateRollout({ bad, faults }))
      })
})

describe('a good version that is rolled out', function () {
  this.timeout(60_000)

  for (const [name, faults] of Object.entries(CONCURRENT_FAULTS))
    it(`is completed in its time while ${name}`, async () => {
      const result = await simulateRollout({ faults })
      expect(result.state).to.equal('completed')
    })

  it('is completed in its time, moves no session in the first half and completes every response', async () => {
    const result = await simulateRollout({})
    expect(result.state).to.equal('completed')
    expect(result.earlySessionMoves).to.equal(0)
    expect(result.served).to.equal(result.requests)
  })
})
