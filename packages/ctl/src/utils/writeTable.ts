import { TABLE_COLUMNS, type TableFormat, type TableRow } from '@yewkeel/decisions'
import { stringify as stringifyCsv } from 'csv-stringify/sync'
import { stringify as stringifyYaml } from 'yaml'

const WRITERS: Record<TableFormat, (rows: readonly TableRow[]) => string> = {
  yaml: rows => stringifyYaml({ rows }),
  csv: rows => stringifyCsv([...rows], { header: true, columns: [...TABLE_COLUMNS] }),
}

/** The table as a file that `parseTable` reads back. */
export function writeTable(rows: readonly TableRow[], format: TableFormat): string {
  return WRITERS[format](rows)
}

/** The format of a file, by its ending. */
export function formatOf(file: string): TableFormat {
  return file.endsWith('.csv') ? 'csv' : 'yaml'
}
