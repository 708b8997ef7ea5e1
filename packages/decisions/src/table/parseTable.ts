import { parse as parseCsv } from 'csv-parse/sync'
import { Result } from 'true-myth'
import { LineCounter, parseDocument, type YAMLMap, type YAMLSeq } from 'yaml'
import { issuesFromSchema, unknownNameMessage, type InputIssue } from '../utils/issues.js'
import {
  ROW_KINDS,
  ROW_SCHEMAS,
  resolveRowKey,
  type TableRow,
  type TableRowKind,
} from './tableRow.js'

export type TableFormat = 'yaml' | 'csv'

/** An unvalidated row with its line number. */
interface WrittenRow {
  line: number
  fields: Record<string, unknown>
}

type ReadRows = (text: string) => Result<WrittenRow[], InputIssue[]>

const READERS: Record<TableFormat, ReadRows> = { yaml: readYamlRows, csv: readCsvRows }

const NUMBER_COLUMNS = new Set([
  'weight',
  'promptPrice',
  'completionPrice',
  'spendPerDay',
  'requestsPerSecond',
  'qualityTarget',
  'share',
])

/**
 * Parses a table file. Each issue names the line and a fix; with any issue no rows are returned.
 */
export function parseTable(text: string, format: TableFormat): Result<TableRow[], InputIssue[]> {
  return READERS[format](text).andThen(validateRows)
}

/** Validates the fields of rows and the uniqueness of their keys. */
export function validateRows(written: readonly WrittenRow[]): Result<TableRow[], InputIssue[]> {
  const issues: InputIssue[] = []
  const rows: TableRow[] = []
  const lineOfKey = new Map<string, number>()
  for (const { line, fields } of written) {
    const validated = validateRow(fields, line)
    if (validated.isErr) {
      issues.push(...validated.error)
      continue
    }
    const key = resolveRowKey(validated.value)
    const earlier = lineOfKey.get(key)
    if (earlier !== undefined) {
      issues.push({
        place: `line ${line}`,
        message: `the row ${key} stands on line ${earlier} already; remove one`,
      })
    }
    lineOfKey.set(key, line)
    rows.push(validated.value)
  }
  return issues.length > 0 ? Result.err(issues) : Result.ok(rows)
}

function validateRow(
  fields: Record<string, unknown>,
  line: number,
): Result<TableRow, InputIssue[]> {
  const place = `line ${line}`
  const kind = fields.row
  if (typeof kind !== 'string' || !ROW_KINDS.includes(kind as TableRowKind)) {
    const message =
      kind === undefined
        ? `the column "row" is missing; write one of ${ROW_KINDS.join(', ')}`
        : `row: ${unknownNameMessage(String(kind), ROW_KINDS)}`
    return Result.err([{ place, message }])
  }
  const schema = ROW_SCHEMAS[kind as TableRowKind]
  const parsed = schema.safeParse(fields)
  if (parsed.success) return Result.ok(parsed.data as TableRow)
  const known = Object.keys(schema.shape)
  return Result.err(
    issuesFromSchema(parsed.error, known, path => (path ? `${place}, ${path}` : place)),
  )
}

function readYamlRows(text: string): Result<WrittenRow[], InputIssue[]> {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines, logLevel: 'silent' })
  if (document.errors.length > 0) {
    return Result.err(
      document.errors.map(error => ({
        place: `line ${lines.linePos(error.pos[0]).line}`,
        message: error.message.split('\n')[0] ?? error.message,
      })),
    )
  }
  const list = document.get('rows') as YAMLSeq | undefined
  if (!list || !Array.isArray(list.items)) {
    return Result.err([{ place: 'line 1', message: 'write the rows as a list under "rows:"' }])
  }
  return Result.ok(
    list.items.map(item => {
      const node = item as YAMLMap
      const fields: unknown = typeof node?.toJSON === 'function' ? node.toJSON() : item
      const isRecord = typeof fields === 'object' && fields !== null && !Array.isArray(fields)
      return {
        line: node?.range ? lines.linePos(node.range[0]).line : 1,
        fields: isRecord ? (fields as Record<string, unknown>) : {},
      }
    }),
  )
}

function readCsvRows(text: string): Result<WrittenRow[], InputIssue[]> {
  try {
    const records = parseCsv(text, {
      columns: true,
      info: true,
      skip_empty_lines: true,
      trim: true,
    }) as unknown as {
      info: { lines: number }
      record: Record<string, string>
    }[]
    return Result.ok(
      records.map(({ info, record }) => ({ line: info.lines, fields: typedFields(record) })),
    )
  } catch (error) {
    const { message, lines } = error as Error & { lines?: number }
    return Result.err([{ place: `line ${lines ?? 1}`, message }])
  }
}

/** Omits empty cells and converts the cells of number columns. */
function typedFields(record: Record<string, string>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(record)
      .filter(([, cell]) => cell !== '')
      .map(([column, cell]) => [column, NUMBER_COLUMNS.has(column) ? Number(cell) : cell]),
  )
}
