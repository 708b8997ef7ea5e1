import { epochOf } from '../freshness/storeRevision.js'
import { isSameOrder, type RolloutOrder } from './rollout.js'

/** Orders of the operators, as known to a box and as read from the store. */
export interface OrdersView {
  /** Orders in force at this box. */
  known: readonly RolloutOrder[]
  /** Orders that later ones have replaced. */
  replaced: readonly RolloutOrder[]
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
    return !shown || replaced.some(earlier => isRestored(shown, earlier))
  })
  const kept = new Set(lost.map(({ service }) => service))
  return [...read.filter(({ service }) => !kept.has(service)), ...lost]
}

/** Whether an order that was read is an earlier one, whose row came back with the copy. */
function isRestored(read: RolloutOrder, earlier: RolloutOrder): boolean {
  return read.revision === earlier.revision && isSameOrder(earlier, read)
}
