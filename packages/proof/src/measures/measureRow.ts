/** One figure of a measurement: mean and spread over its runs. */
export interface MeasureRow {
  workload: string
  case: string
  policy: string
  metric: string
  unit: string
  mean: number
  /** Standard deviation over the runs. */
  spread: number
  runs: number
}

export interface MeasureOptions {
  seeds: number[]
  /** Ends within 45 s, with fewer cases and seeds. */
  quick: boolean
}

/** A measurement. Says what it does now through `note`. */
export type Measure = (
  options: MeasureOptions,
  note: (text: string) => void,
) => Promise<MeasureRow[]>

type Labels = Pick<MeasureRow, 'workload' | 'case' | 'policy' | 'metric' | 'unit'>

/** Gathers figures of runs into rows. */
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
      spread: deviationOf(values),
      runs: values.length,
    }))
  }
}

export function meanOf(values: readonly number[]): number {
  if (values.length === 0) return 0
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

export function deviationOf(values: readonly number[]): number {
  const mean = meanOf(values)
  return Math.sqrt(meanOf(values.map(value => (value - mean) ** 2)))
}

/** The value below which `share` of the values lie. */
export function quantileOf(values: readonly number[], share: number): number {
  if (values.length === 0) return 0
  const sorted = values.toSorted((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!
}
