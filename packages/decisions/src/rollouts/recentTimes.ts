/**
 * Ring buffer of the latest answer times of versions that are not on trial: the baseline for
 * answers to the same work. Callers leave out samples of the version on trial, so that it can't
 * shift its own baseline.
 */
export interface RecentTimes {
  samples: number[]
  /** Index of the oldest sample, which the next one overwrites. */
  oldestIndex: number
}

/** Small, so that the baseline follows the current load. */
const MAXIMUM_SAMPLES = 32
/** `isSlow` is undecided below this. */
const MINIMUM_SAMPLES = 8
/** An answer is slow if it takes longer than a quantile of the baseline times a factor. */
export interface SlowLimit {
  /** Quantile of the baseline, 0 to 1. */
  part: number
  /** Factor by which the quantile is multiplied. */
  times: number
}

export function createRecentTimes(): RecentTimes {
  return { samples: [], oldestIndex: 0 }
}

export function noteTime(times: RecentTimes, sample: number): void {
  if (times.samples.length < MAXIMUM_SAMPLES) {
    times.samples.push(sample)
    return
  }
  times.samples[times.oldestIndex] = sample
  times.oldestIndex = (times.oldestIndex + 1) % MAXIMUM_SAMPLES
}

/** Whether a sample exceeds the limit; undefined with too few samples. */
export function isSlow(
  { samples }: RecentTimes,
  sample: number,
  { part, times }: SlowLimit,
): boolean | undefined {
  if (samples.length < MINIMUM_SAMPLES) return undefined
  const sorted = [...samples].sort((left, right) => left - right)
  return sample > times * sorted[Math.floor(part * (sorted.length - 1))]!
}
