import type { ServiceRoom } from '@yewkeel/decisions'
import type { EventLog } from '../types/ports.js'
import type { UpstreamDirectory } from './upstreamDirectory.js'

export interface RoomWatchOptions {
  log: EventLog
  upstreams: UpstreamDirectory
  /** Whether room counts. */
  isOn(): boolean
}

/** Share of the places that has to be free again after a service had none: it is no longer full. */
const RESTORED_SHARE = 0.05

/** Logs when the upstreams of a service have no free place, and when they have again. */
export class RoomWatch {
  readonly #full = new Set<string>()

  constructor(private readonly options: RoomWatchOptions) {}

  /** Checks all services. */
  tick(): void {
    if (!this.options.isOn()) return
    for (const service of this.#services()) this.#check(service, this.#roomOf(service))
  }

  /** Free places by service. */
  freeByService(): Record<string, number> {
    if (!this.options.isOn()) return {}
    return Object.fromEntries(
      this.#services().map(service => [service, this.#roomOf(service).free]),
    )
  }

  #services(): string[] {
    const services = new Set<string>()
    for (const { listed } of this.options.upstreams.all()) services.add(listed.service)
    return [...services]
  }

  #roomOf(service: string): ServiceRoom {
    const query = { service, admits: () => true, tried: [], bodyBytes: 0 }
    return this.options.upstreams.roomOf({ ...query, connectionLimit: Infinity })
  }

  #check(service: string, { places, free }: ServiceRoom): void {
    const wasFull = this.#full.has(service)
    const isFull = wasFull ? free < Math.max(1, RESTORED_SHARE * places) : free === 0
    if (isFull === wasFull || places === 0) return
    if (isFull) this.#full.add(service)
    else this.#full.delete(service)
    const { log, upstreams } = this.options
    const waiting = upstreams.queueOf(service).requests.size
    log.event(isFull ? 'room-gone' : 'room-back', { service, places, free, waiting })
  }
}
