/**
 * A point in the history of a store. Revisions rise with each transaction; a store that is restored
 * from a copy goes back to a lower one, gives later ones out again, and enters the next epoch.
 */
export interface StoreRevision {
  /** Number of restores so far, as the store counts them. Undefined, as from older boxes, is 0. */
  epoch?: number
  revision: number
}

/** Compares two points: negative if `left` is the earlier one, 0 if they are the same. */
export function compareRevisions(left: StoreRevision, right: StoreRevision): number {
  const epochs = epochOf(left) - epochOf(right)
  return epochs !== 0 ? epochs : left.revision - right.revision
}

/** Whether `left` is later than `right`. */
export function isLaterRevision(left: StoreRevision, right: StoreRevision): boolean {
  return compareRevisions(left, right) > 0
}

/** The epoch of a point; 0 if the store has none. */
export function epochOf({ epoch }: Pick<StoreRevision, 'epoch'>): number {
  return epoch ?? 0
}

/** The point of something that is known by one, without its other fields. */
export function revisionOf({ epoch, revision }: StoreRevision): StoreRevision {
  return { ...(epoch !== undefined && { epoch }), revision }
}
