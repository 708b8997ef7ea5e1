/**
 * Ring buffer of the latest answer times of versions that are not on trial: the baseline for
 * answers to the same work. Callers leave out samples of the version on trial, so that it can't
 * shift its own baseline.
 */
export interface RecentDurations {
  samples: number[]
  /** Index of the oldest sample, which the next one overwrites. */
  oldestIndex: number
}

/** Small, so that the baseline follows the current load. */
const MAX_SAMPLES = 32
/** `isSlow` is undecided below this. */
const MIN_SAMPLES = 8
/** An answer is slow if it takes longer than a quantile of the baseline times a factor. */
export interface SlowLimit {
  /** Quantile of the baseline, 0 to 1. */
  quantile: number
  /** Factor by which the quantile is multiplied. */
  factor: number
}

export function createRecentDurations(): RecentDurations {
  return { samples: [], oldestIndex: 0 }
}

export function recordDuration(times: RecentDurations, sample: number): void {
  if (times.samples.length < MAX_SAMPLES) {
    times.samples.push(sample)
    return
  }
  times.samples[times.oldestIndex] = sample
  times.oldestIndex = (times.oldestIndex + 1) % MAX_SAMPLES
}

/** Whether a sample exceeds the limit; undefined with too few samples. */
export function isSlow(
  { samples }: RecentDurations,
  sample: number,
  { quantile, factor }: SlowLimit,
): boolean | undefined {
  if (samples.length < MIN_SAMPLES) return undefined
  const sorted = [...samples].sort((left, right) => left - right)
  return sample > factor * sorted[Math.floor(quantile * (sorted.length - 1))]!
}
