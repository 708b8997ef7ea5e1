import type { Milliseconds, ServiceRoom } from '@yewkeel/decisions'
import type { Upstream } from '../types/upstream.js'

/** Weight of a new sample in the moving average of holding times. */
const HOLDING_WEIGHT = 0.05
const SECOND: Milliseconds = 1_000

/** Mean time for which a request takes a place, by service and by model. */
export class HoldingTimes {
  readonly #means = new Map<string, Milliseconds>()

  /** `model`: only the part of the time in which this model answered. */
  record(service: string, time: Milliseconds, model?: string): void {
    const key = keyOf(service, model)
    const mean = this.#means.get(key) ?? time
    this.#means.set(key, mean + HOLDING_WEIGHT * (time - mean))
  }

  /** That of the service where the model has answered nothing yet; undefined if none is known. */
  of(service: string, model?: string): Milliseconds | undefined {
    return this.#means.get(keyOf(service, model)) ?? this.#means.get(service)
  }
}

function keyOf(service: string, model: string | undefined): string {
  return model === undefined ? service : `${service} ${model}`
}

/**
 * The room of upstreams by their slots and known load. No places while none of them has told its
 * load, or no holding time is known.
 */
export function roomOfUpstreams(
  upstreams: readonly Upstream[],
  loadOf: (upstream: Upstream) => number,
  holding: Milliseconds | undefined,
): ServiceRoom {
  const isKnown = upstreams.some(({ reportedLoad }) => reportedLoad !== undefined)
  if (!isKnown || !holding) return { places: 0, free: 0, freedPerSecond: 0 }
  let places = 0
  let free = 0
  for (const upstream of upstreams) {
    const { slots } = upstream.listed
    places += slots
    free += Math.max(0, slots - loadOf(upstream))
  }
  return { places, free, freedPerSecond: ((places - free) * SECOND) / holding }
}
