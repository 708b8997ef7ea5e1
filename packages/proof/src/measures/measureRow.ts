/** Statistics of one metric over the runs of one case and policy. */
export interface MeasureRow {
  workload: string
  case: string
  policy: string
  metric: string
  unit: string
  mean: number
  /** Population standard deviation over the runs. */
  spread: number
  runs: number
}

export interface MeasureOptions {
  seeds: number[]
  /** Runs fewer cases and seeds, to end within 45 s. */
  quick: boolean
}

/** A measurement; calls `reportProgress` with a line of text before each step. */
export type Measure = (
  options: MeasureOptions,
  reportProgress: (text: string) => void,
) => Promise<MeasureRow[]>

type Labels = Pick<MeasureRow, 'workload' | 'case' | 'policy' | 'metric' | 'unit'>

/** Aggregates the values of runs by workload, case, policy and metric. */
export class RowCollector {
  readonly #values = new Map<string, { labels: Labels; values: number[] }>()

  add(labels: Labels, value: number): void {
    const key = [labels.workload, labels.case, labels.policy, labels.metric].join('\n')
    const entry = this.#values.get(key) ?? { labels, values: [] }
    entry.values.push(value)
    this.#values.set(key, entry)
  }

  rows(): MeasureRow[] {
    return [...this.#values.values()].map(({ labels, values }) => ({
      ...labels,
      mean: meanOf(values),
      spread: standardDeviationOf(values),
      runs: values.length,
    }))
  }
}

export function meanOf(values: readonly number[]): number {
  if (values.length === 0) return 0
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

export function standardDeviationOf(values: readonly number[]): number {
  const mean = meanOf(values)
  return Math.sqrt(meanOf(values.map(value => (value - mean) ** 2)))
}

/** The `fraction` quantile of the values, without interpolation; 0 when there are none. */
export function quantileOf(values: readonly number[], fraction: number): number {
  if (values.length === 0) return 0
  const sorted = values.toSorted((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))]!
}
