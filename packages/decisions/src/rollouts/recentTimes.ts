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
/** What an answer is compared with: it is slow if it takes longer than this part of the others, 0 to 1, and this many times. */
export interface SlowLimit {
  part: number
  times: number
}

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

/** Whether an answer took longer than the others; undefined while too little is known. */
export function isSlow(
  { samples }: RecentTimes,
  sample: number,
  { part, times }: SlowLimit,
): boolean | undefined {
  if (samples.length < LEAST_SAMPLES) return undefined
  const sorted = [...samples].sort((left, right) => left - right)
  return sample > times * sorted[Math.floor(part * (sorted.length - 1))]!
}
