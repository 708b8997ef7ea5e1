import type { Measure } from './measureRow.js'
import { RowCollector } from './measureRow.js'
import { measureCost } from './policyCost.js'
import { measureDecisions } from './policyDecision.js'
import { measureExposure } from './policyExposure.js'
import { measureLoad } from './policyLoad.js'
import { readWorkloads } from './workload.js'

const QUICK_SEED_COUNT = 2

/** Compares cost, quality, exposure and latency with baseline policies; times routing decisions. */
export const measurePolicy: Measure = async ({ seeds, quick }, reportProgress) => {
  const rows = new RowCollector()
  for (const workload of readWorkloads()) {
    for (const seed of quick ? seeds.slice(0, QUICK_SEED_COUNT) : seeds) {
      reportProgress(`${workload.name}, seed ${seed}: cost at the quality target`)
      measureCost(workload, seed, rows)
      reportProgress(`${workload.name}, seed ${seed}: exposure to bad versions`)
      measureExposure(workload, seed, quick, rows)
      reportProgress(`${workload.name}, seed ${seed}: latency under load`)
      measureLoad(workload, seed, quick, rows)
    }
  }
  reportProgress('what a decision costs')
  measureDecisions(seeds[0] ?? 1, rows)
  return rows.rows()
}
