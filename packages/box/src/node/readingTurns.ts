/**
 * Lets messages that come in very many pieces go on one after the other, one in each turn of the
 * event loop, so that they hold up nothing else.
 */
export class ReadingTurns {
  readonly #waiting: (() => void)[] = []

  /** Calls back in a later turn, after all that wait already. */
  wait(goOn: () => void): void {
    this.#waiting.push(goOn)
    if (this.#waiting.length === 1) setImmediate(() => this.#run())
  }

  #run(): void {
    const goOn = this.#waiting[0]!
    goOn()
    this.#waiting.shift()
    if (this.#waiting.length > 0) setImmediate(() => this.#run())
  }
}

/** Of all requests and answers of this process. */
export const readingTurns = new ReadingTurns()
