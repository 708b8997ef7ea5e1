import { issuesFromSchema, type InputIssue } from '@yewkeel/decisions'
import { Result } from 'true-myth'
import { parse } from 'yaml'
import { z } from 'zod'
import { settingsSchema, type Settings } from '../types/settings.js'

/** Parses and validates settings in YAML. Returns all issues if they are invalid. */
export function parseSettings(text: string): Result<Settings, InputIssue[]> {
  let fields: unknown
  try {
    fields = parse(text, { logLevel: 'error' })
  } catch (error) {
    const { message, linePos } = error as Error & { linePos?: { line: number }[] }
    const line = linePos?.[0]?.line ?? 1
    return Result.err([{ place: `line ${line}`, message: message.split('\n')[0] ?? message }])
  }
  const checked = settingsSchema.safeParse(fields)
  if (checked.success) return Result.ok(checked.data)
  return Result.err(issuesFromSchema(checked.error, settingNames()))
}

interface JsonSchema {
  type?: string
  description?: string
  default?: unknown
  enum?: unknown[]
  properties?: Record<string, JsonSchema>
  items?: JsonSchema
  required?: string[]
}

/** A row of the settings reference. */
export interface SettingRow {
  /** Dotted path, with `[]` after the name of a list. */
  path: string
  type: string
  required: boolean
  default?: unknown
  description: string
}

/** Lists every setting, in the order of the schema. */
export function listSettings(): SettingRow[] {
  const schema = z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema
  return listProperties(schema, '')
}

/** Formats the settings reference as a Markdown table. */
export function formatSettingsReference(): string {
  const rows = listSettings().map(row => {
    const value = row.default === undefined ? '' : `\`${JSON.stringify(row.default)}\``
    const required = row.required ? 'yes' : ''
    return `| \`${row.path}\` | ${row.type} | ${required} | ${value} | ${row.description} |`
  })
  return [
    '| setting | type | required | default | what it is for |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n')
}

function listProperties(schema: JsonSchema, prefix: string): SettingRow[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const path = prefix ? `${prefix}.${name}` : name
    const isList = property.type === 'array'
    const nested = isList ? property.items : property
    const row: SettingRow = {
      path,
      type: property.enum ? property.enum.join(', ') : (property.type ?? 'value'),
      required: schema.required?.includes(name) ?? false,
      ...(property.default !== undefined && { default: property.default }),
      description: property.description ?? '',
    }
    return [row, ...listProperties(nested ?? {}, isList ? `${path}[]` : path)]
  })
}

function settingNames(): string[] {
  return listSettings().map(row => row.path.split('.').at(-1) ?? row.path)
}
