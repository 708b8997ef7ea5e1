import type { Measure } from './measureRow.js'
import { RowCollector } from './measureRow.js'
import { measureCost } from './policyCost.js'
import { measureDecisions } from './policyDecision.js'
import { measureExposure } from './policyExposure.js'
import { measureLoad } from './policyLoad.js'
import { readWorkloads } from './workload.js'

/** False halts are rare, so the roll-outs that show them are counted over more seeds. */
const QUICK_SEEDS = 2

/** Quality, cost, exposure, latency and the price of a decision, against baselines. */
export const measurePolicy: Measure = async ({ seeds, quick }, note) => {
  const rows = new RowCollector()
  for (const workload of readWorkloads()) {
    for (const seed of quick ? seeds.slice(0, QUICK_SEEDS) : seeds) {
      note(`${workload.name}, seed ${seed}: cost at the quality target`)
      measureCost(workload, seed, rows)
      note(`${workload.name}, seed ${seed}: exposure to bad versions`)
      measureExposure(workload, seed, quick, rows)
      note(`${workload.name}, seed ${seed}: latency under load`)
      measureLoad(workload, seed, quick, rows)
    }
  }
  note('what a decision costs')
  measureDecisions(seeds[0] ?? 1, rows)
  return rows.rows()
}
