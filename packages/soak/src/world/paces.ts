import type { ServiceCapacity } from '@yewkeel/platform/stand-ins'
import { createSystemClock, type Random } from '@yewkeel/decisions'

export type PaceReader = NonNullable<ServiceCapacity['readPace']>

/** What upstreams tell by mistake in place of a pace in percent; undefined tells none. */
export const BAD_PACES: readonly (string | undefined)[] = [
  'abc',
  '0',
  '-1',
  '1e9',
  '1000000000',
  '100,5',
  '12345',
  undefined,
]
const MIN_CHANGE_INTERVAL_MS = 150
const CHANGE_INTERVAL_RANGE_MS = 250
const MIN_PACE_PERCENT = 60
const PACE_RANGE_PERCENT = 300
const CHANGES = 64

export const createSteadyPace =
  (timesLonger = 1): PaceReader =>
  () => ({ text: '100', timesLonger })

/** Tells a bad value and works as one of pace 100 does. */
export function createBadPace(index: number): PaceReader {
  return () => ({ text: BAD_PACES[index], timesLonger: 1 })
}

/** Tells a pace that changes several times a second, and works at it. */
export function createPace(random: Random): PaceReader {
  const { now } = createSystemClock()
  const interval = MIN_CHANGE_INTERVAL_MS + CHANGE_INTERVAL_RANGE_MS * random()
  const paces = Array.from({ length: CHANGES }, () =>
    Math.round(MIN_PACE_PERCENT + PACE_RANGE_PERCENT * random()),
  )
  return () => {
    const pace = paces[Math.floor(now() / interval) % CHANGES]!
    return { text: String(pace), timesLonger: pace / 100 }
  }
}
