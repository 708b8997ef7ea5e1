import {
  belongsToOrder,
  epochOf,
  isLaterRevision,
  mergeLostStatus,
  revisionOf,
  type RolloutOrder,
  type RolloutStatus,
  type StoreRevision,
} from '@yewkeel/decisions'

interface ServiceRecord {
  /** Revision of the row; 0 if the store has none. */
  storedAt: StoreRevision
  stored?: RolloutStatus | undefined
  /** Status of an earlier epoch that the store lacks since it was restored. */
  lost?: RolloutStatus | undefined
}

/**
 * The newest known status of each rollout. A status stays in force if a restore of the store loses
 * it, until the store has it again or another order applies.
 */
export class RolloutStatuses {
  readonly #records = new Map<string, ServiceRecord>()
  readonly #orders = new Map<string, RolloutOrder>()
  /** Epoch of the store at the last read of all statuses. */
  #epoch = 0

  /** Statuses for gossip: what the store has, and what it lost. */
  get all(): RolloutStatus[] {
    return [...this.#records.values()].flatMap(({ stored, lost }) =>
      [stored, lost].filter(status => status !== undefined),
    )
  }

  find(service: string): RolloutStatus | undefined {
    const record = this.#records.get(service)
    return record?.lost ?? record?.stored
  }

  /** Where the store has the row of the service, for compare-and-swap. */
  storedAt(service: string): StoreRevision {
    return this.#records.get(service)?.storedAt ?? { epoch: this.#epoch, revision: 0 }
  }

  /**
   * The status of this order that has to be written again; undefined if there is none, or as long as
   * the store lacks the order too.
   */
  findUnwritten(order: RolloutOrder): RolloutStatus | undefined {
    if (epochOf(order) < epochOf(this.storedAt(order.service))) return undefined
    return this.#findLost(order)
  }

  #findLost(order: RolloutOrder): RolloutStatus | undefined {
    const lost = this.#records.get(order.service)?.lost
    return lost && belongsToOrder(lost, order) ? lost : undefined
  }

  /** Applies an order. `known`: the same order at the revision that it had before. */
  applyOrder(order: RolloutOrder, known?: RolloutOrder): void {
    const { service } = order
    const record = this.#records.get(service)
    const status = this.find(service)
    this.#orders.set(service, order)
    if (!record) return
    if (status && known && belongsToOrder(status, known) && !belongsToOrder(status, order))
      record.lost = { ...status, order: revisionOf(order) }
    this.#dropStored(record, order)
  }

  /** Removes the order of a service; its status stays known. */
  removeOrder(service: string): void {
    this.#orders.delete(service)
  }

  /** Merges a status from the store or another box. Returns whether it was news. */
  merge(status: RolloutStatus): boolean {
    if (status.order) return this.#mergeLost(status)
    if (!isLaterRevision(status, this.#recordOf(status.service).storedAt)) return false
    this.#replaceStored(status.service, status, status)
    return true
  }

  /** Merges all statuses of the store. Returns the services of those that were news. */
  mergeStored(statuses: readonly RolloutStatus[], epoch: number): string[] {
    this.#epoch = Math.max(this.#epoch, epoch)
    const changed = statuses.filter(status => this.merge(status)).map(({ service }) => service)
    const shown = new Set(statuses.map(({ service }) => service))
    const missing = [...this.#records].filter(
      ([service, { storedAt }]) => !shown.has(service) && epoch > epochOf(storedAt),
    )
    for (const [service] of missing) this.#replaceStored(service, { epoch, revision: 0 }, undefined)
    return [...changed, ...missing.map(([service]) => service)]
  }

  #recordOf(service: string): ServiceRecord {
    const record = this.#records.get(service) ?? { storedAt: { revision: 0 } }
    this.#records.set(service, record)
    return record
  }

  #replaceStored(service: string, at: StoreRevision, stored: RolloutStatus | undefined): void {
    const record = this.#recordOf(service)
    const order = this.#orders.get(service)
    const known = record.lost ?? record.stored
    if (known && epochOf(at) > epochOf(record.storedAt)) record.lost = withOrder(known, order)
    record.storedAt = revisionOf(at)
    record.stored = stored
    this.#dropStored(record, order)
  }

  /** Merges a status that another box knows to be lost. */
  #mergeLost(status: RolloutStatus): boolean {
    const order = this.#orders.get(status.service)
    if (!order || !belongsToOrder(status, order)) return false
    const record = this.#recordOf(status.service)
    const known = this.#findLost(order)
    const merged = known ? mergeLostStatus(known, status) : status
    if (!merged) return false
    record.lost = withOrder(merged, order)
    this.#dropStored(record, order)
    return record.lost !== undefined
  }

  /** Drops what is no longer lost: the store has it, or has the status of another order. */
  #dropStored(record: ServiceRecord, order: RolloutOrder | undefined): void {
    const { stored, lost } = record
    if (!stored || !lost || (order && !belongsToOrder(stored, order))) return
    const isReplaced = order !== undefined && !belongsToOrder(lost, order)
    record.lost = isReplaced ? undefined : mergeLostStatus(stored, lost)
  }
}

/** States which order a status belongs to, if it belongs to the current one. */
function withOrder(status: RolloutStatus, order: RolloutOrder | undefined): RolloutStatus {
  return order && belongsToOrder(status, order) ? { ...status, order: revisionOf(order) } : status
}
