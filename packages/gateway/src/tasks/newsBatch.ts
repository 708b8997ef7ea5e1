import type { Clock, Milliseconds } from '@yewkeel/decisions'

/** Gathers news for a moment, so that what is found out together is told together. */
export class NewsBatch<T> {
  #waiting: T[] = []

  constructor(
    private readonly clock: Clock,
    private readonly wait: Milliseconds,
    private readonly tell: (news: T[]) => void,
  ) {}

  add(news: readonly T[]): void {
    if (news.length === 0) return
    const isFirst = this.#waiting.length === 0
    this.#waiting.push(...news)
    if (isFirst) this.clock.after(this.wait, () => this.#flush())
  }

  #flush(): void {
    const news = this.#waiting
    this.#waiting = []
    this.tell(news)
  }
}
