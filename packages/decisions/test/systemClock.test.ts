import { expect } from 'chai'
import {
  createBootTime,
  createSystemClock,
  type ClockSources,
  type Milliseconds,
} from '../src/index.js'

/**
 * Guards against revoked keys and removed upstreams that stay valid after a suspension: the
 * runtime's monotonic clock stops while the machine is suspended.
 */
describe('system clock', () => {
  let steady: Milliseconds
  let sinceBoot: Milliseconds
  let timeOfDay: Milliseconds
  const sources: ClockSources = {
    steady: () => steady,
    timeOfDay: () => timeOfDay,
    bootTime: () => sinceBoot,
  }

  beforeEach(() => {
    steady = 10_000
    sinceBoot = 500_000
    timeOfDay = Date.UTC(2026, 0, 1)
  })

  function run(span: Milliseconds): void {
    steady += span
    sinceBoot += span
    timeOfDay += span
  }

  function suspend(span: Milliseconds): void {
    sinceBoot += span
    timeOfDay += span
  }

  it('includes the time that the machine was suspended', () => {
    const clock = createSystemClock(sources)
    const before = clock.now()
    run(100)
    suspend(4_000)
    run(1)
    // The first call after the suspension, before any timer fires.
    expect(clock.now() - before).to.be.within(4_080, 4_120)
  })

  it('ignores changes of the wall time', () => {
    const clock = createSystemClock(sources)
    const before = clock.now()
    run(100)
    timeOfDay += 3_600_000
    expect(clock.now() - before).to.be.within(99, 101)
    timeOfDay -= 7_200_000
    run(100)
    expect(clock.now() - before).to.be.within(199, 201)
  })

  it('detects a suspension that a simultaneous change of the wall time masks', () => {
    const clock = createSystemClock(sources)
    const before = clock.now()
    sinceBoot += 4_000
    run(300)
    expect(clock.now() - before).to.be.within(4_290, 4_310)
  })

  it('fires timers that became due during a suspension, in order of their due times', async () => {
    const clock = createSystemClock(sources)
    const fired: string[] = []
    clock.after(60_000, () => fired.push('later'))
    clock.after(30_000, () => fired.push('sooner'))
    clock.after(30_000, () => fired.push('cancelled')).cancel()
    const notDue = clock.after(90_000, () => fired.push('not due'))
    suspend(61_000)
    clock.now()
    await new Promise(resolve => setTimeout(resolve, 5))
    notDue.cancel()
    expect(fired).to.deep.equal(['sooner', 'later'])
  })

  it('has a boot time that is positive and does not go back', () => {
    const bootTime = createBootTime()
    const first = bootTime()
    expect(first).to.be.greaterThan(0)
    expect(bootTime()).to.be.at.least(first)
  })
})
