import {
  HARD_LOAD_MAX_CONNECTIONS,
  type HardLoadRoute,
  type HardLoadService,
  type ServiceCapacity,
} from '@yewkeel/platform/stand-ins'
import { createSeededRandom, type Random } from '@yewkeel/decisions'
import { BAD_PACES, createBadPace, createPace, createSteadyPace, type PaceReader } from './paces.js'

/** Requests of one organisation to one route, in requests a second. */
export interface LoadSource {
  route: HardLoadRoute
  organisation: string
  usualRate: number
}

/**
 * A time in which some organisations send more than usual. `from` and `until`: ms since the start of
 * the hard load.
 */
export interface PlannedPhase {
  kind: 'burst' | 'flood'
  from: number
  until: number
  /** By what the usual rate of a source is multiplied. */
  factorOf(source: LoadSource, at: number): number
}

/** A caller that stops reading, or sends its body slowly. */
export interface PlannedSlowCaller {
  /** Ms since the start of the hard load. */
  at: number
  kind: 'call' | 'stream' | 'body'
  /** Time for which it stops, in ms; Infinity if it never goes on. */
  pause: number
  /** Index of the box, beyond the number of boxes counted on from the first. */
  box: number
}

/** Hard load of a seed: it starts before the faults and goes on beside them. */
export interface PlannedHardLoad {
  /** Time with hard load and without any fault, in ms. */
  calmDuration: number
  phases: PlannedPhase[]
  slowCallers: PlannedSlowCaller[]
  /** What the upstreams of the service `paced` tell, by index. */
  paces: { kind: 'bad' | 'steady' | 'changing'; read: PaceReader }[]
}

/** Lower seeds have no hard load, so that regressions replay unchanged. */
export const FIRST_SEED_WITH_HARD_LOAD = 520
/** Higher seeds play other faults. */
const LAST_SEED_WITH_HARD_LOAD = 599
/** Makes the random sequence differ from that of the seed's faults. */
const SEED_FACTOR = 32_452_843
const CALM_DURATION_MS = 9_000
const PHASE_DURATION_MS = 3_200
const FIRST_PHASE_AT_MS = 1_200
const SECOND_PHASE_AT_MS = 5_600
/** Of a burst, after which the urgent requests join it. */
const URGENT_BURST_DELAY_MS = 900
const FLOOD_FACTOR = 8
/** The organisation that floods. */
export const FLOODING_ORGANISATION = 'moka'
/** All at one box: without flow control it would keep twice its memory. */
const SLOW_CALLERS_IN_CALM = 16
const SLOW_CALLERS_UNDER_FAULTS = 6
const SLOW_CALLER_KINDS = ['call', 'stream', 'call', 'stream', 'body'] as const
const STOP_FOR_GOOD_FRACTION = 0.6
const MIN_PAUSE_MS = 500
const PAUSE_RANGE_MS = 2_000

/** Upstreams of each service under hard load. */
export const HARD_LOAD_UPSTREAMS: Record<HardLoadService, number> = { narrow: 4, paced: 6, bulk: 2 }
/** Of one upstream of `narrow`. */
export const NARROW_SLOTS = 4
const NARROW_QUEUE = 2
/** As long as its streams take compared with the usual ones. */
const NARROW_TIMES_LONGER = 2
const BULK_SLOTS = 60
const BULK_ANSWER_BYTES = 12 * 1024 * 1024

/** `narrow` has room for 27 streams a second, of 600 ms each: half of it is wanted usually. */
export const LOAD_SOURCES: readonly LoadSource[] = [
  { route: 'cheap', organisation: 'moka', usualRate: 3.5 },
  { route: 'cheap', organisation: 'flacq', usualRate: 3.5 },
  { route: 'cheap', organisation: 'savanne', usualRate: 3.5 },
  { route: 'urgent', organisation: 'flacq', usualRate: 1.5 },
  { route: 'urgent', organisation: 'savanne', usualRate: 1.5 },
  { route: 'paced', organisation: 'flacq', usualRate: 30 },
]

/** Plans the hard load of a seed; undefined if it has none. */
export function planHardLoad(seed: number, seconds: number): PlannedHardLoad | undefined {
  if (seed < FIRST_SEED_WITH_HARD_LOAD || seed > LAST_SEED_WITH_HARD_LOAD) return undefined
  const random = createSeededRandom(seed * SEED_FACTOR)
  const burstsFirst = random() < 0.5
  const faultPhaseAt = CALM_DURATION_MS + seconds * 1_000 * 0.7 * random()
  return {
    calmDuration: CALM_DURATION_MS,
    phases: [
      planBurst(random, burstsFirst ? FIRST_PHASE_AT_MS : SECOND_PHASE_AT_MS),
      planFlood(burstsFirst ? SECOND_PHASE_AT_MS : FIRST_PHASE_AT_MS),
      random() < 0.5 ? planBurst(random, faultPhaseAt) : planFlood(faultPhaseAt),
    ],
    slowCallers: [
      ...planSlowCallers(random, SLOW_CALLERS_IN_CALM, 0, CALM_DURATION_MS / 2, () => seed),
      ...planSlowCallers(
        random,
        SLOW_CALLERS_UNDER_FAULTS,
        CALM_DURATION_MS,
        seconds * 1_000,
        index => index,
      ),
    ],
    paces: planPaces(random),
  }
}

/** The less urgent requests first, then the urgent ones, too. */
export function planBurst(random: Random, from: number): PlannedPhase {
  const cheapFactor = 2 + random()
  const urgentFactor = 2 + random()
  const urgentFrom = from + URGENT_BURST_DELAY_MS
  return {
    kind: 'burst',
    from,
    until: from + PHASE_DURATION_MS,
    factorOf({ route }, at) {
      if (route === 'cheap') return cheapFactor
      return route === 'urgent' && at >= urgentFrom ? urgentFactor : 1
    },
  }
}

export function planFlood(from: number): PlannedPhase {
  return {
    kind: 'flood',
    from,
    until: from + PHASE_DURATION_MS,
    factorOf: ({ organisation }) => (organisation === FLOODING_ORGANISATION ? FLOOD_FACTOR : 1),
  }
}

function planSlowCallers(
  random: Random,
  count: number,
  from: number,
  span: number,
  boxOf: (index: number) => number,
): PlannedSlowCaller[] {
  return Array.from({ length: count }, (_, index) => ({
    at: from + span * random(),
    kind: SLOW_CALLER_KINDS[index % SLOW_CALLER_KINDS.length]!,
    box: boxOf(index),
    pause: random() < STOP_FOR_GOOD_FRACTION ? Infinity : MIN_PAUSE_MS + PAUSE_RANGE_MS * random(),
  }))
}

/** Two upstreams tell bad values, two work steadily as those do, two change their pace. */
function planPaces(random: Random): PlannedHardLoad['paces'] {
  const first = Math.floor(random() * BAD_PACES.length)
  const second = (first + 1 + Math.floor(random() * (BAD_PACES.length - 1))) % BAD_PACES.length
  return [
    { kind: 'bad', read: createBadPace(first) },
    { kind: 'bad', read: createBadPace(second) },
    { kind: 'steady', read: createSteadyPace() },
    { kind: 'steady', read: createSteadyPace() },
    { kind: 'changing', read: createPace(random) },
    { kind: 'changing', read: createPace(random) },
  ]
}

/** The capacity of the `index`-th upstream of a service; undefined for services of other load. */
export function hardLoadCapacity(
  { paces }: PlannedHardLoad,
  service: string,
  index: number,
): ServiceCapacity | undefined {
  const capacities: Record<string, ServiceCapacity> = {
    narrow: {
      slots: NARROW_SLOTS,
      queue: NARROW_QUEUE,
      maxConnections: HARD_LOAD_MAX_CONNECTIONS.narrow,
      readPace: createSteadyPace(NARROW_TIMES_LONGER),
    },
    paced: { readPace: paces[index]?.read ?? createSteadyPace() },
    bulk: { slots: BULK_SLOTS, answerBytes: BULK_ANSWER_BYTES },
  }
  return capacities[service]
}
