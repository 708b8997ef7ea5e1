import { z } from 'zod'

/** Organisation wildcard: the row applies to every organisation without a row of its own. */
export const EVERY_ORGANISATION = '*'

const name = z
  .string()
  .regex(/^[\w*][\w.*-]*$/, 'use letters, digits, ".", "_" and "-" only')
  .max(64)
const amount = z.number().nonnegative().finite()

const organisation = name.default(EVERY_ORGANISATION)

export const VERSION_STATES = ['active', 'withdrawn'] as const
export type VersionState = (typeof VERSION_STATES)[number]

export const CONCERNS = ['cost', 'latency', 'exposure'] as const
/** What an organisation optimises for. */
export type Concern = (typeof CONCERNS)[number]

export const PRIORITIES = ['low', 'normal', 'high'] as const
export type Priority = (typeof PRIORITIES)[number]

/**
 * Allows an organisation to use a version of a model. `weight` is the version's relative share of
 * new sessions; 0 keeps running sessions and accepts no new ones. `withdrawn` accepts no work at
 * all.
 */
export const versionRowSchema = z.strictObject({
  row: z.literal('version'),
  organisation,
  model: name,
  version: name,
  weight: amount.default(1),
  state: z.enum(VERSION_STATES).default('active'),
})

/** Price of a version, in currency units per million tokens. */
export const priceRowSchema = z.strictObject({
  row: z.literal('price'),
  model: name,
  version: name.default('*'),
  promptPrice: amount,
  completionPrice: amount,
})

/** An organisation's spending and rate limits, objectives and priority. */
export const limitRowSchema = z.strictObject({
  row: z.literal('limit'),
  organisation,
  /** Currency units per day. */
  spendPerDay: amount.optional(),
  requestsPerSecond: amount.optional(),
  /** Target share of good answers, 0 to 1. */
  qualityTarget: z.number().min(0).max(1).default(0.9),
  weighs: z.enum(CONCERNS).default('cost'),
  priority: z.enum(PRIORITIES).default('normal'),
  /** Fair-share weight in a saturated pool, relative to other organisations. */
  share: amount.default(1),
})

/** The model cascade for a kind of request, cheapest first, written `small>large`. */
export const cascadeRowSchema = z.strictObject({
  row: z.literal('cascade'),
  organisation,
  kind: name,
  stages: z
    .string()
    .regex(/^[\w.-]+(>[\w.-]+)*$/, 'write the models as small>large, the cheapest first')
    .max(256),
})

/** Allows an organisation to call a service that isn't a model. */
export const serviceRowSchema = z.strictObject({
  row: z.literal('service'),
  organisation,
  service: name,
})

export const tableRowSchema = z.discriminatedUnion('row', [
  versionRowSchema,
  priceRowSchema,
  limitRowSchema,
  cascadeRowSchema,
  serviceRowSchema,
])

export type VersionRow = z.infer<typeof versionRowSchema>
export type PriceRow = z.infer<typeof priceRowSchema>
export type LimitRow = z.infer<typeof limitRowSchema>
export type CascadeRow = z.infer<typeof cascadeRowSchema>
export type ServiceRow = z.infer<typeof serviceRowSchema>
export type TableRow = z.infer<typeof tableRowSchema>
export type TableRowKind = TableRow['row']

export const ROW_SCHEMAS: Record<TableRowKind, z.ZodObject> = {
  version: versionRowSchema,
  price: priceRowSchema,
  limit: limitRowSchema,
  cascade: cascadeRowSchema,
  service: serviceRowSchema,
}

export const ROW_KINDS = Object.keys(ROW_SCHEMAS) as TableRowKind[]

const KEY_OF_ROW: { [Kind in TableRowKind]: (row: Extract<TableRow, { row: Kind }>) => string } = {
  version: row => `version/${row.organisation}/${row.model}/${row.version}`,
  price: row => `price/${row.model}/${row.version}`,
  limit: row => `limit/${row.organisation}`,
  cascade: row => `cascade/${row.organisation}/${row.kind}`,
  service: row => `service/${row.organisation}/${row.service}`,
}

/** The key that identifies a row; a row written later replaces one with the same key. */
export function resolveRowKey(row: TableRow): string {
  return (KEY_OF_ROW[row.row] as (row: TableRow) => string)(row)
}

/** All columns of the CSV form, in order. */
export const TABLE_COLUMNS = [
  'row',
  ...new Set(ROW_KINDS.flatMap(kind => Object.keys(ROW_SCHEMAS[kind].shape))),
].filter((column, index, all) => all.indexOf(column) === index)
