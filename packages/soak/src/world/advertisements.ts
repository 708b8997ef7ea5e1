import type { UpstreamAdvertisement } from '@yewkeel/platform/stand-ins'
import { createSeededRandom, type Random } from '@yewkeel/decisions'
import type { Evidence } from '../checks/evidence.js'
import type { Upstreams } from './upstreams.js'

/**
 * A fraction of a service's upstreams (`share`) states a limit, a back-off or a drain in its
 * answers. `at`: ms since the start of fault injection; `duration` in ms.
 */
export interface PlannedAdvertisement {
  at: number
  duration: number
  service: string
  share: number
  content: UpstreamAdvertisement
}

/** Lower seeds have no advertisements, so that regressions replay unchanged. */
export const FIRST_SEED_WITH_ADVERTISEMENTS = 420
/** Makes the random sequence differ from that of the seed's faults. */
const SEED_FACTOR = 15_485_863
const ADVERTISEMENTS_PER_SEED = 4
const MIN_SHARE = 0.25
const MAX_SHARE = 1

/** `limit` in requests a second, `rest` in seconds. */
const CONTENT_GENERATORS: readonly ((random: Random) => UpstreamAdvertisement)[] = [
  random => ({ limit: Number((0.3 + 5 * random()).toFixed(1)) }),
  random => ({ limit: Number((10 + 40 * random()).toFixed(1)) }),
  random => ({ rest: Number((0.2 + 3 * random()).toFixed(2)) }),
  () => ({ isLeaving: true }),
]

/**
 * Plans the advertisements of a seed. They may overlap; a later one replaces the same field of an
 * earlier one.
 */
export function planAdvertisements(seed: number, seconds: number): PlannedAdvertisement[] {
  if (seed < FIRST_SEED_WITH_ADVERTISEMENTS) return []
  const random = createSeededRandom(seed * SEED_FACTOR)
  return Array.from({ length: ADVERTISEMENTS_PER_SEED }, () => ({
    at: 0.6 * seconds * 1_000 * random(),
    duration: seconds * 1_000 * (0.3 + 0.4 * random()),
    service: random() < 0.6 ? 'pool' : 'desk',
    share: MIN_SHARE + (MAX_SHARE - MIN_SHARE) * random(),
    content: CONTENT_GENERATORS[Math.floor(random() * CONTENT_GENERATORS.length)]!(random),
  }))
}

export interface AdvertisementsOptions {
  planned: readonly PlannedAdvertisement[]
  upstreams: Upstreams
  evidence: Evidence
  now(): number
}

/** Makes upstreams send the planned advertisements. */
export class Advertisements {
  readonly #timers: NodeJS.Timeout[] = []

  constructor(private readonly options: AdvertisementsOptions) {}

  start(): void {
    for (const advertisement of this.options.planned)
      this.#timers.push(setTimeout(() => this.#begin(advertisement), advertisement.at))
  }

  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer)
  }

  #begin({ service, share, content, duration }: PlannedAdvertisement): void {
    const { upstreams, evidence, now } = this.options
    const members = upstreams.slots.filter(slot => slot.service === service)
    // Draining all upstreams of a service would leave none.
    const count = content.isLeaving ? 1 : Math.ceil(share * members.length)
    for (const slot of members.slice(0, count)) {
      const { standIn } = slot
      Object.assign(standIn.advertised, content)
      const span = { instance: standIn.instance, content, from: now(), until: Infinity }
      evidence.advertisementSpans.push(span)
      if (content.isLeaving) void upstreams.drainSilently(slot)
      else
        this.#timers.push(setTimeout(() => this.#end(standIn.advertised, span, content), duration))
    }
  }

  #end(
    advertised: UpstreamAdvertisement,
    span: { until: number },
    content: UpstreamAdvertisement,
  ): void {
    span.until = this.options.now()
    for (const [name, value] of Object.entries(content) as [keyof UpstreamAdvertisement, unknown][])
      if (advertised[name] === value) delete advertised[name]
  }
}
