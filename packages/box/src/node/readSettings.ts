import { issuesFromSchema, type InputIssue } from '@yewkeel/decisions'
import { Result } from 'true-myth'
import { parse } from 'yaml'
import { z } from 'zod'
import { settingsSchema, type Settings } from '../types/settings.js'

/** Reads and checks settings written in YAML. */
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
  return Result.err(issuesFromSchema(checked.error, knownNames()))
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

/** One setting for the reference. */
export interface SettingLine {
  path: string
  type: string
  required: boolean
  default?: unknown
  description: string
}

/** Every setting, in the order of the schema. */
export function listSettings(): SettingLine[] {
  const schema = z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema
  return listProperties(schema, '')
}

/** The reference of settings in Markdown. */
export function formatSettingsReference(): string {
  const rows = listSettings().map(line => {
    const value = line.default === undefined ? '' : `\`${JSON.stringify(line.default)}\``
    const need = line.required ? 'yes' : ''
    return `| \`${line.path}\` | ${line.type} | ${need} | ${value} | ${line.description} |`
  })
  return [
    '| setting | type | required | default | what it is for |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n')
}

function listProperties(schema: JsonSchema, prefix: string): SettingLine[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const path = prefix ? `${prefix}.${name}` : name
    const isList = property.type === 'array'
    const inner = isList ? property.items : property
    const line: SettingLine = {
      path,
      type: property.enum ? property.enum.join(', ') : (property.type ?? 'value'),
      required: schema.required?.includes(name) ?? false,
      ...(property.default !== undefined && { default: property.default }),
      description: property.description ?? '',
    }
    return [line, ...listProperties(inner ?? {}, isList ? `${path}[]` : path)]
  })
}

function knownNames(): string[] {
  return listSettings().map(line => line.path.split('.').at(-1) ?? line.path)
}
