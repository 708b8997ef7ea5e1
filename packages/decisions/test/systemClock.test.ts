import { expect } from 'chai'
import {
  createBootTime,
  createSystemClock,
  type ClockSources,
  type Milliseconds,
} from '../src/index.js'

/**
 * What users would see: a key that was taken away while a machine was suspended is honoured after it wakes, and upstreams that left are
 * still sent requests, for as long as what the box holds would have been good.
 * Cause: all that is held for a time was held by a clock that stands still while the machine is suspended.
 * Evidence: the steady clock of the runtime is CLOCK_MONOTONIC; the system's time since its start and the time of day go on.
 */
describe('the clock of the machine', () => {
  let steady: Milliseconds
  let sinceStart: Milliseconds
  let timeOfDay: Milliseconds
  const sources: ClockSources = {
    steady: () => steady,
    timeOfDay: () => timeOfDay,
    bootTime: () => sinceStart,
  }

  beforeEach(() => {
    steady = 10_000
    sinceStart = 500_000
    timeOfDay = Date.UTC(2026, 0, 1)
  })

  function run(span: Milliseconds): void {
    steady += span
    sinceStart += span
    timeOfDay += span
  }

  function suspend(span: Milliseconds): void {
    sinceStart += span
    timeOfDay += span
  }

  it('goes on while the machine is suspended', () => {
    const clock = createSystemClock(sources)
    const before = clock.now()
    run(100)
    suspend(4_000)
    run(1)
    // The very first look after the wake, before any timer.
    expect(clock.now() - before).to.be.within(4_080, 4_120)
  })

  it('does not move with the time of day', () => {
    const clock = createSystemClock(sources)
    const before = clock.now()
    run(100)
    timeOfDay += 3_600_000
    expect(clock.now() - before).to.be.within(99, 101)
    timeOfDay -= 7_200_000
    run(100)
    expect(clock.now() - before).to.be.within(199, 201)
  })

  it('sees a suspension that a change of the time of day has hidden', () => {
    const clock = createSystemClock(sources)
    const before = clock.now()
    sinceStart += 4_000
    run(300)
    expect(clock.now() - before).to.be.within(4_290, 4_310)
  })

  it('fires timers that fell due meanwhile, the first to fall due first', async () => {
    const clock = createSystemClock(sources)
    const fired: string[] = []
    clock.after(60_000, () => fired.push('later'))
    clock.after(30_000, () => fired.push('sooner'))
    clock.after(30_000, () => fired.push('cancelled')).cancel()
    const never = clock.after(90_000, () => fired.push('not due'))
    suspend(61_000)
    clock.now()
    await new Promise(resolve => setTimeout(resolve, 5))
    never.cancel()
    expect(fired).to.deep.equal(['sooner', 'later'])
  })

  it('has a boot clock that goes on', () => {
    const bootTime = createBootTime()
    const first = bootTime()
    expect(first).to.be.greaterThan(0)
    expect(bootTime()).to.be.at.least(first)
  })
})
