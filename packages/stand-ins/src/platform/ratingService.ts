import type { Clock, Milliseconds, Random } from '@yewkeel/decisions'
import { createFaults, withFaults } from '../types/faults.js'
import { jsonResponse, type StandInHandler } from '../types/handler.js'

export interface RatingServiceOptions {
  clock: Clock
  random: Random
  /**
   * Time between an answer and its rating.
   * @default 2000
   */
  delay?: Milliseconds
  /**
   * Fraction of answers that get a rating.
   * @default 1
   */
  coverage?: number
}

interface Rating {
  cursor: number
  requestId: string
  good: boolean
  at: Milliseconds
}

/** Rates a fraction of the answers after a delay; clients page through ratings by cursor. */
export class RatingService {
  readonly faults = createFaults()
  readonly #ratings: Rating[] = []

  constructor(readonly options: RatingServiceOptions) {}

  /** Records whether an answer is good; engines call it for each request they run. */
  record(requestId: string, good: boolean): void {
    const { clock, random, delay = 2_000, coverage = 1 } = this.options
    if (random() >= coverage) return
    clock.after(delay, () => {
      this.#ratings.push({ cursor: this.#ratings.length + 1, requestId, good, at: clock.now() })
    })
  }

  /**
   * Returns ratings after `cursor` for request ids that start with `router`, and the next cursor.
   * `limit` counts ratings before that filter.
   */
  ratingsAfter(
    cursor: number,
    router: string,
    limit = 1_000,
  ): { ratings: Rating[]; cursor: number } {
    const page = this.#ratings.slice(cursor, cursor + limit)
    return {
      ratings: page.filter(rating => rating.requestId.startsWith(router)),
      cursor: cursor + page.length,
    }
  }

  readonly handler: StandInHandler = request =>
    withFaults(this.faults, this.options, () => {
      const url = new URL(request.path, 'http://ratings')
      const cursor = Number(url.searchParams.get('after') ?? 0)
      return jsonResponse(200, this.ratingsAfter(cursor, url.searchParams.get('router') ?? ''))
    })
}
