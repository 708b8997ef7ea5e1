import { createSeededRandom } from '@yewkeel/decisions'
import { FIRST_SEED_WITH_CROWDS } from './crowds.js'

/** How upstreams end streams that have neither a length nor chunks. */
export interface PlannedEarlyEnds {
  /** Fraction of the streams that have neither. */
  unframedShare: number
  /** Fraction of these that end in order before their last event, at an upstream that lives on. */
  earlyEndShare: number
}

/** In lower seeds only upstreams that end do so early, so that regressions replay unchanged. */
export const FIRST_SEED_WITH_EARLY_ENDS = 3_000
/** Makes the random sequence differ from that of the seed's faults. */
const SEED_FACTOR = 49_979_687
const DISCARDED_DRAWS = 8
const UNFRAMED_SHARES = [0.3, 1]
const EARLY_END_SHARES = [0, 0.1, 0.3]

export function planEarlyEnds(seed: number): PlannedEarlyEnds | undefined {
  if (seed < FIRST_SEED_WITH_EARLY_ENDS || seed >= FIRST_SEED_WITH_CROWDS) return undefined
  const random = createSeededRandom(seed * SEED_FACTOR)
  // The first draws of such seeds are alike.
  for (let drawn = 0; drawn < DISCARDED_DRAWS; drawn++) random()
  const oneOf = (values: readonly number[]) => values[Math.floor(random() * values.length)]!
  return { unframedShare: oneOf(UNFRAMED_SHARES), earlyEndShare: oneOf(EARLY_END_SHARES) }
}
