import {
  readRolloutState,
  writeRollout,
  type RowsStandIn,
  type VersionFlaw,
} from '@yewkeel/platform/stand-ins'
import { createSeededRandom } from '@yewkeel/decisions'
import type { Evidence, SeenRollout } from '../checks/evidence.js'
import { FIRST_VERSION, type Upstreams } from './upstreams.js'

/** What a version that is rolled out is like. */
export const VERSION_FATES = ['good', 'errors', 'slow', 'late', 'one-route', 'under-load'] as const
export type VersionFate = (typeof VERSION_FATES)[number]

/** The roll-out of a seed. */
export interface PlannedRollout {
  fate: VersionFate
  service: 'pool' | 'desk'
  /** Part of the answers that are bad. */
  share: number
  /** How many times longer a slow answer takes. */
  timesLonger: number
  /** When a version turns bad late, in ms from the order. */
  turnsBadAfter: number
  /** In ms. */
  duration: number
}

/** Shorter runs have none: their seeds are what they were. */
const LEAST_SECONDS = 14
const SEED_STEP = 7_919_003
const LEAST_SHARE = 0.2
const SHARE_SPAN = 0.4
const LEAST_TIMES = 3
const TIMES_SPAN = 5
/** Requests on one upstream from which it counts as loaded. */
const LOADED_FROM = 3
/** The upstreams of a version that was rolled back serve for some time more, in ms. */
const SERVES_ON_MS = 3_000
const LOOK_EVERY_MS = 50
const TARGET = 'v2'

/** Every long run has a roll-out, from chance of its own so that the seed's faults stay as they were. */
export function planRollout(seed: number, seconds: number): PlannedRollout | undefined {
  if (seconds < LEAST_SECONDS) return undefined
  // Chance of neighbouring seeds begins alike.
  const random = createSeededRandom(seed * SEED_STEP)
  const fate = VERSION_FATES[seed % VERSION_FATES.length]!
  const duration = seconds * 1_000
  return {
    fate,
    // Calls of the desk have two routes.
    service: fate === 'one-route' || random() < 0.3 ? 'desk' : 'pool',
    share: LEAST_SHARE + SHARE_SPAN * random(),
    timesLonger: LEAST_TIMES + TIMES_SPAN * random(),
    turnsBadAfter: duration * random(),
    duration,
  }
}

export interface RolloutOptions {
  planned: PlannedRollout
  rows: RowsStandIn
  upstreams: Upstreams
  evidence: Evidence
  now(): number
}

/** The operators order another version; its upstreams start beside the old ones, and one of the two ends as the boxes decide. */
export class Rollout {
  #timer: NodeJS.Timeout | undefined
  #ending: NodeJS.Timeout | undefined

  constructor(private readonly options: RolloutOptions) {}

  async start(): Promise<void> {
    const { planned, rows, upstreams, evidence, now } = this.options
    const { service, duration, fate } = planned
    const orderedAt = now()
    const seen: SeenRollout = {
      service,
      target: TARGET,
      isBad: fate !== 'good',
      orderedAt,
      endsAt: orderedAt + duration,
      flawedAt: [],
    }
    evidence.rollout = seen
    writeRollout(rows, service, TARGET, duration)
    const count = upstreams.places.filter(place => place.service === service).length
    const flaw = flawOf(
      planned,
      () => seen.flawedAt.push(now()),
      () => now() - orderedAt,
    )
    for (let added = 0; added < count; added++) await upstreams.add(service, TARGET, flaw)
    this.#timer = setInterval(() => this.#look(seen), LOOK_EVERY_MS)
  }

  #look(seen: SeenRollout): void {
    const { rows, upstreams } = this.options
    const { service, target } = seen
    const state = readRolloutState(rows, service)
    if (state === undefined || state === 'active') return
    clearInterval(this.#timer)
    seen.endState = state
    if (state === 'completed') return upstreams.removeVersion(service, FIRST_VERSION)
    this.#ending = setTimeout(() => upstreams.removeVersion(service, target), SERVES_ON_MS)
  }

  stop(): void {
    clearInterval(this.#timer)
    clearTimeout(this.#ending)
  }
}

/** Late versions are good until they turn bad. */
function flawOf(
  { fate, share, timesLonger, turnsBadAfter }: PlannedRollout,
  onFlawed: () => void,
  sinceOrder: () => number,
): VersionFlaw | undefined {
  const flaws: Record<VersionFate, Partial<VersionFlaw> | undefined> = {
    good: undefined,
    errors: {},
    slow: { effect: { timesLonger } },
    late: {},
    'one-route': { when: 'unsafe' },
    'under-load': { when: { running: LOADED_FROM } },
  }
  const flaw = flaws[fate]
  if (!flaw) return undefined
  return {
    effect: 'fails',
    ...flaw,
    get share() {
      return fate === 'late' && sinceOrder() < turnsBadAfter ? 0 : share
    },
    onFlawed,
  }
}
