import type { Random } from '@yewkeel/decisions'
import type { ConnectionPool } from '../node/upstreamConnectionPool.js'
import type { KnownBox } from './knownBoxes.js'

export interface RelaysOptions {
  random: Random
  /** The other boxes that are alive. */
  live(): KnownBox[]
  /** Opens connections to the entry of a box. */
  openConnections(address: string): ConnectionPool
  /** Whether an address accepts connections. */
  probe(address: string): Promise<boolean>
}

/** The boxes by way of which requests are served while this one has no path to their upstreams. */
export class Relays {
  readonly #connections = new Map<string, ConnectionPool>()

  constructor(private readonly options: RelaysOptions) {}

  /** Whether another box that serves callers lately heard from upstreams of the service. */
  hear(service: string): boolean {
    return this.#boxesWithPath(service).some(({ paths }) => paths?.heard.includes(service))
  }

  /**
   * A box that may take a request for the service, by chance; those that lately heard from its
   * upstreams first.
   */
  pick(service: string, tried: readonly string[]): KnownBox | undefined {
    const boxes = this.#boxesWithPath(service).filter(({ entry }) => !tried.includes(entry.box))
    const hearing = boxes.filter(({ paths }) => paths?.heard.includes(service))
    const usable = hearing.length > 0 ? hearing : boxes
    return usable[Math.floor(this.options.random() * usable.length)]
  }

  /** Connections to the entry of a box. */
  connectionsTo(address: string): ConnectionPool {
    const known = this.#connections.get(address)
    if (known) return known
    const connections = this.options.openConnections(address)
    this.#connections.set(address, connections)
    return connections
  }

  /** Whether the box at an address accepts connections. */
  accepts(address: string): Promise<boolean> {
    return this.options.probe(address)
  }

  /** Closes the connections that carry no request. */
  retire(): void {
    for (const connections of this.#connections.values()) connections.retire()
    this.#connections.clear()
  }

  /** Serving boxes that tell of their paths, and not that this one is lost. */
  #boxesWithPath(service: string): KnownBox[] {
    return this.options
      .live()
      .filter(({ state, paths }) => state === 'serving' && paths?.lost.includes(service) === false)
  }
}
