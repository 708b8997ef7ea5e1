import type { Clock, Milliseconds } from '@yewkeel/decisions'

/** Collects items and sends them as one batch, `delay` after the first. */
export class DelayedBatch<T> {
  #pending: T[] = []

  constructor(
    private readonly clock: Clock,
    private readonly delay: Milliseconds,
    private readonly send: (items: T[]) => void,
  ) {}

  add(items: readonly T[]): void {
    if (items.length === 0) return
    const isFirst = this.#pending.length === 0
    this.#pending.push(...items)
    if (isFirst) this.clock.after(this.delay, () => this.#flush())
  }

  #flush(): void {
    const items = this.#pending
    this.#pending = []
    this.send(items)
  }
}
