import { expect } from 'chai'
import { planPlacement, type PlacedEngine, type VersionDemand } from '@yewkeel/decisions'

function engines(count: number, serves: string[]): PlacedEngine[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `engine-${index}`,
    serves: [...serves],
    capacity: 1,
    inFlight: 0,
    checksFence: true,
    isDraining: false,
  }))
}

/** Plans one round and applies its steps. Returns the number of steps. */
function applySteps(placed: PlacedEngine[], demands: VersionDemand[]): number {
  const steps = planPlacement(placed, demands, { parallelLoads: 2, missingShare: 0.25 })
  for (const step of steps) {
    const engine = placed.find(engine => engine.id === step.engine)!
    if (step.step === 'empty') engine.isDraining = true
    if (step.step === 'refill') engine.isDraining = false
    if (step.step === 'load') {
      engine.serves = engine.serves.filter(version => version !== step.unload)
      engine.loading = step.version
    }
  }
  return steps.length
}

function finishLoads(placed: PlacedEngine[]): void {
  for (const engine of placed.filter(engine => engine.loading !== undefined)) {
    engine.serves = [...engine.serves, engine.loading!]
    delete engine.loading
  }
}

describe('planPlacement', () => {
  const demands = [
    { version: 'm@1', engines: 4 },
    { version: 'm@2', engines: 4 },
  ]

  it('moves half of the engines to a new version with at most a quarter of them unavailable at once', () => {
    const placed = engines(8, ['m@1'])
    for (let round = 0; round < 40; round++) {
      applySteps(placed, demands)
      const unavailable = placed.filter(engine => engine.isDraining || engine.loading !== undefined)
      expect(unavailable.length).to.be.at.most(2)
      finishLoads(placed)
    }
    const count = (version: string) =>
      placed.filter(engine => engine.serves.includes(version)).length
    expect([count('m@1'), count('m@2')]).to.deep.equal([4, 4])
    expect(placed.some(engine => engine.isDraining)).to.equal(false)
  })

  it('does not unload a version from an engine with requests in flight', () => {
    const placed = engines(4, ['m@1'])
    applySteps(placed, demands)
    const draining = placed.filter(engine => engine.isDraining)
    for (const engine of draining) engine.inFlight = 1
    applySteps(placed, demands)
    expect(placed.some(engine => engine.loading !== undefined)).to.equal(false)
  })

  it('continues an interrupted rollout and plans nothing once the demand is met', () => {
    const placed = [...engines(2, ['m@1']), ...engines(2, ['m@2'])].map((engine, index) => ({
      ...engine,
      id: `engine-${index}`,
    }))
    const even = [
      { version: 'm@1', engines: 2 },
      { version: 'm@2', engines: 2 },
    ]
    expect(planPlacement(placed, even)).to.deep.equal([])
    expect(planPlacement(placed, [{ version: 'm@2', engines: 4 }])[0]).to.include({ step: 'empty' })
  })
})
