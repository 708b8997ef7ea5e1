import {
  hasRolloutOrder,
  readRolloutState,
  writeRollout,
  type RowsStandIn,
  type VersionFlaw,
} from '@yewkeel/platform/stand-ins'
import { createSeededRandom } from '@yewkeel/decisions'
import type { Evidence, ObservedRollout } from '../checks/evidence.js'
import { INITIAL_VERSION, type Upstreams } from './upstreams.js'

/** How a version that is rolled out behaves. `late` degrades during the rollout. */
export const VERSION_BEHAVIOURS = [
  'good',
  'errors',
  'slow',
  'late',
  'one-route',
  'under-load',
] as const
export type VersionBehaviour = (typeof VERSION_BEHAVIOURS)[number]

export interface PlannedRollout {
  behaviour: VersionBehaviour
  service: 'pool' | 'desk'
  /** Fraction of the answers that are bad. */
  share: number
  /** How many times longer a bad answer takes if the version is `slow`. */
  slowdownFactor: number
  /** When a `late` version degrades, in ms since the order. */
  degradesAfter: number
  /** In ms. */
  duration: number
}

/** Shorter runs have no rollout. */
const MIN_SECONDS = 14
/**
 * Makes neighbouring seeds differ, and the random sequence differ from that of the seed's faults.
 */
const SEED_FACTOR = 7_919_003
const MIN_SHARE = 0.2
const SHARE_RANGE = 0.4
const MIN_SLOWDOWN_FACTOR = 3
const SLOWDOWN_FACTOR_RANGE = 5
/** Requests in flight on an upstream from which an `under-load` version gives bad answers. */
const MIN_LOADED_REQUESTS = 3
/** Between a rollback and the removal of the version's upstreams. */
const REMOVAL_DELAY_MS = 3_000
const POLL_INTERVAL_MS = 50
const TARGET = 'v2'

/** Plans the rollout of a seed; undefined if the run is too short for one. */
export function planRollout(seed: number, seconds: number): PlannedRollout | undefined {
  if (seconds < MIN_SECONDS) return undefined
  const random = createSeededRandom(seed * SEED_FACTOR)
  const behaviour = VERSION_BEHAVIOURS[seed % VERSION_BEHAVIOURS.length]!
  const duration = seconds * 1_000
  return {
    behaviour,
    // Only the desk has two routes.
    service: behaviour === 'one-route' || random() < 0.3 ? 'desk' : 'pool',
    share: MIN_SHARE + SHARE_RANGE * random(),
    slowdownFactor: MIN_SLOWDOWN_FACTOR + SLOWDOWN_FACTOR_RANGE * random(),
    degradesAfter: duration * random(),
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

/**
 * Orders a rollout, starts the target's upstreams and, once the boxes decide, stops those of the
 * version that is not kept.
 */
export class Rollout {
  #timer: NodeJS.Timeout | undefined
  #removalTimer: NodeJS.Timeout | undefined

  constructor(private readonly options: RolloutOptions) {}

  async start(): Promise<void> {
    const { planned, rows, upstreams, evidence, now } = this.options
    const { service, duration, behaviour } = planned
    const orderedAt = now()
    const observed: ObservedRollout = {
      service,
      target: TARGET,
      isBad: behaviour !== 'good',
      orderedAt,
      endsAt: orderedAt + duration,
      flawedAt: [],
    }
    evidence.rollout = observed
    writeRollout(rows, service, TARGET, duration)
    const count = upstreams.slots.filter(slot => slot.service === service).length
    const flaw = flawOf(
      planned,
      () => observed.flawedAt.push(now()),
      () => now() - orderedAt,
    )
    for (let added = 0; added < count; added++) await upstreams.add(service, TARGET, flaw)
    this.#timer = setInterval(() => this.#poll(observed), POLL_INTERVAL_MS)
  }

  /** Orders the rollout again if a restored store has lost the order. */
  writeLostOrder(): void {
    const { planned, rows, evidence } = this.options
    if (!evidence.rollout || hasRolloutOrder(rows, planned.service)) return
    writeRollout(rows, planned.service, TARGET, planned.duration)
  }

  #poll(observed: ObservedRollout): void {
    const { rows, upstreams } = this.options
    const { service, target } = observed
    const state = readRolloutState(rows, service)
    if (state === undefined || state === 'active') return
    clearInterval(this.#timer)
    observed.endState = state
    if (state === 'completed') return upstreams.removeVersion(service, INITIAL_VERSION)
    this.#removalTimer = setTimeout(
      () => upstreams.removeVersion(service, target),
      REMOVAL_DELAY_MS,
    )
  }

  stop(): void {
    clearInterval(this.#timer)
    clearTimeout(this.#removalTimer)
  }
}

/** The flaw of the target's upstreams; undefined for a good version. */
function flawOf(
  { behaviour, share, slowdownFactor, degradesAfter }: PlannedRollout,
  onFlawed: () => void,
  sinceOrder: () => number,
): VersionFlaw | undefined {
  const flaws: Record<VersionBehaviour, Partial<VersionFlaw> | undefined> = {
    good: undefined,
    errors: {},
    slow: { effect: { timesLonger: slowdownFactor } },
    late: {},
    'one-route': { when: 'unsafe' },
    'under-load': { when: { running: MIN_LOADED_REQUESTS } },
  }
  const flaw = flaws[behaviour]
  if (!flaw) return undefined
  return {
    effect: 'fails',
    ...flaw,
    get share() {
      return behaviour === 'late' && sinceOrder() < degradesAfter ? 0 : share
    },
    onFlawed,
  }
}
