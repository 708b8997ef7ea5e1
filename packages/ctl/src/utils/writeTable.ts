import { TABLE_COLUMNS, type TableFormat, type TableRow } from '@yewkeel/decisions'
import { stringify as stringifyCsv } from 'csv-stringify/sync'
import { stringify as stringifyYaml } from 'yaml'

const WRITERS: Record<TableFormat, (rows: readonly TableRow[]) => string> = {
  yaml: rows => stringifyYaml({ rows }),
  csv: rows => stringifyCsv([...rows], { header: true, columns: [...TABLE_COLUMNS] }),
}

/** Serialises rows to the text of a file that `parseTable` reads. */
export function writeTable(rows: readonly TableRow[], format: TableFormat): string {
  return WRITERS[format](rows)
}

/** Format of a file by its extension: CSV for `.csv`, else YAML. */
export function tableFormatOf(file: string): TableFormat {
  return file.endsWith('.csv') ? 'csv' : 'yaml'
}
