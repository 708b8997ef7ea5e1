import os from 'node:os'
import { expect } from 'chai'
import { createSystemClock, type Milliseconds } from '../src/index.js'

/**
 * What users would see: a key that was taken away while a machine was suspended is honoured after it wakes, and upstreams that left are
 * still sent requests, for as long as what the box holds would have been good.
 * Cause: all that is held for a time was held by a clock that stands still while the machine is suspended.
 * Evidence: the steady clock of the runtime is CLOCK_MONOTONIC; the system's time since its start and the time of day go on.
 */
describe('the clock of the machine', () => {
  const { uptime } = os
  const performanceNow = performance.now.bind(performance)
  const dateNow = Date.now.bind(Date)
  let steady: Milliseconds
  let sinceStart: Milliseconds
  let timeOfDay: Milliseconds

  beforeEach(() => {
    steady = 10_000
    sinceStart = 500_000
    timeOfDay = Date.UTC(2026, 0, 1)
    performance.now = () => steady
    Date.now = () => timeOfDay
    // The system tells it in steps of 10 ms.
    os.uptime = () => Math.floor(sinceStart / 10) / 100
  })

  afterEach(() => {
    performance.now = performanceNow
    Date.now = dateNow
    os.uptime = uptime
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
    const clock = createSystemClock()
    const before = clock.now()
    run(100)
    suspend(4_000)
    run(1)
    // The very first look after the wake, before any timer.
    expect(clock.now() - before).to.be.within(4_080, 4_120)
  })

  it('does not move with the time of day', () => {
    const clock = createSystemClock()
    const before = clock.now()
    run(100)
    timeOfDay += 3_600_000
    expect(clock.now() - before).to.be.within(99, 101)
    timeOfDay -= 7_200_000
    run(100)
    expect(clock.now() - before).to.be.within(199, 201)
  })
})
