import Table from 'cli-table3'

/** Formats records as a text table. The columns default to all fields of the records. */
export function formatRecords(records: readonly object[], columns?: readonly string[]): string {
  if (records.length === 0) return '(none)'
  const head = columns ?? [...new Set(records.flatMap(record => Object.keys(record)))]
  const table = new Table({ head: [...head], style: { head: [], border: [], compact: true } })
  for (const record of records) {
    table.push(head.map(column => formatCell((record as Record<string, unknown>)[column])))
  }
  return table.toString()
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return ''
  if (Array.isArray(value)) return value.map(formatCell).join(' ')
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}
