import type { TableRow } from '@yewkeel/decisions'

/** Example table of the demo, the measures and the tests. */
export const DEMO_ROWS: TableRow[] = [
  { row: 'version', organisation: '*', model: 'small', version: '1', weight: 100, state: 'active' },
  { row: 'version', organisation: '*', model: 'large', version: '1', weight: 100, state: 'active' },
  { row: 'price', model: 'small', version: '*', promptPrice: 0.2, completionPrice: 0.6 },
  { row: 'price', model: 'large', version: '*', promptPrice: 3, completionPrice: 12 },
  { row: 'cascade', organisation: '*', kind: 'tide-time', stages: 'small' },
  { row: 'cascade', organisation: '*', kind: 'complaint-tag', stages: 'small>large' },
  { row: 'cascade', organisation: '*', kind: 'season-summary', stages: 'large' },
  { row: 'cascade', organisation: '*', kind: 'pre-bell', stages: 'large' },
  { row: 'service', organisation: '*', service: 'booking' },
  {
    row: 'limit',
    organisation: 'belle-mare',
    spendPerDay: 40,
    requestsPerSecond: 100,
    qualityTarget: 0.9,
    weighs: 'latency',
    priority: 'high',
    share: 1,
  },
]
