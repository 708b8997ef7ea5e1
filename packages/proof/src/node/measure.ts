import Table from 'cli-table3'
import { writeFileSync } from 'node:fs'
import { measureFaults } from '../measures/faults.js'
import type { Measure, MeasureRow } from '../measures/measureRow.js'
import { measureOverhead } from '../measures/overhead.js'
import { plotRows } from '../measures/plotRows.js'
import { measurePolicy } from '../measures/policy.js'
import { measureSlopes } from '../measures/slopes.js'

const MEASURES: Record<string, Measure> = {
  overhead: measureOverhead,
  faults: measureFaults,
  policy: measurePolicy,
  slopes: measureSlopes,
}

const DEFAULT_SEED_COUNTS: Record<string, number> = {
  overhead: 3,
  faults: 3,
  policy: 10,
  slopes: 1,
}

const [name = '', ...flags] = process.argv.slice(2)
const runMeasure = MEASURES[name]
if (!runMeasure) {
  console.error(
    `usage: npm run measure -- NAME [--json] [--seeds FROM-TO] [--quick] [--plot FILE.svg]`,
  )
  console.error(`NAME is one of ${Object.keys(MEASURES).join(', ')}`)
  process.exit(2)
}
const isJson = flags.includes('--json')
const rows = await runMeasure({ seeds: readSeeds(), quick: flags.includes('--quick') }, text => {
  if (!isJson) process.stderr.write(`${text}\n`)
})
const plotIndex = flags.indexOf('--plot')
if (plotIndex !== -1) writeFileSync(flags[plotIndex + 1] ?? `${name}.svg`, await plotRows(rows))
if (isJson) console.log(JSON.stringify({ measure: name, rows }))
else printRows(rows)
process.exit(0)

/** Parses `--seeds FROM-TO`. Defaults to the seeds from 1 to the default count of the measure. */
function readSeeds(): number[] {
  const flagIndex = flags.indexOf('--seeds')
  const [from = 1, to = DEFAULT_SEED_COUNTS[name] ?? 3] =
    flagIndex === -1 ? [] : (flags[flagIndex + 1] ?? '').split('-').map(Number)
  return Array.from({ length: Math.max(1, to - from + 1) }, (_, index) => from + index)
}

function printRows(rows: readonly MeasureRow[]): void {
  const table = new Table({
    head: ['workload', 'case', 'policy', 'metric', 'mean', 'spread', 'unit', 'runs'],
    style: { head: [], border: [], compact: true },
  })
  for (const row of rows) {
    const { workload, metric, unit, runs } = row
    table.push([
      workload,
      row.case,
      row.policy,
      metric,
      format(row.mean),
      format(row.spread),
      unit,
      runs,
    ])
  }
  console.log(table.toString())
}

function format(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(4)
}
