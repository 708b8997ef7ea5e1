import { compareRevisions, epochOf, type StoreRevision } from '@yewkeel/decisions'
import type { EventLog } from '../types/ports.js'

export interface EpochWatchOptions {
  log: EventLog
  /** Called once when a later epoch than the known one is first seen. */
  onEpoch(epoch: number): void
}

/** Notices, by answers of the store and messages of other boxes, that the store was restored. */
export class EpochWatch {
  #newest: StoreRevision | undefined

  constructor(private readonly options: EpochWatchOptions) {}

  /** The newest epoch known; 0 before the first. */
  get epoch(): number {
    return this.#newest ? epochOf(this.#newest) : 0
  }

  /** Records a point that the store has reached. Ignored without an epoch, as from older boxes. */
  record({ epoch, revision }: StoreRevision): void {
    const before = this.#newest
    if (epoch === undefined || (before && compareRevisions({ epoch, revision }, before) <= 0))
      return
    this.#newest = { epoch, revision }
    if (!before || epoch === before.epoch) return
    this.options.log.event('store-restored', {
      from: before.epoch,
      to: epoch,
      revisionBefore: before.revision,
      revision,
    })
    this.options.onEpoch(epoch)
  }
}
