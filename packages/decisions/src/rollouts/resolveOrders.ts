import { epochOf } from '../freshness/storeRevision.js'
import type { RolloutOrder } from './rollout.js'

/** Orders of the operators, as known to a box and as read from the store. */
export interface OrdersView {
  /** Orders in force at this box. */
  known: readonly RolloutOrder[]
  /** The orders that the known ones replaced, by service. */
  replaced: ReadonlyMap<string, RolloutOrder>
  read: readonly RolloutOrder[]
  /** Epoch of the store at the read. */
  epoch: number
}

/**
 * Resolves which orders are in force. A restored store may lack an order, or show the one that it
 * replaced, until the operator writes it again; the known order stays in force meanwhile.
 */
export function resolveOrders({ known, replaced, read, epoch }: OrdersView): RolloutOrder[] {
  const lost = known.filter(order => {
    if (epoch <= epochOf(order)) return false
    const shown = read.find(({ service }) => service === order.service)
    return !shown || isRestored(shown, replaced.get(order.service))
  })
  const kept = new Set(lost.map(({ service }) => service))
  return [...read.filter(({ service }) => !kept.has(service)), ...lost]
}

/** Whether an order that was read is the replaced one, whose row came back with the copy. */
function isRestored(read: RolloutOrder, replaced: RolloutOrder | undefined): boolean {
  return (
    replaced !== undefined &&
    epochOf(read) > epochOf(replaced) &&
    read.revision === replaced.revision &&
    read.target === replaced.target &&
    read.duration === replaced.duration
  )
}
