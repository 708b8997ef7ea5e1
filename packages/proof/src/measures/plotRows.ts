import { compile, type TopLevelSpec } from 'vega-lite'
import { parse, View } from 'vega'
import type { MeasureRow } from './measureRow.js'

/** Renders an SVG with one bar chart per workload and metric: mean by case and policy. */
export async function plotRows(rows: readonly MeasureRow[]): Promise<string> {
  const specification: TopLevelSpec = {
    data: {
      values: rows.map(row => ({ ...row, panel: `${row.workload}: ${row.metric} (${row.unit})` })),
    },
    columns: 2,
    facet: { field: 'panel', type: 'nominal', title: null },
    resolve: { scale: { x: 'independent', y: 'independent' } },
    spec: {
      width: 420,
      height: { step: 14 },
      mark: 'bar',
      encoding: {
        y: { field: 'case', type: 'nominal', title: null, axis: { labelLimit: 320 } },
        yOffset: { field: 'policy', type: 'nominal' },
        x: { field: 'mean', type: 'quantitative', title: null },
        color: { field: 'policy', type: 'nominal' },
      },
    },
  }
  const view = new View(parse(compile(specification).spec), { renderer: 'none' })
  return view.toSVG()
}
