/**
 * How long the newest answers of versions that are not on trial took: what an answer at the same time, for the same work, is
 * compared with. The suspect's own answers never come in, so that a slow version does not teach what is usual.
 */
export interface RecentTimes {
  samples: number[]
  /** The oldest sample, which the next one replaces. */
  oldest: number
}

/** More would be of another time: a box has a few prompts a second for each model. */
const KEPT_SAMPLES = 32
/** With fewer nothing is called slow. */
const LEAST_SAMPLES = 8
/**
 * An answer is slow above this part of the others', and a little more. A version whose every fifth answer is three times slower holds
 * up what its engines make beside: four in five of its answers go on slower than three in four of the others'.
 */
const USUAL_PART = 0.75
const MARGIN = 1.1

export function createRecentTimes(): RecentTimes {
  return { samples: [], oldest: 0 }
}

export function noteTime(times: RecentTimes, sample: number): void {
  if (times.samples.length < KEPT_SAMPLES) {
    times.samples.push(sample)
    return
  }
  times.samples[times.oldest] = sample
  times.oldest = (times.oldest + 1) % KEPT_SAMPLES
}

/** Whether an answer took longer than most; undefined while too little is known. */
export function isSlow({ samples }: RecentTimes, sample: number): boolean | undefined {
  if (samples.length < LEAST_SAMPLES) return undefined
  const sorted = [...samples].sort((left, right) => left - right)
  return sample > MARGIN * sorted[Math.floor(USUAL_PART * (sorted.length - 1))]!
}
